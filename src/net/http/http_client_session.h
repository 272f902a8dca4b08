#ifndef SRC_NET_HTTP_HTTP_CLIENT_SESSION_H_
#define SRC_NET_HTTP_HTTP_CLIENT_SESSION_H_

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "src/net/http/deadline_timer.h"
#include "src/net/http/http_client.h"

namespace marigold::detail {

// The implementation of `HttpConnection`. A read is always pending while the
// connection is open, so that a close by the server is noticed at once. All
// members except the atomic ones are used only on the executor's strand.
class HttpClientSession
    : public std::enable_shared_from_this<HttpClientSession> {
 public:
  HttpClientSession(WorkerPool& pool, Endpoint remote);

  void SetIdleClosedHandler(std::function<void()> on_closed);

  boost::asio::any_io_executor executor();

  // The following functions must be called on the executor.

  void Connect(Duration timeout, std::function<void(bool)> done);
  void Begin(HttpMethod method,
             const std::string& path,
             const std::string& body,
             Duration timeout,
             std::function<void(ExchangeOutcome)> done);
  void Close();

  // The following functions may be called from any thread.

  bool is_reusable() const { return this->is_open_and_idle; }
  bool was_refused() const { return this->was_connect_refused; }

  // The functions that `DeadlineTimer` calls.

  bool has_deadline() const;
  void OnDeadline();

 private:
  enum class State { kNew, kConnecting, kIdle, kBusy, kClosed };

  using ErrorCode = boost::system::error_code;
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  void OnConnected(const ErrorCode& error,
                   const std::function<void(bool)>& done);
  // Writes as much of the request as the socket accepts. `async_write` is not
  // used because its completion handler may run after that of the read. A whole
  // response would then seem to have arrived before the request was sent, and
  // the connection would be closed.
  void Write();
  void OnWritable(const ErrorCode& error);
  bool is_written() const {
    return this->written_bytes == this->outgoing.size();
  }
  void Read();
  void OnRead(const ErrorCode& error, std::size_t size);
  void OnReadError(const ErrorCode& error);
  void Parse();
  void CompleteExchange();
  void MakeIdle();
  // Closes the socket and ends the exchange. The failure is `kNotSent` if no
  // byte was written, otherwise `kLost`.
  void OnConnectionLost();
  void EndWithFailure(ExchangeFailure failure);
  void CloseSocket();
  void ReportOutcome(ExchangeOutcome outcome);

  Endpoint endpoint;
  std::string host;
  boost::asio::ip::tcp::socket socket;
  DeadlineTimer timer;
  boost::beast::flat_buffer buffer;
  std::string outgoing;
  // Number of bytes of `outgoing` that the socket has accepted.
  std::size_t written_bytes = 0;
  std::optional<Parser> parser;
  std::function<void(ExchangeOutcome)> on_outcome;
  std::function<void()> on_idle_closed;
  State state = State::kNew;
  bool is_read_closed = false;
  std::atomic<bool> is_open_and_idle = false;
  std::atomic<bool> was_connect_refused = false;
};

}  // namespace marigold::detail

#endif  // SRC_NET_HTTP_HTTP_CLIENT_SESSION_H_
