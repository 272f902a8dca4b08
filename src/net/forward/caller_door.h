#ifndef SRC_NET_FORWARD_CALLER_DOOR_H_
#define SRC_NET_FORWARD_CALLER_DOOR_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

#include "src/core/result.h"
#include "src/core/settings_values.h"
#include "src/net/forward/caller_session.h"
#include "src/net/forward/lane.h"
#include "src/net/worker_pool.h"

namespace marigold {

// Accepts callers' connections and spreads them over lanes.
class CallerDoor {
 public:
  // Makes the handlers of one lane; `on_closed` is the door's own.
  using MakeHandlers =
      std::function<CallerHandlers(const std::shared_ptr<Lane>&)>;

  // Listens on `endpoint`; fails with `IoError`. Connections beyond
  // `most_connections` are closed at once.
  static Result<std::unique_ptr<CallerDoor>> Listen(
      WorkerPool& pool,
      const Endpoint& endpoint,
      const std::vector<std::shared_ptr<Lane>>& lanes,
      std::size_t most_connections,
      const MakeHandlers& make_handlers);
  ~CallerDoor();

  CallerDoor(const CallerDoor&) = delete;
  CallerDoor& operator=(const CallerDoor&) = delete;

  // Ends every connection with its next answer.
  void Leave();

  // Stops accepting, and closes the connections that carry no request.
  // `on_drained` runs once when none is left.
  void Drain(std::function<void()> on_drained);

  std::size_t open_connections() const;

  struct Impl;

 private:
  explicit CallerDoor(std::shared_ptr<Impl> door_impl);

  std::shared_ptr<Impl> impl;
};

}  // namespace marigold

#endif  // SRC_NET_FORWARD_CALLER_DOOR_H_
