#ifndef TOOLS_RELAY_RELAY_CONNECTION_H_
#define TOOLS_RELAY_RELAY_CONNECTION_H_

#include <functional>
#include <memory>
#include <string_view>

#include "src/core/clock.h"
#include "src/core/ranked_mutex.h"
#include "src/core/settings_values.h"
#include "src/net/worker_pool.h"
#include "tools/relay/relay_buffer.h"
#include "tools/tcp/tcp_stream.h"

namespace marigold {

// The modes of both directions of a link.
struct RelayModes {
  // From the side that connects to the target.
  RelayMode forward;
  // From the target.
  RelayMode back;
};

// One accepted connection and its connection to the target.
class RelayConnection : public std::enable_shared_from_this<RelayConnection> {
 public:
  RelayConnection(WorkerPool& worker_pool,
                  const Endpoint& target_endpoint,
                  std::shared_ptr<TcpStream> accepted,
                  std::function<void(RelayConnection*)> on_closed);

  // Connects to the target. While the forward direction is silent, it waits.
  void Start(const RelayModes& modes);

  void SetModes(const RelayModes& modes);

  // Resets both sides.
  void Cut();

 private:
  // One direction: bytes go from `source` through the gate to `sink`.
  struct Direction {
    std::shared_ptr<TcpStream> source;
    std::shared_ptr<TcpStream> sink;
    RelayBuffer buffer;
    bool timer_set = false;
  };

  void Connect();
  void OnConnected(const std::shared_ptr<TcpStream>& connected);
  void Read(Direction& direction);
  void OnBytes(Direction& direction, std::string_view bytes);
  void OnEnd(Direction& direction);
  void ForwardDueBytes(Direction& direction);
  void SetMode(Direction& direction, const RelayMode& mode);
  void CloseBothSides();

  WorkerPool& pool;
  SystemClock clock;
  const Endpoint target;
  std::function<void(RelayConnection*)> closed_handler;
  RankedMutex<LockRank::kRelay> mutex;
  Direction forward;
  Direction back;
  bool connect_started = false;
  bool is_closed = false;
};

}  // namespace marigold

#endif  // TOOLS_RELAY_RELAY_CONNECTION_H_
