#ifndef TOOLS_TCP_TCP_LISTENER_H_
#define TOOLS_TCP_TCP_LISTENER_H_

#include <functional>
#include <memory>

#include "src/core/result.h"
#include "src/core/settings_values.h"
#include "src/net/worker_pool.h"
#include "tools/tcp/tcp_stream.h"

namespace marigold {

// Accepts TCP connections until it is destroyed. After that, connections to the
// address are refused.
class TcpListener {
 public:
  using OnAccept = std::function<void(std::shared_ptr<TcpStream>)>;

  // Listens on `endpoint` and calls `on_accept` for each connection, on a
  // thread of the pool. Fails with `IoError` if the address can't be opened.
  static Result<std::unique_ptr<TcpListener>> Listen(WorkerPool& pool,
                                                     const Endpoint& endpoint,
                                                     OnAccept on_accept);
  ~TcpListener();

  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;

  struct Impl;

 private:
  explicit TcpListener(std::shared_ptr<Impl> listener_impl);

  std::shared_ptr<Impl> impl;
};

}  // namespace marigold

#endif  // TOOLS_TCP_TCP_LISTENER_H_
