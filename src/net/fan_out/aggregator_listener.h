#ifndef SRC_NET_FAN_OUT_AGGREGATOR_LISTENER_H_
#define SRC_NET_FAN_OUT_AGGREGATOR_LISTENER_H_

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "src/core/result.h"
#include "src/core/settings_values.h"
#include "src/net/forward/strand.h"
#include "src/net/worker_pool.h"

namespace marigold {

// Accepts the connections of other entry VMs and gives them to the strands in
// turn.
class AggregatorListener {
 public:
  // Called on the strand that serves the connection.
  using AcceptHandler = std::function<void(const std::shared_ptr<Strand>&,
                                           boost::asio::ip::tcp::socket)>;

  // Listens on `endpoint`. Fails with `IoError` if it can't.
  static Result<std::unique_ptr<AggregatorListener>> Listen(
      WorkerPool& pool,
      const Endpoint& endpoint,
      std::vector<std::shared_ptr<Strand>> strands,
      AcceptHandler on_accepted);

  // Stops listening. Accepted connections stay open.
  ~AggregatorListener();

  AggregatorListener(const AggregatorListener&) = delete;
  AggregatorListener& operator=(const AggregatorListener&) = delete;

  struct Impl;

 private:
  explicit AggregatorListener(std::shared_ptr<Impl> listener_impl);

  std::shared_ptr<Impl> impl;
};

}  // namespace marigold

#endif  // SRC_NET_FAN_OUT_AGGREGATOR_LISTENER_H_
