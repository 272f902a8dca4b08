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

// How links treat messages that no cut stops.
struct LinkQuality {
  Duration delay = std::chrono::microseconds(500);
  // Up to this much more, drawn for each message; reorders them.
  Duration jitter = std::chrono::microseconds(300);
  double loss = 0;
  double duplication = 0;
};

// Carries messages between VMs as delayed calls. A cut works in one direction
// and drops messages without telling either side.
class VirtualNetwork {
 public:
  VirtualNetwork(EventQueue& event_queue, SeededRandom& random_source);

  void SetQuality(const LinkQuality& quality) { this->link_quality = quality; }
  void Cut(const VmId& from, const VmId& to);
  void CutBothWays(const VmId& a, const VmId& b);
  void Heal();

  // Calls `deliver` once, twice or never.
  void Send(const VmId& from,
            const VmId& to,
            const std::function<void()>& deliver);

  bool IsCut(const VmId& from, const VmId& to) const;

 private:
  void Deliver(const VmId& from, const VmId& to, std::function<void()> deliver);

  EventQueue& events;
  SeededRandom& random;
  LinkQuality link_quality;
  std::set<std::pair<VmId, VmId>> cuts;
};

}  // namespace marigold

#endif  // TOOLS_SOAK_VIRTUAL_NETWORK_H_
