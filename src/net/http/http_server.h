#ifndef SRC_NET_HTTP_HTTP_SERVER_H_
#define SRC_NET_HTTP_HTTP_SERVER_H_

#include <cstddef>
#include <functional>
#include <memory>

#include "src/core/result.h"
#include "src/core/settings_values.h"
#include "src/core/units.h"
#include "src/net/http/http_message.h"
#include "src/net/worker_pool.h"

namespace marigold {

struct HttpServerLimits {
  // Limits for the header and the body of one request.
  std::size_t header_bytes = 8 * 1024;
  std::size_t body_bytes = 256 * 1024;
  // Limit for the sum of all request bodies that are arriving at the same time.
  std::size_t total_body_bytes = 64 * 1024 * 1024;
  // Timeout for the header and body of one request to arrive.
  Duration read_timeout = std::chrono::seconds(5);
  // Timeout for the client to take one response.
  Duration write_timeout = std::chrono::seconds(5);
  // Timeout for the next request on an open connection.
  Duration idle_timeout = std::chrono::seconds(60);
  // Maximum number of open connections.
  std::size_t connections = 4096;
};

// Sends the response to one request. Must be called exactly once, from any
// thread, either inside the handler or later.
using HttpResponder = std::function<void(HttpResponse)>;
using HttpHandler = std::function<void(HttpRequest, HttpResponder)>;

// An HTTP/1.1 server with keep-alive. A malformed, oversized or slow request
// gets a 4xx response and never reaches the handler. Up to 64 connections
// beyond the limit get a 503 response, and further ones are closed at once.
class HttpServer {
 public:
  // Listens on `endpoint`. Fails with `IoError`.
  static Result<std::unique_ptr<HttpServer>> Listen(WorkerPool& pool,
                                                    const Endpoint& endpoint,
                                                    HttpServerLimits limits,
                                                    HttpHandler handler);
  ~HttpServer();

  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Closes every connection after its next response, so that clients connect to
  // another process.
  void DisableKeepAlive();

  // Stops accepting connections and closes those on which no byte of a request
  // has arrived. Requests that have begun to arrive are answered. `on_drained`
  // runs once, when no connection is left.
  void Drain(std::function<void()> on_drained = nullptr);

  // Returns the number of connections that are open now.
  std::size_t open_connections() const;

  struct Impl;

 private:
  explicit HttpServer(std::shared_ptr<Impl> server_impl);

  std::shared_ptr<Impl> impl;
};

}  // namespace marigold

#endif  // SRC_NET_HTTP_HTTP_SERVER_H_
