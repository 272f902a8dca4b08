#include "tools/soak/control_faults.h"

#include <utility>

namespace marigold {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kLeaderBound = seconds(2);

// In force within 8 s with any one control VM killed, frozen or isolated.
constexpr Duration kInForceUnderFault = seconds(8);
constexpr Duration kInForceWithoutFault = seconds(2);

Duration Between(SeededRandom& random, Duration low, Duration high) {
  const auto span = static_cast<std::uint64_t>((high - low).count()) + 1;
  return low + Duration(static_cast<std::int64_t>(random.NextBelow(span)));
}

ControlVm& Control(ControlWorld& world, std::size_t index) {
  return *world.controls()[index];
}

// A new leader is due within 2 s if the other voters can elect one. If another
// voter is down or its start is not confirmed yet, two of three are out, and
// only the bound for changes in force holds.
void ExpectNewLeader(ControlWorld& world, std::size_t lost) {
  world.ExpectLeaderWithin(world.CanElectWithout(lost) ? kLeaderBound
                                                       : kInForceUnderFault);
}

void Nothing(ControlWorld& /*world*/) {}

void SetQualityFor(ControlWorld& world, const LinkQuality& quality) {
  world.network().SetQuality(quality);
  world.events().After(seconds(2),
                       [&world] { world.network().SetQuality({}); });
}

void LoseMessages(ControlWorld& world) {
  LinkQuality quality;
  quality.loss = 0.3 * world.random().NextDouble();
  SetQualityFor(world, quality);
}

void DuplicateMessages(ControlWorld& world) {
  LinkQuality quality;
  quality.duplication = 0.5;
  quality.jitter = milliseconds(50);
  SetQualityFor(world, quality);
}

void ReorderMessages(ControlWorld& world) {
  LinkQuality quality;
  quality.jitter = milliseconds(200);
  SetQualityFor(world, quality);
}

// Cuts links for a while and heals all links afterwards.
void HealAfter(ControlWorld& world, Duration time) {
  world.events().After(time, [&world] { world.network().Heal(); });
}

void CutOneWay(ControlWorld& world) {
  const std::size_t a = world.RandomVoter();
  const std::size_t b = world.RandomVoter();
  if (a != b) {
    world.network().Cut(Control(world, a).id(), Control(world, b).id());
  }
  HealAfter(world, Between(world.random(), milliseconds(500), seconds(4)));
}

// Cuts a control VM from all other VMs, in both directions.
void Isolate(ControlWorld& world, std::size_t index) {
  const VmId& vm = Control(world, index).id();
  for (const auto& other : world.controls()) {
    if (other->id() != vm) {
      world.network().CutBothWays(vm, other->id());
    }
  }
}

void CutOffDataCentre(ControlWorld& world) {
  const std::size_t index = world.random().NextBelow(world.followers().size());
  Isolate(world, index);
  const VmId& entry = world.followers()[index]->id();
  for (std::size_t i = 0; i < world.controls().size(); ++i) {
    if (i != index) {
      world.network().CutBothWays(entry, Control(world, i).id());
    }
  }
  HealAfter(world, Between(world.random(), seconds(1), seconds(10)));
}

// Silent for long: its clients and entry VMs still reach it. The interval of
// this fault keeps two isolations from overlapping, which would leave no
// quorum.
void IsolateControl(ControlWorld& world) {
  const auto leader = world.Leader();
  const bool take_leader = leader && world.random().NextBelow(2) == 0;
  const std::size_t index = take_leader ? *leader : world.RandomVoter();
  ExpectNewLeader(world, index);
  Isolate(world, index);
  HealAfter(world, seconds(12));
}

void CrashControl(ControlWorld& world) {
  const std::size_t index = world.RandomVoter();
  ExpectNewLeader(world, index);
  Control(world, index).Crash();
  world.RestartAfter(index,
                     Between(world.random(), milliseconds(100), seconds(4)));
}

void CrashInWrite(ControlWorld& world) {
  const std::size_t index = world.RandomVoter();
  Control(world, index)
      .CrashAfterWrites(world.random().NextBelow(40), seconds(3));
}

// All control VMs lose power at the same moment.
void LosePower(ControlWorld& world) {
  for (std::size_t i = 0; i < world.controls().size(); ++i) {
    Control(world, i).Crash();
    world.RestartAfter(
        i, Between(world.random(), milliseconds(10), milliseconds(1500)));
  }
}

void FreezeControl(ControlWorld& world) {
  const auto leader = world.Leader();
  const bool take_leader = leader && world.random().NextBelow(2) == 0;
  const std::size_t index = take_leader ? *leader : world.RandomVoter();
  const Duration time = Between(world.random(), milliseconds(200), seconds(6));
  ExpectNewLeader(world, index);
  Control(world, index).Freeze(world.events().now() + time);
}

void JumpClock(ControlWorld& world) {
  const std::size_t index = world.RandomVoter();
  const Duration jump = Between(world.random(), -seconds(600), seconds(600));
  Control(world, index).JumpWallClock(jump);
}

void LoseDisk(ControlWorld& world) {
  world.LoseDisk(world.RandomVoter());
}

// The second voter is lost as soon as the first has been replaced.
void LoseDiskTwice(ControlWorld& world) {
  if (!world.CanDamageDisk()) {
    return;
  }
  world.LoseDisk(world.RandomVoter());
  const MonotonicTime give_up = world.events().now() + seconds(14);
  const auto again = [&world, give_up](const auto& self) -> void {
    if (world.events().now() > give_up) {
      return;
    }
    if (world.CanDamageDisk()) {
      world.LoseDisk(world.RandomVoter());
      return;
    }
    world.events().After(milliseconds(10), [self] { self(self); });
  };
  world.events().After(milliseconds(10), [again] { again(again); });
}

void RestoreOlderDisk(ControlWorld& world) {
  const std::size_t index = world.RandomVoter();
  Control(world, index).RememberDiskCopy();
  world.events().After(Between(world.random(), milliseconds(300), seconds(6)),
                       [&world, index] { world.RestoreOlderDisk(index); });
}

// One voter lags behind a cut, another goes back to what its disk held before
// the cut, and the third dies and returns before the restored disk may count
// without it: the first two may not elect a leader that lacks what was accepted
// meanwhile.
void StaleMajority(ControlWorld& world) {
  const auto leader = world.Leader();
  if (!leader || !world.CanDamageDisk()) {
    return;
  }
  std::vector<std::size_t> others;
  for (std::size_t i = 0; i < world.controls().size(); ++i) {
    const bool votes = Control(world, *leader)
                           .membership()
                           ->IsVoter(Control(world, i).disk_id());
    if (votes && i != *leader) {
      others.push_back(i);
    }
  }
  const std::size_t lagging = others[0];
  const std::size_t stale = others[1];
  Isolate(world, lagging);
  Control(world, stale).RememberDiskCopy();
  world.events().After(seconds(2), [&world, leader, stale] {
    Control(world, *leader).Crash();
    Control(world, stale).RestoreDiskCopy();
    world.RestartAfter(stale, milliseconds(10));
    world.network().Heal();
    world.RestartAfter(*leader, milliseconds(1500));
  });
}

// Answers to one operator are lost.
void LoseAnswers(ControlWorld& world) {
  const VmId operator_vm(world.random().NextBelow(2) == 0 ? "operator-1"
                                                          : "operator-2");
  for (const auto& control : world.controls()) {
    world.network().Cut(control->id(), operator_vm);
  }
  HealAfter(world, Between(world.random(), milliseconds(100), seconds(6)));
}

void RestartEntry(ControlWorld& world) {
  const std::size_t index = world.random().NextBelow(world.followers().size());
  world.followers()[index]->Restart();
}

// The stream to one entry VM goes silent for good; others can be opened.
void SilenceStream(ControlWorld& world) {
  const std::size_t index = world.random().NextBelow(world.followers().size());
  const std::size_t control = world.random().NextBelow(world.controls().size());
  world.network().Cut(Control(world, control).id(),
                      world.followers()[index]->id());
  HealAfter(world, seconds(5));
}

}  // namespace

const std::vector<ControlFault>& ControlFaults() {
  static const std::vector<ControlFault> faults = {
      {"none", "no faults; racing and resending operators only", seconds(60),
       &Nothing, kInForceWithoutFault, false},
      {"loss", "up to 30% of messages lost", seconds(4), &LoseMessages,
       std::nullopt},
      {"duplicate", "half of all messages come twice", seconds(4),
       &DuplicateMessages, std::nullopt},
      {"reorder", "messages overtake each other", seconds(4), &ReorderMessages,
       std::nullopt},
      {"one-way-cut", "one direction between two control VMs is cut",
       seconds(5), &CutOneWay, std::nullopt},
      {"partition", "a data centre is cut off", seconds(12), &CutOffDataCentre,
       std::nullopt},
      {"isolation", "a control VM is cut off from the others for long",
       seconds(26), &IsolateControl, kInForceUnderFault},
      {"crash", "a control VM is killed and restarted", seconds(7),
       &CrashControl, kInForceUnderFault},
      {"torn-write", "a control VM dies in the middle of a write", seconds(5),
       &CrashInWrite, kInForceUnderFault},
      {"power-loss", "all control VMs die at once", seconds(6), &LosePower,
       std::nullopt},
      {"freeze", "a control VM stands still for up to 6 s", seconds(9),
       &FreezeControl, kInForceUnderFault},
      {"clock-jump", "a wall clock jumps by up to 10 minutes", seconds(3),
       &JumpClock, kInForceUnderFault},
      {"lost-disk", "a voter's disk is lost and a spare takes over",
       seconds(12), &LoseDisk, kInForceUnderFault},
      {"second-loss", "another voter is lost right after the repair",
       seconds(20), &LoseDiskTwice, std::nullopt},
      {"stale-disk", "a voter's disk is put back to an older copy", seconds(8),
       &RestoreOlderDisk, std::nullopt},
      {"stale-majority",
       "an older disk, a lagging voter and a killed leader at once",
       seconds(16), &StaleMajority, std::nullopt, false},
      {"resend", "answers to an operator are lost", seconds(4), &LoseAnswers,
       std::nullopt},
      {"entry-restart", "an entry VM restarts", seconds(2), &RestartEntry,
       std::nullopt},
      {"silent-stream", "an entry VM's stream goes silent", seconds(7),
       &SilenceStream, kInForceUnderFault},
  };
  return faults;
}

}  // namespace marigold
