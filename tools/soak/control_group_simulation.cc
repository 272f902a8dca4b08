#include "tools/soak/control_group_simulation.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace marigold {

namespace {

constexpr std::size_t kVoterCount = 3;
constexpr std::size_t kControlVmCount = 5;
constexpr std::size_t kEntryVmCount = 3;
constexpr std::size_t kOperatorCount = 2;
constexpr std::uint16_t kPort = 9100;
constexpr Duration kEditCheckInterval = std::chrono::milliseconds(20);
constexpr Duration kAddMemberInterval = std::chrono::milliseconds(700);
constexpr Duration kLeaderCheckInterval = std::chrono::milliseconds(50);
constexpr Duration kRestartDelay = std::chrono::milliseconds(500);

Membership InitialMembership() {
  Membership membership;
  for (std::size_t i = 0; i < kControlVmCount; ++i) {
    Member member;
    member.vm = VmId(fmt::format("control-{}", i + 1));
    member.disk = DiskId(fmt::format("disk-{}", i + 1));
    member.address = {fmt::format("127.0.0.{}", i + 1), kPort};
    member.role = i < kVoterCount ? MemberRole::kVoter : MemberRole::kSpare;
    membership.members.push_back(member);
  }
  return membership;
}

}  // namespace

ControlGroupSimulation::ControlGroupSimulation(std::uint64_t seed,
                                               PlantedBug bug_to_plant)
    : random_source(seed),
      virtual_network(event_queue, random_source),
      planted_bug(bug_to_plant) {
  const Membership membership = InitialMembership();
  for (const Member& member : membership.members) {
    this->control_vms.push_back(std::make_unique<ControlVm>(
        this->context(), member.vm, member.disk, membership));
    this->control_vms.back()->SetSend(
        [this, vm = member.vm](const ReplicaMessage& message) {
          this->RouteMessage(vm, message);
        });
  }
  for (std::size_t i = 0; i < kEntryVmCount; ++i) {
    this->list_subscribers.push_back(std::make_unique<ListSubscriber>(
        this->context(), VmId(fmt::format("entry-{}", i + 1)),
        this->control_vms));
  }
  for (std::size_t i = 0; i < kOperatorCount; ++i) {
    this->operators.push_back(std::make_unique<SimulatedOperator>(
        this->context(), fmt::format("operator-{}", i + 1), this->control_vms));
  }
}

SimulationContext ControlGroupSimulation::context() {
  return {this->event_queue, this->virtual_network, this->random_source,
          this->invariant_checker, this->planted_bug};
}

void ControlGroupSimulation::Start(Duration operator_pause,
                                   MonotonicTime operators_end) {
  for (const auto& control : this->control_vms) {
    control->Start();
  }
  for (const auto& subscriber : this->list_subscribers) {
    subscriber->Start();
  }
  for (const auto& actor : this->operators) {
    actor->Start(operator_pause, operators_end);
  }
  this->WatchAcceptedEdits();
}

void ControlGroupSimulation::RouteMessage(const VmId& from,
                                          const ReplicaMessage& message) {
  for (const auto& control : this->control_vms) {
    if (control->disk_id() == message.to) {
      this->virtual_network.Send(from, control->id(),
                                 [target = control.get(), message] {
                                   if (target->disk_id() == message.to) {
                                     target->Receive(message);
                                   }
                                 });
    }
  }
}

void ControlGroupSimulation::WatchAcceptedEdits() {
  const LogIndex accepted = this->invariant_checker.last_accepted_index();
  if (this->in_force_bound && accepted > this->last_watched_index) {
    this->event_queue.After(*this->in_force_bound, [this, accepted] {
      this->CheckListsInForce(accepted);
    });
  }
  this->last_watched_index = std::max(this->last_watched_index, accepted);
  this->event_queue.After(kEditCheckInterval,
                          [this] { this->WatchAcceptedEdits(); });
}

void ControlGroupSimulation::CheckListsInForce(LogIndex index) {
  for (const auto& subscriber : this->list_subscribers) {
    if (subscriber->index() < index) {
      this->invariant_checker.ReportInvariant(
          Invariant::kListNeverReverts,
          fmt::format("{} has list index {} instead of the accepted index {} "
                      "after {} ms",
                      subscriber->id().value(), subscriber->index().value(),
                      index.value(), ToMilliseconds(*this->in_force_bound)));
    }
  }
}

void ControlGroupSimulation::ExpectLeaderWithin(Duration bound) {
  if (!this->in_force_bound) {
    // Other faults may have left no quorum.
    return;
  }
  const MonotonicTime lost_at = this->event_queue.now();
  // An isolated leader remains leader in its own view for a while, so the check
  // starts after half of the bound.
  this->event_queue.After(bound / 2, [this, lost_at, bound] {
    this->CheckNewLeader(lost_at, bound);
  });
}

// A leader at any moment in the second half of the bound is sufficient, because
// the next fault may remove the new leader before the bound ends.
void ControlGroupSimulation::CheckNewLeader(MonotonicTime lost_at,
                                            Duration bound) {
  if (this->Leader()) {
    return;
  }
  const MonotonicTime now = this->event_queue.now();
  if (now >= lost_at + bound) {
    this->invariant_checker.ReportViolation(fmt::format(
        "no new leader within {} ms of the loss of the old one at {} ms",
        ToMilliseconds(bound), ToMilliseconds(lost_at.time_since_epoch())));
    return;
  }
  this->event_queue.After(kLeaderCheckInterval, [this, lost_at, bound] {
    this->CheckNewLeader(lost_at, bound);
  });
}

void ControlGroupSimulation::LoseDisk(std::size_t control) {
  if (!this->CanDamageDisk()) {
    return;
  }
  ControlVm& vm = *this->control_vms[control];
  vm.LoseDisk(DiskId(
      fmt::format("disk-{}-{}", control + 1, ++this->replaced_disk_count)));
  this->RestartAfter(control, kRestartDelay);
  this->AddAsSpare(control);
}

void ControlGroupSimulation::RestoreOlderDisk(std::size_t control) {
  if (!this->CanDamageDisk()) {
    return;
  }
  this->control_vms[control]->RestoreDiskCopy();
  this->RestartAfter(control, kRestartDelay);
}

// Acts as the operator who adds a VM with an empty disk. Proposes the change
// repeatedly until the VM is a member with its new disk.
void ControlGroupSimulation::AddAsSpare(std::size_t control) {
  const ControlVm& vm = *this->control_vms[control];
  const auto leader = this->Leader();
  if (leader) {
    ControlVm& leader_vm = *this->control_vms[*leader];
    if (leader_vm.membership()->Find(vm.disk_id()) != nullptr) {
      return;
    }
    MembershipChange change;
    change.kind = MembershipChange::Kind::kAdd;
    change.member.disk = vm.disk_id();
    change.member.vm = vm.id();
    change.member.address = {"127.0.0.1", kPort};
    change.member.role = MemberRole::kSpare;
    leader_vm.ProposeMember(change);
  }
  this->event_queue.After(kAddMemberInterval,
                          [this, control] { this->AddAsSpare(control); });
}

void ControlGroupSimulation::RestartAfter(std::size_t control, Duration delay) {
  this->event_queue.After(
      delay, [this, control] { this->control_vms[control]->Start(); });
}

void ControlGroupSimulation::RestartAll() {
  for (const auto& control : this->control_vms) {
    control->Start();
  }
}

void ControlGroupSimulation::Heal() {
  this->virtual_network.Heal();
  for (const auto& control : this->control_vms) {
    control->DisarmCrash();
  }
  this->RestartAll();
}

void ControlGroupSimulation::CheckConvergence() {
  if (!this->Leader()) {
    this->invariant_checker.ReportViolation(
        "no leader after the end of all faults");
  }
  this->in_force_bound = this->in_force_bound.value_or(Duration::zero());
  this->CheckListsInForce(this->invariant_checker.last_accepted_index());
}

std::optional<std::size_t> ControlGroupSimulation::Leader() const {
  std::optional<std::size_t> found;
  Term term;
  for (std::size_t i = 0; i < this->control_vms.size(); ++i) {
    const ControlVm& vm = *this->control_vms[i];
    if (vm.IsLeader() && !vm.is_frozen() && (!found || vm.term() > term)) {
      found = i;
      term = vm.term();
    }
  }
  return found;
}

std::size_t ControlGroupSimulation::RandomVoter() {
  const auto leader = this->Leader();
  std::vector<std::size_t> voters;
  for (std::size_t i = 0; i < this->control_vms.size(); ++i) {
    const bool votes =
        leader && this->control_vms[*leader]->membership()->IsVoter(
                      this->control_vms[i]->disk_id());
    if (votes) {
      voters.push_back(i);
    }
  }
  if (voters.empty()) {
    return this->random_source.NextBelow(kVoterCount);
  }
  return voters[this->random_source.NextBelow(voters.size())];
}

bool ControlGroupSimulation::CanElectWithout(std::size_t lost) const {
  const Membership* membership = nullptr;
  for (const auto& control : this->control_vms) {
    if (control->is_running()) {
      membership = control->membership();
    }
  }
  if (const auto leader = this->Leader()) {
    membership = this->control_vms[*leader]->membership();
  }
  std::size_t eligible_voters = 0;
  for (std::size_t i = 0; membership != nullptr && i < kControlVmCount; ++i) {
    const ControlVm& vm = *this->control_vms[i];
    const bool votes = vm.is_running() && !vm.is_frozen() &&
                       !vm.is_boot_unconfirmed() &&
                       membership->IsVoter(vm.disk_id());
    eligible_voters += i != lost && votes ? 1 : 0;
  }
  return membership != nullptr && eligible_voters >= membership->QuorumSize();
}

bool ControlGroupSimulation::CanDamageDisk() const {
  const auto leader = this->Leader();
  if (!leader) {
    return false;
  }
  const ControlVm& leader_vm = *this->control_vms[*leader];
  std::size_t intact_voters = 0;
  for (const auto& control : this->control_vms) {
    const bool votes = leader_vm.membership()->IsVoter(control->disk_id());
    // A repair is not finished while its membership change has been appended
    // but has not reached all voters. After another loss the remaining voters
    // might not know of the change.
    if (votes && control->is_running() && !control->is_boot_unconfirmed() &&
        *control->membership() == *leader_vm.membership() &&
        control->commit_index() >= leader_vm.commit_index()) {
      ++intact_voters;
    }
  }
  return intact_voters >= kVoterCount &&
         leader_vm.membership()->VoterCount() == kVoterCount &&
         leader_vm.commit_index() == leader_vm.last_index();
}

}  // namespace marigold
