#include "tools/soak/control_world.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace marigold {

namespace {

constexpr std::size_t kVoters = 3;
constexpr std::size_t kControls = 5;
constexpr std::size_t kEntries = 3;
constexpr std::size_t kOperators = 2;
constexpr std::uint16_t kPort = 9100;
constexpr Duration kWatchInterval = std::chrono::milliseconds(20);
constexpr Duration kMemberInterval = std::chrono::milliseconds(700);
constexpr Duration kLeaderCheckInterval = std::chrono::milliseconds(50);
constexpr Duration kRestartDelay = std::chrono::milliseconds(500);

Membership FirstMembership() {
  Membership membership;
  for (std::size_t i = 0; i < kControls; ++i) {
    Member member;
    member.vm = VmId(fmt::format("control-{}", i + 1));
    member.disk = DiskId(fmt::format("disk-{}", i + 1));
    member.address = {fmt::format("127.0.0.{}", i + 1), kPort};
    member.role = i < kVoters ? MemberRole::kVoter : MemberRole::kSpare;
    membership.members.push_back(member);
  }
  return membership;
}

}  // namespace

ControlWorld::ControlWorld(std::uint64_t seed, Plant planted_fault)
    : random_source(seed),
      virtual_network(event_queue, random_source),
      plant(planted_fault) {
  const Membership membership = FirstMembership();
  for (const Member& member : membership.members) {
    this->control_vms.push_back(std::make_unique<ControlVm>(
        this->surroundings(), member.vm, member.disk, membership));
    this->control_vms.back()->SetSend(
        [this, vm = member.vm](const ReplicaMessage& message) {
          this->RouteMessage(vm, message);
        });
  }
  for (std::size_t i = 0; i < kEntries; ++i) {
    this->entry_vms.push_back(std::make_unique<ListFollower>(
        this->surroundings(), VmId(fmt::format("entry-{}", i + 1)),
        this->control_vms));
  }
  for (std::size_t i = 0; i < kOperators; ++i) {
    this->operators.push_back(std::make_unique<OperatorActor>(
        this->surroundings(), fmt::format("operator-{}", i + 1),
        this->control_vms));
  }
}

Surroundings ControlWorld::surroundings() {
  return {this->event_queue, this->virtual_network, this->random_source,
          this->run_judge, this->plant};
}

void ControlWorld::Start(Duration operator_pause, MonotonicTime operators_end) {
  for (const auto& control : this->control_vms) {
    control->Start();
  }
  for (const auto& entry : this->entry_vms) {
    entry->Start();
  }
  for (const auto& actor : this->operators) {
    actor->Start(operator_pause, operators_end);
  }
  this->WatchAcceptedEdits();
}

void ControlWorld::RouteMessage(const VmId& from,
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

void ControlWorld::WatchAcceptedEdits() {
  const LogIndex accepted = this->run_judge.last_accepted_index();
  if (this->in_force_bound && accepted > this->last_watched) {
    this->event_queue.After(*this->in_force_bound,
                            [this, accepted] { this->CheckInForce(accepted); });
  }
  this->last_watched = std::max(this->last_watched, accepted);
  this->event_queue.After(kWatchInterval,
                          [this] { this->WatchAcceptedEdits(); });
}

void ControlWorld::CheckInForce(LogIndex index) {
  for (const auto& entry : this->entry_vms) {
    if (entry->index() < index) {
      this->run_judge.Report(
          Invariant::kListNeverReverts,
          fmt::format("{} has index {} and not the accepted {} after {} ms",
                      entry->id().value(), entry->index().value(),
                      index.value(), ToMilliseconds(*this->in_force_bound)));
    }
  }
}

void ControlWorld::ExpectLeaderWithin(Duration bound) {
  if (!this->in_force_bound) {
    // Other faults may have taken the quorum.
    return;
  }
  const MonotonicTime lost_at = this->event_queue.now();
  // An isolated leader takes itself for one for a while.
  this->event_queue.After(bound / 2, [this, lost_at, bound] {
    this->CheckNewLeader(lost_at, bound);
  });
}

// A leader at any moment of the second half of the bound will do: the next
// fault may take that one, too, before the bound ends.
void ControlWorld::CheckNewLeader(MonotonicTime lost_at, Duration bound) {
  if (this->Leader()) {
    return;
  }
  const MonotonicTime now = this->event_queue.now();
  if (now >= lost_at + bound) {
    this->run_judge.ReportText(fmt::format(
        "no new leader {} ms after the loss of the old one (at {} ms)",
        ToMilliseconds(bound), ToMilliseconds(lost_at.time_since_epoch())));
    return;
  }
  this->event_queue.After(kLeaderCheckInterval, [this, lost_at, bound] {
    this->CheckNewLeader(lost_at, bound);
  });
}

void ControlWorld::LoseDisk(std::size_t control) {
  if (!this->CanDamageDisk()) {
    return;
  }
  ControlVm& vm = *this->control_vms[control];
  vm.LoseDisk(
      DiskId(fmt::format("disk-{}-{}", control + 1, ++this->replaced_disks)));
  this->RestartAfter(control, kRestartDelay);
  this->AddAsSpare(control);
}

void ControlWorld::RestoreOlderDisk(std::size_t control) {
  if (!this->CanDamageDisk()) {
    return;
  }
  this->control_vms[control]->RestoreDiskCopy();
  this->RestartAfter(control, kRestartDelay);
}

// Plays the operator who adds a VM with an empty disk: asks until the VM is a
// member under its new disk.
void ControlWorld::AddAsSpare(std::size_t control) {
  const ControlVm& vm = *this->control_vms[control];
  const auto leader = this->Leader();
  if (leader) {
    ControlVm& leading = *this->control_vms[*leader];
    if (leading.membership()->Find(vm.disk_id()) != nullptr) {
      return;
    }
    MembershipChange change;
    change.kind = MembershipChange::Kind::kAdd;
    change.member.disk = vm.disk_id();
    change.member.vm = vm.id();
    change.member.address = {"127.0.0.1", kPort};
    change.member.role = MemberRole::kSpare;
    leading.ProposeMember(change);
  }
  this->event_queue.After(kMemberInterval,
                          [this, control] { this->AddAsSpare(control); });
}

void ControlWorld::RestartAfter(std::size_t control, Duration delay) {
  this->event_queue.After(
      delay, [this, control] { this->control_vms[control]->Start(); });
}

void ControlWorld::RestartAll() {
  for (const auto& control : this->control_vms) {
    control->Start();
  }
}

void ControlWorld::Heal() {
  this->virtual_network.Heal();
  for (const auto& control : this->control_vms) {
    control->DisarmCrash();
  }
  this->RestartAll();
}

void ControlWorld::CheckConvergence() {
  if (!this->Leader()) {
    this->run_judge.ReportText("no leader after all faults have ended");
  }
  this->in_force_bound = this->in_force_bound.value_or(Duration::zero());
  this->CheckInForce(this->run_judge.last_accepted_index());
}

std::optional<std::size_t> ControlWorld::Leader() const {
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

std::size_t ControlWorld::RandomVoter() {
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
    return this->random_source.NextBelow(kVoters);
  }
  return voters[this->random_source.NextBelow(voters.size())];
}

bool ControlWorld::CanElectWithout(std::size_t lost) const {
  const Membership* membership = nullptr;
  for (const auto& control : this->control_vms) {
    if (control->is_running()) {
      membership = control->membership();
    }
  }
  if (const auto leader = this->Leader()) {
    membership = this->control_vms[*leader]->membership();
  }
  std::size_t able = 0;
  for (std::size_t i = 0; membership != nullptr && i < kControls; ++i) {
    const ControlVm& vm = *this->control_vms[i];
    const bool votes = vm.is_running() && !vm.is_frozen() &&
                       !vm.is_probationary() &&
                       membership->IsVoter(vm.disk_id());
    able += i != lost && votes ? 1 : 0;
  }
  return membership != nullptr && able >= membership->QuorumSize();
}

bool ControlWorld::CanDamageDisk() const {
  const auto leader = this->Leader();
  if (!leader) {
    return false;
  }
  const ControlVm& leading = *this->control_vms[*leader];
  std::size_t intact = 0;
  for (const auto& control : this->control_vms) {
    const bool votes = leading.membership()->IsVoter(control->disk_id());
    // A change of the membership that is appended and not yet everywhere is not
    // a finished repair: after the next loss the others may not know of it.
    if (votes && control->is_running() && !control->is_probationary() &&
        *control->membership() == *leading.membership() &&
        control->commit_index() >= leading.commit_index()) {
      ++intact;
    }
  }
  return intact >= kVoters && leading.membership()->VoterCount() == kVoters &&
         leading.commit_index() == leading.last_index();
}

}  // namespace marigold
