#ifndef SRC_NET_CONTROL_DETAIL_SUBSCRIBER_H_
#define SRC_NET_CONTROL_DETAIL_SUBSCRIBER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>

#include "src/core/ids.h"
#include "src/core/units.h"
#include "src/net/control/framed_connection.h"
#include "src/policy/listing.h"

namespace marigold::detail {

// An entry VM that follows a control VM, as the control VM sees it.
struct Subscriber {
  std::shared_ptr<FramedConnection> connection;
  VmId vm;
  DataCentreId data_centre;
  // The index that the subscriber has once the last update has arrived.
  LogIndex sent_index;
  bool needs_full_lists = false;
  // The hash of the listing that the subscriber has or was sent last.
  ListingHash listing;
  // Number of `Subscribe` requests on this connection.
  std::uint64_t subscription_number = 0;
  // The index that the subscriber reported last, and the time of its last
  // request or heartbeat.
  LogIndex acknowledged_index;
  MonotonicTime last_message_at;
  // When the subscriber was first found to lack the newest lists. Absent while
  // it has them.
  std::optional<MonotonicTime> behind_since;
  // True once it was logged as late with these lists.
  bool is_logged_late = false;
};

using Subscribers = std::map<const FramedConnection*, Subscriber>;

// Logs how the lists reach the subscribers: when all have confirmed a change,
// and which of them are late. Not synchronised.
class DistributionLog {
 public:
  // The newest lists have this index.
  void OnNewest(MonotonicTime now, LogIndex newest);

  // `subscriber`, which is one of `all`, has confirmed the newest lists. One
  // line covers all changes that were made since the last one, which bounds the
  // volume during a burst.
  void OnConfirmed(MonotonicTime now,
                   LogIndex newest,
                   Subscriber& subscriber,
                   const Subscribers& all);

  // Logs each subscriber that is late, once until it has the newest lists.
  void LogLate(MonotonicTime now, Subscribers& all);

 private:
  // A change that not all subscribers have confirmed.
  struct OpenChange {
    LogIndex index;
    MonotonicTime began_at;
  };

  std::optional<OpenChange> open_change;
  // The newest index that all subscribers were logged to have.
  LogIndex logged_index;
};

}  // namespace marigold::detail

#endif  // SRC_NET_CONTROL_DETAIL_SUBSCRIBER_H_
