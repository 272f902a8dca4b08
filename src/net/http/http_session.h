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

// What all sessions of one server share.
struct HttpServerShared {
  HttpServerLimits limits;
  HttpHandler handler;
  // Bytes of bodies that have begun to arrive and are not handled yet.
  std::atomic<std::size_t> body_bytes = 0;
  // Every response from now on ends its connection.
  std::atomic<bool> is_keep_alive_disabled = false;
  // Connections close as soon as no request has begun to arrive.
  std::atomic<bool> is_draining = false;
};

// One accepted connection. A request counts from its first byte: it is answered
// also while the server drains. All members are used only on the socket's
// strand.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
 public:
  HttpSession(boost::asio::ip::tcp::socket accepted,
              std::shared_ptr<HttpServerShared> server_shared,
              std::function<void(HttpSession*)> on_closed);
  ~HttpSession();

  HttpSession(const HttpSession&) = delete;
  HttpSession& operator=(const HttpSession&) = delete;

  // Begins to read the first request.
  void Start();

  // Answers that the server has too many connections, and closes.
  void StartRefusing();

  // Closes the connection if no byte of a request has arrived. To be called
  // after the server's `is_draining` was set.
  void Drain();

  // What `DeadlineTimer` calls.

  bool has_deadline() const;
  void OnDeadline();

 private:
  enum class State {
    kIdle,
    kReading,
    kHandling,
    kWriting,
    // The last response was written; what still arrives is dropped, so that
    // the client reads the response before a reset.
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
  // Asks for the body if the client waits for that.
  void Continue();
  // False if the server holds too many bytes of bodies.
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
  // Does so once; a responder may keep the closed session alive.
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
