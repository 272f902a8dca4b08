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

// Accepts framed connections.
class FramedServer {
 public:
  // Takes a new connection, on which it calls `Start` at once.
  using Accepted = std::function<void(std::shared_ptr<FramedConnection>)>;

  // Listens on `endpoint`; fails with `IoError`. Connections beyond
  // `max_connections` are closed at once.
  static Result<std::unique_ptr<FramedServer>> Listen(
      WorkerPool& pool,
      const Endpoint& endpoint,
      FramedLimits limits,
      std::size_t max_connections,
      Accepted on_accepted);

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
