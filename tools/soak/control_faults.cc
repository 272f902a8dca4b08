#include "tools/soak/control_faults.h"

#include <utility>

namespace marigold {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kElectionBound = seconds(2);

// An accepted edit must be in force on all entry VMs within 8 s while any one
// control VM is killed, frozen or isolated.
constexpr Duration kInForceBoundUnderFault = seconds(8);
constexpr Duration kInForceBoundWithoutFault = seconds(2);

Duration RandomDuration(SeededRandom& random, Duration low, Duration high) {
  const auto span = static_cast<std::uint64_t>((high - low).count()) + 1;
  return low + Duration(static_cast<std::int64_t>(random.NextBelow(span)));
}

ControlVm& ControlVmAt(ControlGroupSimulation& simulation, std::size_t index) {
  return *simulation.controls()[index];
}

// A new leader must be elected within 2 s if the remaining voters can elect
// one. If another voter is down or its start is not confirmed yet, two of three
// voters are unavailable, and only the longer bound for edits under faults
// applies.
void ExpectNewLeader(ControlGroupSimulation& simulation, std::size_t lost) {
  simulation.ExpectLeaderWithin(simulation.CanElectWithout(lost)
                                    ? kElectionBound
                                    : kInForceBoundUnderFault);
}

void InjectNothing(ControlGroupSimulation& /*world*/) {}

void DegradeLinks(ControlGroupSimulation& simulation,
                  const LinkQuality& quality) {
  simulation.network().SetQuality(quality);
  simulation.events().After(
      seconds(2), [&simulation] { simulation.network().SetQuality({}); });
}

void LoseMessages(ControlGroupSimulation& simulation) {
  LinkQuality quality;
  quality.loss = 0.3 * simulation.random().NextDouble();
  DegradeLinks(simulation, quality);
}

void DuplicateMessages(ControlGroupSimulation& simulation) {
  LinkQuality quality;
  quality.duplication = 0.5;
  quality.jitter = milliseconds(50);
  DegradeLinks(simulation, quality);
}

void ReorderMessages(ControlGroupSimulation& simulation) {
  LinkQuality quality;
  quality.jitter = milliseconds(200);
  DegradeLinks(simulation, quality);
}

// Heals all links after `duration`.
void HealAfter(ControlGroupSimulation& simulation, Duration duration) {
  simulation.events().After(duration,
                            [&simulation] { simulation.network().Heal(); });
}

void CutOneWay(ControlGroupSimulation& simulation) {
  const std::size_t a = simulation.RandomVoter();
  const std::size_t b = simulation.RandomVoter();
  if (a != b) {
    simulation.network().Cut(ControlVmAt(simulation, a).id(),
                             ControlVmAt(simulation, b).id());
  }
  HealAfter(simulation,
            RandomDuration(simulation.random(), milliseconds(500), seconds(4)));
}

// Cuts the links between a control VM and all other control VMs, in both
// directions.
void Isolate(ControlGroupSimulation& simulation, std::size_t index) {
  const VmId& vm = ControlVmAt(simulation, index).id();
  for (const auto& other : simulation.controls()) {
    if (other->id() != vm) {
      simulation.network().CutBothWays(vm, other->id());
    }
  }
}

void CutOffDataCentre(ControlGroupSimulation& simulation) {
  const std::size_t index =
      simulation.random().NextBelow(simulation.subscribers().size());
  Isolate(simulation, index);
  const VmId& entry_vm = simulation.subscribers()[index]->id();
  for (std::size_t i = 0; i < simulation.controls().size(); ++i) {
    if (i != index) {
      simulation.network().CutBothWays(entry_vm,
                                       ControlVmAt(simulation, i).id());
    }
  }
  HealAfter(simulation,
            RandomDuration(simulation.random(), seconds(1), seconds(10)));
}

// Isolates a control VM from the other control VMs for 12 s. Its clients and
// entry VMs still reach it. The interval of this fault prevents two isolations
// from overlapping, which would leave no quorum.
void IsolateControl(ControlGroupSimulation& simulation) {
  const auto leader = simulation.Leader();
  const bool pick_leader = leader && simulation.random().NextBelow(2) == 0;
  const std::size_t index = pick_leader ? *leader : simulation.RandomVoter();
  ExpectNewLeader(simulation, index);
  Isolate(simulation, index);
  HealAfter(simulation, seconds(12));
}

void CrashControl(ControlGroupSimulation& simulation) {
  const std::size_t index = simulation.RandomVoter();
  ExpectNewLeader(simulation, index);
  ControlVmAt(simulation, index).Crash();
  simulation.RestartAfter(index, RandomDuration(simulation.random(),
                                                milliseconds(100), seconds(4)));
}

void CrashInWrite(ControlGroupSimulation& simulation) {
  const std::size_t index = simulation.RandomVoter();
  ControlVmAt(simulation, index)
      .CrashAfterWrites(simulation.random().NextBelow(40), seconds(3));
}

// Crashes all control VMs at the same moment and restarts each after its own
// delay.
void LosePower(ControlGroupSimulation& simulation) {
  for (std::size_t i = 0; i < simulation.controls().size(); ++i) {
    ControlVmAt(simulation, i).Crash();
    simulation.RestartAfter(
        i, RandomDuration(simulation.random(), milliseconds(10),
                          milliseconds(1500)));
  }
}

void FreezeControl(ControlGroupSimulation& simulation) {
  const auto leader = simulation.Leader();
  const bool pick_leader = leader && simulation.random().NextBelow(2) == 0;
  const std::size_t index = pick_leader ? *leader : simulation.RandomVoter();
  const Duration duration =
      RandomDuration(simulation.random(), milliseconds(200), seconds(6));
  ExpectNewLeader(simulation, index);
  ControlVmAt(simulation, index).Freeze(simulation.events().now() + duration);
}

void JumpClock(ControlGroupSimulation& simulation) {
  const std::size_t index = simulation.RandomVoter();
  const Duration jump =
      RandomDuration(simulation.random(), -seconds(600), seconds(600));
  ControlVmAt(simulation, index).JumpWallClock(jump);
}

void LoseDisk(ControlGroupSimulation& simulation) {
  simulation.LoseDisk(simulation.RandomVoter());
}

// Loses a second voter's disk as soon as the first voter has been replaced.
// Gives up if the replacement takes longer than 14 s.
void LoseDiskTwice(ControlGroupSimulation& simulation) {
  if (!simulation.CanDamageDisk()) {
    return;
  }
  simulation.LoseDisk(simulation.RandomVoter());
  const MonotonicTime last_try_at = simulation.events().now() + seconds(14);
  const auto damage_when_possible = [&simulation,
                                     last_try_at](const auto& self) -> void {
    if (simulation.events().now() > last_try_at) {
      return;
    }
    if (simulation.CanDamageDisk()) {
      simulation.LoseDisk(simulation.RandomVoter());
      return;
    }
    simulation.events().After(milliseconds(10), [self] { self(self); });
  };
  simulation.events().After(milliseconds(10), [damage_when_possible] {
    damage_when_possible(damage_when_possible);
  });
}

void RestoreOlderDisk(ControlGroupSimulation& simulation) {
  const std::size_t index = simulation.RandomVoter();
  ControlVmAt(simulation, index).SaveDiskCopy();
  simulation.events().After(
      RandomDuration(simulation.random(), milliseconds(300), seconds(6)),
      [&simulation, index] { simulation.RestoreOlderDisk(index); });
}

// Isolates one voter so that it lags, restores another voter's disk to a copy
// from before the isolation, and crashes the leader. The leader restarts before
// the restored disk may count towards a quorum without it. The lagging and the
// restored voter must not elect a leader that lacks the entries accepted during
// the isolation.
void StaleMajority(ControlGroupSimulation& simulation) {
  const auto leader = simulation.Leader();
  if (!leader || !simulation.CanDamageDisk()) {
    return;
  }
  std::vector<std::size_t> others;
  for (std::size_t i = 0; i < simulation.controls().size(); ++i) {
    const bool votes = ControlVmAt(simulation, *leader)
                           .membership()
                           ->IsVoter(ControlVmAt(simulation, i).disk_id());
    if (votes && i != *leader) {
      others.push_back(i);
    }
  }
  const std::size_t lagging = others[0];
  const std::size_t stale = others[1];
  Isolate(simulation, lagging);
  ControlVmAt(simulation, stale).SaveDiskCopy();
  simulation.events().After(seconds(2), [&simulation, leader, stale] {
    ControlVmAt(simulation, *leader).Crash();
    ControlVmAt(simulation, stale).RestoreDiskCopy();
    simulation.RestartAfter(stale, milliseconds(10));
    simulation.network().Heal();
    simulation.RestartAfter(*leader, milliseconds(1500));
  });
}

// Drops the answers of all control VMs to one operator.
void LoseAnswers(ControlGroupSimulation& simulation) {
  const VmId operator_vm(simulation.random().NextBelow(2) == 0 ? "operator-1"
                                                               : "operator-2");
  for (const auto& control : simulation.controls()) {
    simulation.network().Cut(control->id(), operator_vm);
  }
  HealAfter(simulation,
            RandomDuration(simulation.random(), milliseconds(100), seconds(6)));
}

void RestartEntry(ControlGroupSimulation& simulation) {
  const std::size_t index =
      simulation.random().NextBelow(simulation.subscribers().size());
  simulation.subscribers()[index]->Restart();
}

// Drops all messages from one control VM to one entry VM for 5 s. The entry VM
// can subscribe to another control VM.
void SilenceStream(ControlGroupSimulation& simulation) {
  const std::size_t index =
      simulation.random().NextBelow(simulation.subscribers().size());
  const std::size_t control =
      simulation.random().NextBelow(simulation.controls().size());
  simulation.network().Cut(ControlVmAt(simulation, control).id(),
                           simulation.subscribers()[index]->id());
  HealAfter(simulation, seconds(5));
}

}  // namespace

const std::vector<ControlFault>& ControlFaults() {
  static const std::vector<ControlFault> faults = {
      {"none", "no faults; two operators edit concurrently and resend edits",
       seconds(60), &InjectNothing, kInForceBoundWithoutFault, false},
      {"loss", "up to 30% of messages lost", seconds(4), &LoseMessages,
       std::nullopt},
      {"duplicate", "half of all messages are duplicated", seconds(4),
       &DuplicateMessages, std::nullopt},
      {"reorder", "messages are reordered", seconds(4), &ReorderMessages,
       std::nullopt},
      {"one-way-cut", "one direction between two control VMs is cut",
       seconds(5), &CutOneWay, std::nullopt},
      {"partition", "a data centre is cut off", seconds(12), &CutOffDataCentre,
       std::nullopt},
      {"isolation", "a control VM is isolated from the others for 12 s",
       seconds(26), &IsolateControl, kInForceBoundUnderFault},
      {"crash", "a control VM is killed and restarted", seconds(7),
       &CrashControl, kInForceBoundUnderFault},
      {"torn-write", "a control VM crashes in the middle of a write",
       seconds(5), &CrashInWrite, kInForceBoundUnderFault},
      {"power-loss", "all control VMs lose power at once", seconds(6),
       &LosePower, std::nullopt},
      {"freeze", "a control VM is frozen for up to 6 s", seconds(9),
       &FreezeControl, kInForceBoundUnderFault},
      {"clock-jump", "a wall clock jumps by up to 10 minutes", seconds(3),
       &JumpClock, kInForceBoundUnderFault},
      {"lost-disk", "a voter's disk is lost and a spare takes over",
       seconds(12), &LoseDisk, kInForceBoundUnderFault},
      {"second-loss",
       "another voter's disk is lost right after the replacement", seconds(20),
       &LoseDiskTwice, std::nullopt},
      {"stale-disk", "a voter's disk is restored to an older copy", seconds(8),
       &RestoreOlderDisk, std::nullopt},
      {"stale-majority",
       "a restored older disk, a lagging voter and a crashed leader at once",
       seconds(16), &StaleMajority, std::nullopt, false},
      {"resend", "answers to an operator are lost", seconds(4), &LoseAnswers,
       std::nullopt},
      {"entry-restart", "an entry VM restarts", seconds(2), &RestartEntry,
       std::nullopt},
      {"silent-stream", "the list stream of an entry VM is interrupted",
       seconds(7), &SilenceStream, kInForceBoundUnderFault},
  };
  return faults;
}

}  // namespace marigold
