#ifndef SRC_NET_CONTROL_CONTROL_SERVER_H_
#define SRC_NET_CONTROL_CONTROL_SERVER_H_

#include <memory>

#include "src/core/result.h"
#include "src/net/control/aggregator_sharing.h"
#include "src/net/control/control_driver.h"
#include "src/net/control/framed_server.h"
#include "src/net/control/hint_relay.h"
#include "src/net/control/quota_relay.h"
#include "src/net/control/subscriber_hub.h"
#include "src/net/worker_pool.h"
#include "src/tables/control_table.h"

namespace marigold {

// Accepts connections from other control VMs, entry VMs and marigoldctl,
// decodes their messages and dispatches them to commands and queries. No other
// class decodes requests to a control VM.
class ControlServer {
 public:
  // Listens on `endpoint`. Fails with `IoError` if it can't. The driver, the
  // hub and the tables must outlive the worker pool.
  static Result<std::unique_ptr<ControlServer>> Listen(
      WorkerPool& pool,
      const Endpoint& endpoint,
      std::shared_ptr<ControlDriver> driver,
      std::shared_ptr<SubscriberHub> hub,
      const ControlTable& table,
      ListingTable& listing,
      std::shared_ptr<HintRelay> relay,
      std::shared_ptr<AggregatorSharing> sharing,
      std::shared_ptr<QuotaRelay> quota_relay);
  ~ControlServer();

  ControlServer(const ControlServer&) = delete;
  ControlServer& operator=(const ControlServer&) = delete;

  struct Impl;

 private:
  explicit ControlServer(std::unique_ptr<Impl> server_impl);

  std::unique_ptr<Impl> impl;
};

}  // namespace marigold

#endif  // SRC_NET_CONTROL_CONTROL_SERVER_H_
