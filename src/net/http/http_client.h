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
  // No byte of the request was written.
  kNotSent,
  // The connection failed after the first byte was written.
  kLost,
  // No whole response within the timeout, after the first byte was written.
  kTimeout,
  // The response is malformed or too large.
  kBadResponse,
  // The caller closed the connection.
  kClosed,
};

using ExchangeOutcome = std::variant<HttpResponse, ExchangeFailure>;

// One client connection with at most one exchange in flight. After any failure
// the connection is closed and can't be used again, so that a late response is
// never taken for the response to another request.
class HttpConnection {
 public:
  HttpConnection(WorkerPool& pool, Endpoint endpoint);
  ~HttpConnection();

  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  // Calls `on_closed` if the server closes the connection, or sends bytes that
  // nobody asked for, while no exchange is in flight. To be set before
  // `Connect`.
  void SetIdleClosedHandler(std::function<void()> on_closed);

  // Connects within `timeout` and reports whether it succeeded.
  void Connect(Duration timeout, std::function<void(bool)> on_connected);

  // Sends a request and reports its outcome exactly once.
  void Exchange(HttpMethod method,
                std::string_view path,
                std::string body,
                Duration timeout,
                std::function<void(ExchangeOutcome)> on_outcome);

  // Closes the connection; an exchange in flight ends with `kClosed`.
  void Close();

  // False after a failure, a close, or a response that ends the connection.
  bool is_reusable() const;

  // True if the connect failed because no process listened.
  bool was_refused() const;

  struct Impl;

 private:
  std::shared_ptr<Impl> impl;
};

}  // namespace marigold

#endif  // SRC_NET_HTTP_HTTP_CLIENT_H_
