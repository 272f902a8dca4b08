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

// The streams of the entry VMs that follow this control VM. Each gets the edits
// after the index that it has, or the whole lists, the listing of backend
// servers when it has changed, and heartbeats.
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

  // Begins to send heartbeats.
  void Start();
  // Begins a stream on the connection, or begins it anew.
  void Subscribe(const std::shared_ptr<FramedConnection>& connection,
                 const marigold::Subscribe& request);
  void OnHeartbeat(const FramedConnection& connection,
                   const StreamHeartbeat& heartbeat);
  void OnClosed(const FramedConnection& connection);
  // The table's lists or the contact with a quorum have changed.
  void NotifyListsChanged();
  // The listing's rows have changed.
  void NotifyListingChanged();
  // Sends a message to all entry VMs that follow this control VM.
  void SendToAll(const ControlMessage& message);

  // Queries.

  std::vector<SubscriberStatus> Subscribers() const;

  struct Impl;

 private:
  std::shared_ptr<Impl> impl;
};

}  // namespace marigold

#endif  // SRC_NET_CONTROL_SUBSCRIBER_HUB_H_
