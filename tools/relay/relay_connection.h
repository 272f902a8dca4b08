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

// The fault modes of both directions of a link.
struct RelayModes {
  // From the client, which connects to the relay, to the target.
  RelayMode forward;
  // From the target to the client.
  RelayMode back;
};

// One accepted connection and the connection to the target to which it is
// relayed. Safe to use from several threads.
class RelayConnection : public std::enable_shared_from_this<RelayConnection> {
 public:
  // `on_closed` runs when the connection is cut or either side has closed it.
  // It may run more than once.
  RelayConnection(WorkerPool& worker_pool,
                  const Endpoint& target_endpoint,
                  std::shared_ptr<TcpStream> accepted,
                  std::function<void(RelayConnection*)> on_closed);

  // Applies `modes` and connects to the target. If the forward direction is
  // silent, it connects when that ends.
  void Start(const RelayModes& modes);

  // Applies to held bytes as well. Connects to the target if that was delayed.
  void SetModes(const RelayModes& modes);

  // Closes both sides with a TCP reset and drops held bytes.
  void Cut();

 private:
  // One direction: bytes go from `source` through `buffer` to `sink`. The
  // stream to the target is null until it is connected.
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
