#ifndef SRC_NET_CONTROL_AGGREGATOR_SHARING_H_
#define SRC_NET_CONTROL_AGGREGATOR_SHARING_H_

#include <functional>
#include <memory>
#include <vector>

#include "src/net/control/framed_connection.h"
#include "src/net/worker_pool.h"
#include "src/wire/control_messages.h"

namespace marigold {

// Tells entry VMs which other entry VMs answer their queries. Collects the
// announcements of the entry VMs that follow this control VM, exchanges them
// with the other control VMs, and sends each follower the whole set once and
// then the changes.
class AggregatorSharing {
 public:
  // Sends the set of this control VM to all other control VMs.
  using Sender = std::function<void(const AggregatorSet& set)>;

  // `own_address` identifies this control VM to the others.
  AggregatorSharing(WorkerPool& pool,
                    Endpoint own_address,
                    Sender send_to_peers);
  ~AggregatorSharing();

  AggregatorSharing(const AggregatorSharing&) = delete;
  AggregatorSharing& operator=(const AggregatorSharing&) = delete;

  // Commands.

  // Begins to send the set to the other control VMs in regular intervals.
  void Start();
  void Announce(const std::shared_ptr<FramedConnection>& connection,
                const AnnounceAggregator& announced);
  void OnClosed(const FramedConnection& connection);
  void OnPeerSet(const AggregatorSet& received);

  // Queries.

  // The data centres of all known entry VMs, with duplicates.
  std::vector<DataCentreId> DataCentres() const;

  struct Impl;

 private:
  std::shared_ptr<Impl> impl;
};

}  // namespace marigold

#endif  // SRC_NET_CONTROL_AGGREGATOR_SHARING_H_
