#ifndef SRC_NET_CONTROL_SUBSCRIBER_HUB_H_
#define SRC_NET_CONTROL_SUBSCRIBER_HUB_H_

#include <memory>
#include <vector>

#include "src/core/units.h"
#include "src/net/control/framed_connection.h"
#include "src/net/worker_pool.h"
#include "src/tables/control_status.h"
#include "src/tables/control_table.h"
#include "src/tables/listing_table.h"
#include "src/wire/control_messages.h"

namespace marigold {

// Serves the entry VMs that are subscribed to this control VM. Sends each of
// them heartbeats, the edits after the index of its lists or the full lists,
// and the listing of backend servers when that has changed.
class SubscriberHub {
 public:
  SubscriberHub(WorkerPool& pool,
                const ControlTable& table,
                const ListingTable& listing,
                Duration heartbeat_interval);
  ~SubscriberHub();

  SubscriberHub(const SubscriberHub&) = delete;
  SubscriberHub& operator=(const SubscriberHub&) = delete;

  // Commands.

  // Begins to send heartbeats to all subscribers.
  void Start();
  // Begins a subscription on the connection, or restarts it with the index and
  // listing in `request`.
  void Subscribe(const std::shared_ptr<FramedConnection>& connection,
                 const marigold::Subscribe& request);
  void OnHeartbeat(const FramedConnection& connection,
                   const StreamHeartbeat& heartbeat);
  void OnClosed(const FramedConnection& connection);
  // Must be called when the table's lists or `ControlStatus::has_quorum` have
  // changed.
  void NotifyListsChanged();
  // Must be called when the rows of the listing have changed.
  void NotifyListingChanged();
  // Sends a message to all subscribed entry VMs.
  void SendToAll(const ControlMessage& message);

  // Queries.

  std::vector<SubscriberStatus> Subscribers() const;

  struct Impl;

 private:
  std::shared_ptr<Impl> impl;
};

}  // namespace marigold

#endif  // SRC_NET_CONTROL_SUBSCRIBER_HUB_H_
