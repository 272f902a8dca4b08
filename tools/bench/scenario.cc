#include "tools/bench/scenario.h"

#include <algorithm>

namespace marigold {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The platform's list shows a lost VM this much later.
constexpr Duration kListLag = seconds(5);
// The other entry VMs avoid a failing server this much later.
constexpr Duration kOthersNotice = seconds(2);
// Background that a failing server still gets from other entry VMs.
constexpr double kAvoidedWeight = 0.1;

template <class Change>
void ForReplica(ScenarioTarget& target, std::uint32_t which, Change change) {
  for (std::uint32_t shard = 0; shard < target.deployment.shards; ++shard) {
    change(target.backends.At(shard,
                              (shard + which) % target.deployment.replicas));
  }
}

void ScheduleSlowServer(ScenarioTarget& target) {
  constexpr double kSlowness = 10;
  FakeBackend& slow = target.backends.At(0, 0);
  target.events.At(target.begin,
                   [&slow] { slow.server->SetSlowness(kSlowness); });
  target.events.At(target.begin + kOthersNotice, [&target, &slow] {
    slow.background_weight = kAvoidedWeight;
    target.backends.Rebalance(target.events.now());
  });
}

void ScheduleLostReplica(ScenarioTarget& target) {
  target.events.At(target.begin, [&target] {
    ForReplica(target, 0, [&target](FakeBackend& backend) {
      backend.server->SetGone(target.events.now(), true);
    });
  });
  target.events.At(target.begin + kOthersNotice, [&target] {
    ForReplica(target, 0,
               [](FakeBackend& backend) { backend.background_weight = 0; });
    target.backends.Rebalance(target.events.now());
  });
  target.events.At(target.begin + kListLag, [&target] {
    ForReplica(target, 0, [](FakeBackend& backend) { backend.listed = false; });
  });
}

// Drains, stops, starts and serves again, slow at first.
void ScheduleRestart(ScenarioTarget& target,
                     MonotonicTime at,
                     FakeBackend& backend) {
  static constexpr Duration kDrain = seconds(1);
  constexpr Duration kDown = seconds(2);
  constexpr Duration kStart = seconds(1);
  static constexpr Duration kWarmUp = seconds(5);
  static constexpr double kColdFactor = 10;
  const auto set = [&target, &backend](ServerState state, double weight) {
    backend.server->SetState(state);
    backend.background_weight = weight;
    target.backends.Rebalance(target.events.now());
  };
  target.events.At(at, [set] { set(ServerState::kDraining, 0); });
  target.events.At(at + kDrain, [set] { set(ServerState::kLost, 0); });
  target.events.At(at + kDrain + kDown,
                   [set] { set(ServerState::kStarting, 0); });
  target.events.At(at + kDrain + kDown + kStart, [&target, &backend, set] {
    set(ServerState::kServing, kAvoidedWeight);
    backend.server->StartCold(target.events.now(), kColdFactor, kWarmUp);
  });
  target.events.At(at + kDrain + kDown + kStart + kWarmUp,
                   [set] { set(ServerState::kServing, 1); });
}

void ScheduleColdStart(ScenarioTarget& target) {
  static constexpr Duration kBetween = seconds(1);
  MonotonicTime at = target.begin;
  ForReplica(target, 1, [&target, &at](FakeBackend& backend) {
    ScheduleRestart(target, at, backend);
    at += kBetween;
  });
}

void ScheduleShed(ScenarioTarget& target) {
  constexpr Duration kPeriod = seconds(20);
  constexpr Duration kOverload = seconds(5);
  constexpr double kOverloadFactor = 1.2;
  const double factor = kOverloadFactor / target.load.value();
  for (MonotonicTime at = target.begin; at < target.end; at += kPeriod) {
    target.events.At(at, [&target, factor] {
      target.backends.SetBackgroundFactor(target.events.now(), factor);
    });
    target.events.At(at + kOverload, [&target] {
      target.backends.SetBackgroundFactor(target.events.now(), 1);
    });
  }
}

// The busier replica gets half as much again as the average.
void ScheduleSkewedLoad(ScenarioTarget& target) {
  constexpr double kBusier = 1.5;
  constexpr double kQuieter = 0.75;
  ForReplica(target, 0,
             [](FakeBackend& backend) { backend.background_weight = kBusier; });
  ForReplica(target, 1, [](FakeBackend& backend) {
    backend.background_weight = kQuieter;
  });
  ForReplica(target, 2, [](FakeBackend& backend) {
    backend.background_weight = kQuieter;
  });
  target.backends.Rebalance(target.events.now());
}

void ScheduleLyingReports(ScenarioTarget& target) {
  ScheduleSkewedLoad(target);
  ForReplica(target, 0, [](FakeBackend& backend) {
    backend.server->SetLie(Lie::kAlwaysIdle);
  });
  ForReplica(target, 1, [](FakeBackend& backend) {
    backend.server->SetLie(Lie::kAlwaysBusy);
  });
}

void ScheduleLaggingList(ScenarioTarget& target) {
  static constexpr Duration kDrain = seconds(3);
  static constexpr Duration kLongLag = seconds(10);
  static constexpr Duration kBetween = seconds(5);
  MonotonicTime at = target.begin;
  ForReplica(target, 2, [&target, &at](FakeBackend& backend) {
    target.events.At(at, [&target, &backend] {
      backend.server->SetState(ServerState::kDraining);
      backend.background_weight = 0;
      target.backends.Rebalance(target.events.now());
    });
    target.events.At(at + kDrain, [&backend] {
      backend.server->SetState(ServerState::kLost);
    });
    target.events.At(at + kLongLag,
                     [&backend] { backend.record.is_leaving = true; });
    target.events.At(at + kLongLag + kDrain,
                     [&backend] { backend.listed = false; });
    at += kBetween;
  });
}

void ScheduleSilentConnections(ScenarioTarget& target) {
  constexpr Duration kPeriod = seconds(10);
  std::uint32_t which = 0;
  for (MonotonicTime at = target.begin; at < target.end; at += kPeriod) {
    target.events.At(at, [&target, which] {
      ForReplica(target, which, [&target](FakeBackend& backend) {
        target.transport.SilenceConnections(
            backend.shard * target.deployment.replicas + backend.replica);
      });
    });
    ++which;
  }
}

// All servers change to `count` shards under a new snapshot: replica by replica
// and, within each, shard by shard.
void ScheduleSnapshot(ScenarioTarget& target,
                      std::uint32_t count,
                      Duration duration) {
  const SnapshotId next(2);
  const std::uint32_t shards = target.deployment.shards;
  const std::uint32_t servers = shards * target.deployment.replicas;
  for (std::uint32_t i = 0; i < servers; ++i) {
    FakeBackend& backend = target.backends.At(i % shards, i / shards);
    target.events.At(
        target.begin + duration * i / servers, [&backend, next, count, i] {
          backend.server->SetSnapshots({MakeManifest(next, count, i % count)});
        });
  }
}

void ScheduleSnapshotTurnover(ScenarioTarget& target) {
  constexpr Duration kTurnover = seconds(15);
  ScheduleSnapshot(target, target.deployment.shards, kTurnover);
}

void ScheduleRepartition(ScenarioTarget& target) {
  constexpr Duration kTurnover = seconds(15);
  ScheduleSnapshot(target, target.deployment.shards * 3 / 2, kTurnover);
}

void ScheduleCutDataCentre(ScenarioTarget& target) {
  constexpr Duration kCut = seconds(30);
  const auto set = [&target](bool reachable) {
    for (FakeBackend& backend : target.backends.members()) {
      if (backend.data_centre == 1) {
        backend.reachable = reachable;
      }
    }
  };
  target.events.At(target.begin, [set] { set(false); });
  target.events.At(target.begin + kCut, [set] { set(true); });
}

void ScheduleMirroredLoad(ScenarioTarget& target) {
  target.callers.background_follows = true;
}

void ScheduleBurst(ScenarioTarget& target) {
  constexpr double kBurst = 10;
  constexpr Duration kPeriod = seconds(60);
  constexpr Duration kBurstLength = seconds(5);
  const auto set = [&target](bool is_bursting) {
    target.callers.all = is_bursting ? kBurst : 1;
    target.callers.is_bursting = is_bursting;
    target.backends.MeasureBusy(target.events.now(), is_bursting);
  };
  target.callers.background_follows = true;
  for (MonotonicTime at = target.begin; at < target.end; at += kPeriod) {
    target.events.At(at, [set] { set(true); });
    target.events.At(at + kBurstLength, [set] { set(false); });
  }
}

void ScheduleGreedyCustomer(ScenarioTarget& target) {
  constexpr double kGreed = 20;
  target.callers.background_follows = true;
  target.events.At(target.begin,
                   [&target] { target.callers.first_customer = kGreed; });
}

struct ScheduleRow {
  Fault fault;
  void (*schedule)(ScenarioTarget& target);
};

// Stragglers are part of the service times.
constexpr ScheduleRow kSchedules[] = {
    {Fault::kSlowServer, ScheduleSlowServer},
    {Fault::kLostReplica, ScheduleLostReplica},
    {Fault::kColdStart, ScheduleColdStart},
    {Fault::kShed, ScheduleShed},
    {Fault::kSkewedLoad, ScheduleSkewedLoad},
    {Fault::kLyingReports, ScheduleLyingReports},
    {Fault::kLaggingList, ScheduleLaggingList},
    {Fault::kSilentConnections, ScheduleSilentConnections},
    {Fault::kSnapshotTurnover, ScheduleSnapshotTurnover},
    {Fault::kRepartition, ScheduleRepartition},
    {Fault::kCutDataCentre, ScheduleCutDataCentre},
    {Fault::kMirroredLoad, ScheduleMirroredLoad},
    {Fault::kBurst, ScheduleBurst},
    {Fault::kGreedyCustomer, ScheduleGreedyCustomer},
};

}  // namespace

Fraction StragglerPart(const FaultSet& faults) {
  constexpr double kStragglers = 0.01;
  return Fraction(Has(faults, Fault::kStragglers) ? kStragglers : 0);
}

MonotonicTime ScheduleFaults(const FaultSet& faults, ScenarioTarget& target) {
  for (const ScheduleRow& row : kSchedules) {
    if (Has(faults, row.fault)) {
      row.schedule(target);
    }
  }
  return Has(faults, Fault::kLostReplica) ? target.begin + kListLag
                                          : target.begin;
}

}  // namespace marigold
