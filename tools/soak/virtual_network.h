#ifndef TOOLS_SOAK_VIRTUAL_NETWORK_H_
#define TOOLS_SOAK_VIRTUAL_NETWORK_H_

#include <compare>
#include <functional>
#include <set>
#include <utility>

#include "src/core/ids.h"
#include "src/core/random.h"
#include "src/core/units.h"
#include "tools/soak/event_queue.h"

namespace marigold {

// Delay, loss and duplication of messages on links that are not cut.
struct LinkQuality {
  Duration delay = std::chrono::microseconds(500);
  // Upper bound of an additional delay, drawn for each message. It reorders
  // messages.
  Duration jitter = std::chrono::microseconds(300);
  double loss = 0;
  double duplication = 0;
};

// Delivers messages between VMs as delayed calls. A cut affects one direction
// and drops messages without notifying either side.
class VirtualNetwork {
 public:
  VirtualNetwork(EventQueue& event_queue, SeededRandom& random_source);

  void SetQuality(const LinkQuality& quality) { this->link_quality = quality; }
  void Cut(const VmId& from, const VmId& to);
  void CutBothWays(const VmId& a, const VmId& b);
  void Heal();

  // Calls `deliver` later: not at all if the message is lost, and twice if it
  // is duplicated.
  void Send(const VmId& from,
            const VmId& to,
            const std::function<void()>& deliver);

  bool IsCut(const VmId& from, const VmId& to) const;

 private:
  void Deliver(const VmId& from, const VmId& to, std::function<void()> deliver);

  EventQueue& events;
  SeededRandom& random;
  LinkQuality link_quality;
  std::set<std::pair<VmId, VmId>> cut_links;
};

}  // namespace marigold

#endif  // TOOLS_SOAK_VIRTUAL_NETWORK_H_
