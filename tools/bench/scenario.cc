#include "tools/bench/scenario.h"

#include <algorithm>

namespace marigold {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Delay after which the platform's list shows that a VM is lost.
constexpr Duration kListDelay = seconds(5);
// Delay after which the other entry VMs avoid a failing server.
constexpr Duration kOthersDetectionDelay = seconds(2);
// Background weight of a failing server once the other entry VMs avoid it.
constexpr double kAvoidedWeight = 0.1;

template <class Change>
void ForOneReplicaPerShard(ScenarioTarget& target,
                           std::uint32_t replica_offset,
                           Change change) {
  for (std::uint32_t shard = 0; shard < target.deployment.shards; ++shard) {
    change(target.backends.BackendAt(
        shard, (shard + replica_offset) % target.deployment.replicas));
  }
}

void ScheduleSlowServer(ScenarioTarget& target) {
  constexpr double kSlowdown = 10;
  FakeBackend& slow = target.backends.BackendAt(0, 0);
  target.events.At(target.begin,
                   [&slow] { slow.server->SetSlowdown(kSlowdown); });
  target.events.At(target.begin + kOthersDetectionDelay, [&target, &slow] {
    slow.background_weight = kAvoidedWeight;
    target.backends.DistributeBackground(target.events.now());
  });
}

void ScheduleLostReplica(ScenarioTarget& target) {
  target.events.At(target.begin, [&target] {
    ForOneReplicaPerShard(target, 0, [&target](FakeBackend& backend) {
      backend.server->SetUnresponsive(target.events.now(), true);
    });
  });
  target.events.At(target.begin + kOthersDetectionDelay, [&target] {
    ForOneReplicaPerShard(
        target, 0, [](FakeBackend& backend) { backend.background_weight = 0; });
    target.backends.DistributeBackground(target.events.now());
  });
  target.events.At(target.begin + kListDelay, [&target] {
    ForOneReplicaPerShard(
        target, 0, [](FakeBackend& backend) { backend.is_listed = false; });
  });
}

// Drains, stops and restarts a server, which is slow at first when it serves
// again.
void ScheduleRestart(ScenarioTarget& target,
                     MonotonicTime at,
                     FakeBackend& backend) {
  static constexpr Duration kDrainTime = seconds(1);
  constexpr Duration kDowntime = seconds(2);
  constexpr Duration kStartupTime = seconds(1);
  static constexpr Duration kWarmUp = seconds(5);
  static constexpr double kColdSlowdown = 10;
  const auto set = [&target, &backend](ServerState state, double weight) {
    backend.server->SetState(state);
    backend.background_weight = weight;
    target.backends.DistributeBackground(target.events.now());
  };
  target.events.At(at, [set] { set(ServerState::kDraining, 0); });
  target.events.At(at + kDrainTime, [set] { set(ServerState::kLost, 0); });
  target.events.At(at + kDrainTime + kDowntime,
                   [set] { set(ServerState::kStarting, 0); });
  target.events.At(
      at + kDrainTime + kDowntime + kStartupTime, [&target, &backend, set] {
        set(ServerState::kServing, kAvoidedWeight);
        backend.server->StartCold(target.events.now(), kColdSlowdown, kWarmUp);
      });
  target.events.At(at + kDrainTime + kDowntime + kStartupTime + kWarmUp,
                   [set] { set(ServerState::kServing, 1); });
}

void ScheduleColdStart(ScenarioTarget& target) {
  static constexpr Duration kStartInterval = seconds(1);
  MonotonicTime at = target.begin;
  ForOneReplicaPerShard(target, 1, [&target, &at](FakeBackend& backend) {
    ScheduleRestart(target, at, backend);
    at += kStartInterval;
  });
}

void ScheduleShed(ScenarioTarget& target) {
  constexpr Duration kPeriod = seconds(20);
  constexpr Duration kOverloadTime = seconds(5);
  constexpr double kOverloadFactor = 1.2;
  const double factor = kOverloadFactor / target.load.value();
  for (MonotonicTime at = target.begin; at < target.end; at += kPeriod) {
    target.events.At(at, [&target, factor] {
      target.backends.SetBackgroundFactor(target.events.now(), factor);
    });
    target.events.At(at + kOverloadTime, [&target] {
      target.backends.SetBackgroundFactor(target.events.now(), 1);
    });
  }
}

// The busier replica gets 1.5 times the average background load.
void ScheduleSkewedLoad(ScenarioTarget& target) {
  constexpr double kBusierWeight = 1.5;
  constexpr double kQuieterWeight = 0.75;
  ForOneReplicaPerShard(target, 0, [](FakeBackend& backend) {
    backend.background_weight = kBusierWeight;
  });
  ForOneReplicaPerShard(target, 1, [](FakeBackend& backend) {
    backend.background_weight = kQuieterWeight;
  });
  ForOneReplicaPerShard(target, 2, [](FakeBackend& backend) {
    backend.background_weight = kQuieterWeight;
  });
  target.backends.DistributeBackground(target.events.now());
}

void ScheduleLyingReports(ScenarioTarget& target) {
  ScheduleSkewedLoad(target);
  ForOneReplicaPerShard(target, 0, [](FakeBackend& backend) {
    backend.server->SetLoadMisreport(LoadMisreport::kAlwaysIdle);
  });
  ForOneReplicaPerShard(target, 1, [](FakeBackend& backend) {
    backend.server->SetLoadMisreport(LoadMisreport::kAlwaysBusy);
  });
}

void ScheduleLaggingList(ScenarioTarget& target) {
  static constexpr Duration kDrainTime = seconds(3);
  static constexpr Duration kLongListDelay = seconds(10);
  static constexpr Duration kStartInterval = seconds(5);
  MonotonicTime at = target.begin;
  ForOneReplicaPerShard(target, 2, [&target, &at](FakeBackend& backend) {
    target.events.At(at, [&target, &backend] {
      backend.server->SetState(ServerState::kDraining);
      backend.background_weight = 0;
      target.backends.DistributeBackground(target.events.now());
    });
    target.events.At(at + kDrainTime, [&backend] {
      backend.server->SetState(ServerState::kLost);
    });
    target.events.At(at + kLongListDelay,
                     [&backend] { backend.record.is_leaving = true; });
    target.events.At(at + kLongListDelay + kDrainTime,
                     [&backend] { backend.is_listed = false; });
    at += kStartInterval;
  });
}

void ScheduleSilentConnections(ScenarioTarget& target) {
  constexpr Duration kPeriod = seconds(10);
  std::uint32_t replica_offset = 0;
  for (MonotonicTime at = target.begin; at < target.end; at += kPeriod) {
    target.events.At(at, [&target, replica_offset] {
      ForOneReplicaPerShard(
          target, replica_offset, [&target](FakeBackend& backend) {
            target.transport.SilenceConnections(
                backend.shard * target.deployment.replicas + backend.replica);
          });
    });
    ++replica_offset;
  }
}

// Changes all servers to a new snapshot with `shard_count` shards within
// `duration`, one server after another: replica by replica and, within each,
// shard by shard.
void ScheduleSnapshot(ScenarioTarget& target,
                      std::uint32_t shard_count,
                      Duration duration) {
  const SnapshotId next(2);
  const std::uint32_t shards = target.deployment.shards;
  const std::uint32_t servers = shards * target.deployment.replicas;
  for (std::uint32_t i = 0; i < servers; ++i) {
    FakeBackend& backend = target.backends.BackendAt(i % shards, i / shards);
    target.events.At(target.begin + duration * i / servers,
                     [&backend, next, shard_count, i] {
                       backend.server->SetSnapshots(
                           {MakeManifest(next, shard_count, i % shard_count)});
                     });
  }
}

void ScheduleSnapshotTurnover(ScenarioTarget& target) {
  constexpr Duration kTurnoverTime = seconds(15);
  ScheduleSnapshot(target, target.deployment.shards, kTurnoverTime);
}

void ScheduleRepartition(ScenarioTarget& target) {
  constexpr Duration kTurnoverTime = seconds(15);
  ScheduleSnapshot(target, target.deployment.shards * 3 / 2, kTurnoverTime);
}

void ScheduleCutDataCentre(ScenarioTarget& target) {
  constexpr Duration kCutTime = seconds(30);
  const auto set = [&target](bool is_reachable) {
    for (FakeBackend& backend : target.backends.members()) {
      if (backend.data_centre == 1) {
        backend.is_reachable = is_reachable;
      }
    }
  };
  target.events.At(target.begin, [set] { set(false); });
  target.events.At(target.begin + kCutTime, [set] { set(true); });
}

void ScheduleMirroredLoad(ScenarioTarget& target) {
  target.callers.mirrors_background = true;
}

void ScheduleBurst(ScenarioTarget& target) {
  constexpr double kBurstFactor = 10;
  constexpr Duration kPeriod = seconds(60);
  constexpr Duration kBurstLength = seconds(5);
  const auto set = [&target](bool is_bursting) {
    target.callers.load_factor = is_bursting ? kBurstFactor : 1;
    target.callers.is_bursting = is_bursting;
    target.backends.MeasureBusy(target.events.now(), is_bursting);
  };
  target.callers.mirrors_background = true;
  for (MonotonicTime at = target.begin; at < target.end; at += kPeriod) {
    target.events.At(at, [set] { set(true); });
    target.events.At(at + kBurstLength, [set] { set(false); });
  }
}

void ScheduleGreedyCustomer(ScenarioTarget& target) {
  constexpr double kGreedyFactor = 20;
  target.callers.mirrors_background = true;
  target.events.At(target.begin, [&target] {
    target.callers.first_customer_factor = kGreedyFactor;
  });
}

struct ScheduleRow {
  Fault fault;
  void (*schedule)(ScenarioTarget& target);
};

// Stragglers have no schedule because they are part of the service times.
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

Fraction StragglerFraction(const FaultSet& faults) {
  constexpr double kStragglerShare = 0.01;
  return Fraction(Has(faults, Fault::kStragglers) ? kStragglerShare : 0);
}

MonotonicTime ScheduleFaults(const FaultSet& faults, ScenarioTarget& target) {
  for (const ScheduleRow& row : kSchedules) {
    if (Has(faults, row.fault)) {
      row.schedule(target);
    }
  }
  return Has(faults, Fault::kLostReplica) ? target.begin + kListDelay
                                          : target.begin;
}

}  // namespace marigold
