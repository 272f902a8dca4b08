#ifndef SRC_NET_HTTP_HTTP_SESSION_H_
#define SRC_NET_HTTP_HTTP_SESSION_H_

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "src/net/http/deadline_timer.h"
#include "src/net/http/http_server.h"

namespace marigold::detail {

// The state that all sessions of one server share.
struct HttpServerShared {
  HttpServerLimits limits;
  HttpHandler handler;
  // Total bytes reserved for bodies that have begun to arrive and have not been
  // passed to the handler yet.
  std::atomic<std::size_t> body_bytes = 0;
  // If true, every connection closes after its next response.
  std::atomic<bool> is_keep_alive_disabled = false;
  // If true, every connection closes as soon as it carries no request, not even
  // a partly received one.
  std::atomic<bool> is_draining = false;
};

// One accepted connection. A request whose first byte has arrived is answered
// even while the server drains. All members are used only on the socket's
// strand.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
 public:
  HttpSession(boost::asio::ip::tcp::socket accepted,
              std::shared_ptr<HttpServerShared> server_shared,
              std::function<void(HttpSession*)> on_closed);
  ~HttpSession();

  HttpSession(const HttpSession&) = delete;
  HttpSession& operator=(const HttpSession&) = delete;

  // Starts to read the first request.
  void Start();

  // Refuses the connection with a 503 response, because the server has too many
  // connections, and closes it.
  void StartRefusing();

  // Closes the connection if no byte of a request has arrived. Must be called
  // after `is_draining` was set.
  void Drain();

  // The functions that `DeadlineTimer` calls.

  bool has_deadline() const;
  void OnDeadline();

 private:
  enum class State {
    kIdle,
    kReading,
    kHandling,
    kWriting,
    // The last response was written. Bytes that still arrive are read and
    // dropped, because closing at once would reset the connection before the
    // client has read the response.
    kLingering,
    kClosed,
  };

  using ErrorCode = boost::system::error_code;
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  void AwaitRequest();
  void Read();
  void OnRead(const ErrorCode& error, std::size_t size);
  void Parse();
  // Reserves memory for the body and lets the client send it. Refuses the
  // request and returns false if there is not enough memory.
  bool AcceptHeader();
  // Sends "100 Continue" if the client waits for it before it sends the body.
  void SendContinue();
  // Reserves the bytes of the body. Returns false if the bodies of all requests
  // together would exceed the server's limit.
  bool ReserveBody();
  void ReleaseBody();
  void Handle();
  void OnResponse(HttpResponse response, bool keep_alive);
  void Refuse(int status, Reason reason, const std::string& detail);
  void RefuseMalformed(const ErrorCode& error);
  void Write(const HttpResponse& response, bool keep_alive);
  void OnWritten(const ErrorCode& error, bool keep_alive);
  void Linger();
  bool has_bytes_to_read();
  void Close();
  // Calls `closed_handler` once. A responder may keep the closed session alive,
  // so the destructor alone would report the close too late.
  void NotifyClosed();

  boost::asio::ip::tcp::socket socket;
  std::shared_ptr<HttpServerShared> shared;
  std::function<void(HttpSession*)> closed_handler;
  DeadlineTimer timer;
  State state = State::kIdle;
  boost::beast::flat_buffer buffer;
  std::optional<Parser> parser;
  std::size_t reserved_body_bytes = 0;
  std::size_t dropped_bytes = 0;
  bool is_request_complete = true;
  std::string outgoing;
};

}  // namespace marigold::detail

#endif  // SRC_NET_HTTP_HTTP_SESSION_H_
