#ifndef SRC_POLICY_FAN_OUT_AGGREGATOR_REGISTRY_H_
#define SRC_POLICY_FAN_OUT_AGGREGATOR_REGISTRY_H_

#include <cstdint>
#include <map>
#include <vector>

#include "src/core/ids.h"
#include "src/core/settings_values.h"
#include "src/core/units.h"
#include "src/policy/fan_out/fan_out_types.h"

namespace marigold {

// A change of the set of aggregators.
struct AggregatorUpdate {
  // True if `added` is the whole set.
  bool is_full = false;
  std::vector<Aggregator> added;
  std::vector<VmId> removed;

  bool operator==(const AggregatorUpdate&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->is_full, this->added, this->removed);
  }
};

// Returns the change that turns `before` into `after`. Both are sorted by VM.
AggregatorUpdate DifferenceOf(const std::vector<Aggregator>& before,
                              const std::vector<Aggregator>& after);

// The aggregators that a control VM knows: those that follow it, and the sets
// that the other control VMs have reported. Not synchronised.
class AggregatorRegistry {
 public:
  // Identifies the stream of an entry VM to this control VM.
  using StreamId = detail::NumericId<struct AggregatorStreamIdTag>;

  // Commands.

  // An entry VM that follows this control VM answers queries.
  void Announce(StreamId stream, const Aggregator& aggregator);
  // The entry VM leaves, or its stream has closed.
  void Withdraw(StreamId stream);
  // Replaces the set that another control VM has reported.
  void ApplyPeerSet(MonotonicTime now,
                    const Endpoint& control_vm,
                    std::vector<Aggregator> aggregators);
  // Drops the sets of control VMs that have been silent for `kPeerSetLifetime`.
  void DropExpired(MonotonicTime now);

  // Queries.

  // The entry VMs that follow this control VM, sorted by VM.
  std::vector<Aggregator> Local() const;
  // All known entry VMs, sorted by VM. An entry VM that follows this control VM
  // or was reported later replaces an earlier report of the same VM.
  std::vector<Aggregator> All() const;

  // The set of a control VM that has stopped is used for this long. The entry
  // VMs that followed it have announced themselves elsewhere by then.
  static constexpr Duration kPeerSetLifetime = std::chrono::seconds(12);

 private:
  struct PeerSet {
    MonotonicTime reported_at;
    std::vector<Aggregator> aggregators;
  };

  std::map<StreamId, Aggregator> local;
  std::map<Endpoint, PeerSet> peer_sets;
};

}  // namespace marigold

#endif  // SRC_POLICY_FAN_OUT_AGGREGATOR_REGISTRY_H_
