#ifndef TOOLS_SOAK_CONTROL_GROUP_SIMULATION_H_
#define TOOLS_SOAK_CONTROL_GROUP_SIMULATION_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/core/random.h"
#include "tools/soak/control_vm.h"
#include "tools/soak/event_queue.h"
#include "tools/soak/invariant_checker.h"
#include "tools/soak/list_subscriber.h"
#include "tools/soak/simulated_operator.h"
#include "tools/soak/virtual_network.h"

namespace marigold {

// Simulates three voters and two spares in three data centres, one entry VM in
// each data centre, and two operators.
class ControlGroupSimulation {
 public:
  ControlGroupSimulation(std::uint64_t seed, PlantedBug bug_to_plant);

  // Commands.

  // Starts all processes. Faults may be scheduled before or after this call.
  void Start(Duration operator_pause, MonotonicTime operators_end);

  // Checks from now on that each accepted edit is in force on all entry VMs
  // within `bound`.
  void ExpectInForceWithin(Duration bound) { this->in_force_bound = bound; }

  // Checks that some member is leader at a moment in the second half of
  // `bound`. Does nothing in a run without `ExpectInForceWithin`, where other
  // faults may have left no quorum.
  void ExpectLeaderWithin(Duration bound);

  // Loses a voter's disk if the group can tolerate it now. The VM restarts with
  // an empty disk and is added as a spare.
  void LoseDisk(std::size_t control);

  // Restores a voter's disk to an older copy if the group can tolerate it now.
  void RestoreOlderDisk(std::size_t control);

  void RestartAfter(std::size_t control, Duration delay);
  void RestartAll();

  // Heals the network, disarms pending crashes and starts all control VMs.
  void Heal();

  // Checks that a leader exists and that all entry VMs have all accepted edits.
  void CheckConvergence();

  // Queries.

  EventQueue& events() { return this->event_queue; }
  SeededRandom& random() { return this->random_source; }
  VirtualNetwork& network() { return this->virtual_network; }
  InvariantChecker& checker() { return this->invariant_checker; }
  SimulationContext context();
  const std::vector<std::unique_ptr<ControlVm>>& controls() const {
    return this->control_vms;
  }
  const std::vector<std::unique_ptr<ListSubscriber>>& subscribers() const {
    return this->list_subscribers;
  }
  std::optional<std::size_t> Leader() const;
  // Returns a random control VM that is a voter now, or one of the initial
  // voters if there is no leader.
  std::size_t RandomVoter();
  // True if the running voters other than `lost` that are able to vote form a
  // quorum.
  bool CanElectWithout(std::size_t lost) const;
  // True if three intact voters run and no damaged disk is being replaced.
  bool CanDamageDisk() const;

 private:
  void CheckNewLeader(MonotonicTime lost_at, Duration bound);
  void RouteMessage(const VmId& from, const ReplicaMessage& message);
  void WatchAcceptedEdits();
  void CheckListsInForce(LogIndex index);
  void AddAsSpare(std::size_t control);

  EventQueue event_queue;
  SeededRandom random_source;
  VirtualNetwork virtual_network;
  InvariantChecker invariant_checker;
  PlantedBug planted_bug;
  std::vector<std::unique_ptr<ControlVm>> control_vms;
  std::vector<std::unique_ptr<ListSubscriber>> list_subscribers;
  std::vector<std::unique_ptr<SimulatedOperator>> operators;
  std::optional<Duration> in_force_bound;
  LogIndex last_watched_index;
  std::uint64_t replaced_disk_count = 0;
};

}  // namespace marigold

#endif  // TOOLS_SOAK_CONTROL_GROUP_SIMULATION_H_
