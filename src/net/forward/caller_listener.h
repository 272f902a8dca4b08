#ifndef SRC_NET_FORWARD_CALLER_LISTENER_H_
#define SRC_NET_FORWARD_CALLER_LISTENER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

#include "src/core/result.h"
#include "src/core/settings_values.h"
#include "src/net/forward/caller_session.h"
#include "src/net/forward/strand.h"
#include "src/net/worker_pool.h"

namespace marigold {

// Accepts callers' connections and distributes them round-robin over strands.
class CallerListener {
 public:
  // Creates the handlers of one strand. The listener sets `on_closed` itself.
  using MakeHandlers =
      std::function<CallerHandlers(const std::shared_ptr<Strand>&)>;

  // Listens on `endpoint`. Fails with `IoError`. A connection beyond
  // `max_connections` takes the place of one that carries no request in
  // progress. It is closed at once if there is none.
  static Result<std::unique_ptr<CallerListener>> Listen(
      WorkerPool& pool,
      const Endpoint& endpoint,
      const std::vector<std::shared_ptr<Strand>>& strands,
      std::size_t max_connections,
      const MakeHandlers& make_handlers);
  ~CallerListener();

  CallerListener(const CallerListener&) = delete;
  CallerListener& operator=(const CallerListener&) = delete;

  // Closes every connection after its next answer, so that callers reconnect to
  // another entry VM.
  void DisableKeepAlive();

  // Stops accepting connections and closes those that carry no request.
  // `on_drained` runs once, when no connection is left.
  void Drain(std::function<void()> on_drained);

  std::size_t open_connections() const;

  struct Impl;

 private:
  explicit CallerListener(std::shared_ptr<Impl> listener_impl);

  std::shared_ptr<Impl> impl;
};

}  // namespace marigold

#endif  // SRC_NET_FORWARD_CALLER_LISTENER_H_
