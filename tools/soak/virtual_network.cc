#include "tools/soak/virtual_network.h"

namespace marigold {

VirtualNetwork::VirtualNetwork(EventQueue& event_queue,
                               SeededRandom& random_source)
    : events(event_queue), random(random_source) {}

void VirtualNetwork::Cut(const VmId& from, const VmId& to) {
  this->cut_links.emplace(from, to);
}

void VirtualNetwork::CutBothWays(const VmId& a, const VmId& b) {
  this->Cut(a, b);
  this->Cut(b, a);
}

void VirtualNetwork::Heal() {
  this->cut_links.clear();
  this->link_quality = LinkQuality();
}

void VirtualNetwork::Send(const VmId& from,
                          const VmId& to,
                          const std::function<void()>& deliver) {
  if (this->random.NextDouble() >= this->link_quality.loss) {
    this->Deliver(from, to, deliver);
  }
  if (this->random.NextDouble() < this->link_quality.duplication) {
    this->Deliver(from, to, deliver);
  }
}

bool VirtualNetwork::IsCut(const VmId& from, const VmId& to) const {
  return this->cut_links.contains({from, to});
}

void VirtualNetwork::Deliver(const VmId& from,
                             const VmId& to,
                             std::function<void()> deliver) {
  const double extra = this->random.NextDouble();
  const auto jitter = static_cast<std::int64_t>(
      extra * static_cast<double>(this->link_quality.jitter.count()));
  this->events.After(this->link_quality.delay + Duration(jitter),
                     [this, from, to, deliver = std::move(deliver)] {
                       // A cut also drops messages that are already in flight.
                       if (!this->IsCut(from, to)) {
                         deliver();
                       }
                     });
}

}  // namespace marigold
