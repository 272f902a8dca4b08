#include "src/policy/fan_out/aggregator_registry.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace marigold {

namespace {

std::vector<Aggregator> Values(const std::map<VmId, Aggregator>& by_vm) {
  std::vector<Aggregator> values;
  values.reserve(by_vm.size());
  for (const auto& [vm, aggregator] : by_vm) {
    values.push_back(aggregator);
  }
  return values;
}

}  // namespace

AggregatorUpdate DifferenceOf(const std::vector<Aggregator>& before,
                              const std::vector<Aggregator>& after) {
  AggregatorUpdate update;
  std::set_difference(after.begin(), after.end(), before.begin(), before.end(),
                      std::back_inserter(update.added));
  for (const Aggregator& aggregator : before) {
    const bool is_kept = std::any_of(
        after.begin(), after.end(),
        [&](const Aggregator& other) { return other.vm == aggregator.vm; });
    if (!is_kept) {
      update.removed.push_back(aggregator.vm);
    }
  }
  return update;
}

void AggregatorRegistry::Announce(StreamId stream,
                                  const Aggregator& aggregator) {
  this->local[stream] = aggregator;
}

void AggregatorRegistry::Withdraw(StreamId stream) {
  this->local.erase(stream);
}

void AggregatorRegistry::ApplyPeerSet(MonotonicTime now,
                                      const Endpoint& control_vm,
                                      std::vector<Aggregator> aggregators) {
  this->peer_sets[control_vm] = {now, std::move(aggregators)};
}

void AggregatorRegistry::DropExpired(MonotonicTime now) {
  std::erase_if(this->peer_sets, [&](const auto& item) {
    return now - item.second.reported_at > kPeerSetLifetime;
  });
}

std::vector<Aggregator> AggregatorRegistry::Local() const {
  std::map<VmId, Aggregator> by_vm;
  for (const auto& [stream, aggregator] : this->local) {
    by_vm[aggregator.vm] = aggregator;
  }
  return Values(by_vm);
}

std::vector<Aggregator> AggregatorRegistry::All() const {
  std::vector<const PeerSet*> oldest_first;
  for (const auto& [control_vm, peer_set] : this->peer_sets) {
    oldest_first.push_back(&peer_set);
  }
  std::sort(oldest_first.begin(), oldest_first.end(),
            [](const PeerSet* a, const PeerSet* b) {
              return a->reported_at < b->reported_at;
            });
  std::map<VmId, Aggregator> by_vm;
  for (const PeerSet* peer_set : oldest_first) {
    for (const Aggregator& aggregator : peer_set->aggregators) {
      by_vm[aggregator.vm] = aggregator;
    }
  }
  for (const auto& [stream, aggregator] : this->local) {
    by_vm[aggregator.vm] = aggregator;
  }
  return Values(by_vm);
}

}  // namespace marigold
