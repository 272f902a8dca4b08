#ifndef SRC_NET_CONTROL_FRAMED_SERVER_H_
#define SRC_NET_CONTROL_FRAMED_SERVER_H_

#include <cstddef>
#include <functional>
#include <memory>

#include "src/core/result.h"
#include "src/core/settings_values.h"
#include "src/net/control/framed_connection.h"
#include "src/net/worker_pool.h"

namespace marigold {

// Listens on an endpoint and accepts framed connections.
class FramedServer {
 public:
  // Receives each new connection and must call `FramedConnection::Start` on it.
  using AcceptHandler = std::function<void(std::shared_ptr<FramedConnection>)>;

  // Listens on `endpoint`. Fails with `IoError` if it can't. Connections beyond
  // `max_connections` are closed immediately.
  static Result<std::unique_ptr<FramedServer>> Listen(
      WorkerPool& pool,
      const Endpoint& endpoint,
      FramedLimits limits,
      std::size_t max_connections,
      AcceptHandler on_accepted);

  // Stops listening and closes all connections.
  ~FramedServer();

  FramedServer(const FramedServer&) = delete;
  FramedServer& operator=(const FramedServer&) = delete;

  struct Impl;

 private:
  explicit FramedServer(std::shared_ptr<Impl> server_impl);

  std::shared_ptr<Impl> impl;
};

}  // namespace marigold

#endif  // SRC_NET_CONTROL_FRAMED_SERVER_H_
