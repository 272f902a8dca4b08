#ifndef SRC_NET_HTTP_HTTP_CLIENT_H_
#define SRC_NET_HTTP_HTTP_CLIENT_H_

#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "src/core/settings_values.h"
#include "src/core/units.h"
#include "src/net/http/http_message.h"
#include "src/net/worker_pool.h"

namespace marigold {

// Why an exchange has no response.
enum class ExchangeFailure {
  // No byte of the request was written, so the request did not run.
  kNotSent,
  // The connection failed after the first byte was written.
  kLost,
  // The first byte was written, but the whole response did not arrive within
  // the timeout.
  kTimeout,
  // The response is malformed or too large.
  kBadResponse,
  // The owner of the connection closed it.
  kClosed,
};

using ExchangeOutcome = std::variant<HttpResponse, ExchangeFailure>;

// One client connection with at most one exchange in flight. After any failure
// the connection closes and can't be used again, so that a late response is
// never taken for the response to another request. Callbacks run on a worker
// thread.
class HttpConnection {
 public:
  HttpConnection(WorkerPool& pool, Endpoint endpoint);
  ~HttpConnection();

  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  // Sets a function that is called if the server closes the connection, or
  // sends unexpected bytes, while no exchange is in flight. Must be called
  // before `Connect`.
  void SetIdleClosedHandler(std::function<void()> on_closed);

  // Connects and calls `on_connected` with whether the connection was
  // established within `timeout`.
  void Connect(Duration timeout, std::function<void(bool)> on_connected);

  // Sends a request and reports its outcome exactly once. `timeout` is the
  // limit from now to the whole response. Fails with `kNotSent` if the
  // connection is not open or another exchange is in flight.
  void Exchange(HttpMethod method,
                std::string_view path,
                std::string body,
                Duration timeout,
                std::function<void(ExchangeOutcome)> on_outcome);

  // Closes the connection. An exchange in flight fails with `kClosed`.
  void Close();

  // Returns true while the connection is open and idle. It is false before the
  // connection is established, during an exchange, and after a failure, a close
  // or a response that ends the connection.
  bool is_reusable() const;

  // Returns true if the connect failed because the server refused the
  // connection, which means that no process listened.
  bool was_refused() const;

  struct Impl;

 private:
  std::shared_ptr<Impl> impl;
};

}  // namespace marigold

#endif  // SRC_NET_HTTP_HTTP_CLIENT_H_
