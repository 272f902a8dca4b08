#include "tools/soak/search_simulation.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace marigold {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kGroupCount = 4;
constexpr std::uint64_t kReplicasPerGroup = 3;
constexpr std::uint64_t kShardIdsPerLayout = 1'000;
constexpr double kRepartitionProbability = 0.25;
constexpr double kShedProbability = 0.02;
constexpr double kLostProbability = 0.02;
constexpr double kBadReplyProbability = 0.01;
constexpr Duration kLeavingBound = seconds(3);
constexpr std::size_t kMaxLoadedSnapshots = 2;
constexpr std::uint32_t kSlots = 64;

}  // namespace

SearchSimulation::SearchSimulation(std::uint64_t seed, PlantedBug bug_to_plant)
    : random_source(seed), active_bug(bug_to_plant), clock(event_queue) {
  for (std::uint64_t group = 0; group < kGroupCount; ++group) {
    for (std::uint64_t replica = 0; replica < kReplicasPerGroup; ++replica) {
      FakeSearcher searcher;
      searcher.record.server =
          BackendServerId(fmt::format("server-{}-{}", group, replica));
      searcher.record.service = ServiceId("lookup");
      searcher.record.data_centre = DataCentreId(fmt::format("dc-{}", replica));
      searcher.group = group;
      this->searchers.push_back(std::move(searcher));
    }
  }
}

void SearchSimulation::Start(MonotonicTime end) {
  this->end_at = end;
  this->AdvanceSnapshot();
  this->SendPlatformList();
  this->ReportStatuses();
  this->InjectServerFault();
}

FakeSearcher& SearchSimulation::SearcherOf(ServerIndex index) {
  // The table assigns indices in the order of the platform list, starting at 1.
  return this->searchers.at(index.value() - 1);
}

std::optional<AttemptOutcome> SearchSimulation::HandleAttempt(
    const SendAttempt& attempt,
    const std::string& query) {
  FakeSearcher& searcher = this->SearcherOf(attempt.server);
  this->CheckNotLeaving(searcher);
  if (!searcher.is_running) {
    return std::nullopt;
  }
  if (searcher.is_draining) {
    return AttemptFailure::kDraining;
  }
  const double outcome_draw = this->random().NextDouble();
  if (outcome_draw < kShedProbability) {
    return AttemptFailure::kShed;
  }
  if (outcome_draw < kShedProbability + kLostProbability) {
    return AttemptFailure::kConnectionLost;
  }
  SnapshotId snapshot = attempt.snapshot;
  if (!searcher.loaded.contains(snapshot)) {
    if (this->planted_bug() != PlantedBug::kSnapshotsMixed ||
        searcher.loaded.empty()) {
      return AttemptFailure::kUnknownSnapshot;
    }
    snapshot = *searcher.loaded.rbegin();
  }
  if (!this->HoldsShard(searcher, attempt.snapshot, attempt.shard)) {
    return AttemptFailure::kUnknownShard;
  }
  SubResponse response;
  response.reply = {attempt.attempt, attempt.snapshot, attempt.shard, {}};
  response.reply.matches.push_back(
      {fmt::format("{}/{}", attempt.shard.value(), snapshot.value()), 1,
       query});
  response.load = this->StatusOf(searcher).load;
  if (outcome_draw > 1 - kBadReplyProbability) {
    // Simulates a reply with the bytes of another attempt, which fails the
    // check of the echoed attempt id.
    return AttemptFailure::kBadReply;
  }
  return response;
}

void SearchSimulation::CheckNotLeaving(const FakeSearcher& searcher) {
  const MonotonicTime now = this->event_queue.now();
  if (searcher.leaving_since && now > *searcher.leaving_since + kLeavingBound) {
    this->invariant_checker.ReportInvariant(
        Invariant::kLeavingGetsNoWork,
        fmt::format(
            "{} received an attempt {} ms after it was listed as leaving",
            searcher.record.server.value(),
            ToMilliseconds(now - *searcher.leaving_since)));
  }
}

void SearchSimulation::CheckAnswer(const std::string& query,
                                   const SearchAnswer& answer) {
  std::vector<ShardId> listed_shards = answer.covered;
  for (const MissingShard& missing : answer.missing) {
    listed_shards.push_back(missing.shard);
  }
  std::sort(listed_shards.begin(), listed_shards.end());
  if (listed_shards != this->shard_sets[answer.snapshot]) {
    this->invariant_checker.ReportInvariant(
        Invariant::kTrueCoverage,
        fmt::format(
            "the answer to {} accounts for {} of the {} shards of snapshot "
            "{}",
            query, listed_shards.size(),
            this->shard_sets[answer.snapshot].size(), answer.snapshot.value()));
  }
  std::vector<std::string> expected;
  for (const ShardId shard : answer.covered) {
    expected.push_back(
        fmt::format("{}/{}", shard.value(), answer.snapshot.value()));
  }
  std::vector<std::string> actual;
  bool is_own = true;
  for (const Match& match : answer.matches) {
    actual.push_back(match.id);
    is_own = is_own && match.text == query;
  }
  std::sort(expected.begin(), expected.end());
  std::sort(actual.begin(), actual.end());
  if (!is_own) {
    this->invariant_checker.ReportInvariant(
        Invariant::kOwnAnswer,
        fmt::format("the answer to {} has matches of another query", query));
  } else if (actual != expected) {
    this->invariant_checker.ReportInvariant(
        Invariant::kOneSnapshot,
        fmt::format("the answer to {} has {} matches that differ from those of "
                    "its {} covered shards under snapshot {}",
                    query, actual.size(), expected.size(),
                    answer.snapshot.value()));
  }
}

std::vector<ShardId> SearchSimulation::ShardsOf(const FakeSearcher& searcher,
                                                SnapshotId snapshot) const {
  std::vector<ShardId> shards;
  for (const ShardId shard : this->shard_sets.at(snapshot)) {
    if (shard.value() % kGroupCount == searcher.group) {
      shards.push_back(shard);
    }
  }
  return shards;
}

bool SearchSimulation::HoldsShard(const FakeSearcher& searcher,
                                  SnapshotId snapshot,
                                  ShardId shard) const {
  const std::vector<ShardId> shards = this->ShardsOf(searcher, snapshot);
  return std::find(shards.begin(), shards.end(), shard) != shards.end();
}

StatusReport SearchSimulation::StatusOf(const FakeSearcher& searcher) const {
  StatusReport report;
  report.slots = kSlots;
  report.connection_limit = kSlots;
  report.load.state =
      searcher.is_draining ? ServerState::kDraining : ServerState::kServing;
  for (const SnapshotId snapshot : searcher.loaded) {
    ManifestReport manifest;
    manifest.snapshot = snapshot;
    manifest.shards = this->ShardsOf(searcher, snapshot);
    manifest.all_shards =
        this->planted_bug() == PlantedBug::kMissingReportedCovered
            ? manifest.shards
            : this->shard_sets.at(snapshot);
    report.snapshots.push_back(std::move(manifest));
    report.load.newest_snapshot = snapshot;
  }
  return report;
}

// Publishes a new snapshot, which each server loads after its own delay. Some
// snapshots are repartitioned, so that they share no shard id with their
// predecessor.
void SearchSimulation::AdvanceSnapshot() {
  if (this->event_queue.now() >= this->end_at) {
    return;
  }
  if (this->layout_count == 0 ||
      this->random().NextDouble() < kRepartitionProbability) {
    ++this->layout_count;
  }
  this->newest_snapshot = Next(this->newest_snapshot);
  std::vector<ShardId> shards;
  const std::uint64_t count =
      kGroupCount + this->layout_count % 3 * kGroupCount;
  for (std::uint64_t i = 0; i < count; ++i) {
    shards.emplace_back(this->layout_count * kShardIdsPerLayout + i);
  }
  this->shard_sets[this->newest_snapshot] = shards;
  for (FakeSearcher& searcher : this->searchers) {
    this->event_queue.After(
        this->RandomDurationUpTo(milliseconds(400)),
        [&searcher, snapshot = this->newest_snapshot] {
          searcher.loaded.insert(snapshot);
          if (searcher.loaded.size() > kMaxLoadedSnapshots) {
            searcher.loaded.erase(searcher.loaded.begin());
          }
        });
  }
  this->event_queue.After(
      milliseconds(200) + this->RandomDurationUpTo(milliseconds(600)),
      [this] { this->AdvanceSnapshot(); });
}

void SearchSimulation::ReportStatuses() {
  if (this->event_queue.now() >= this->end_at) {
    return;
  }
  for (const ServerIndex index : this->server_table.AllServers()) {
    const FakeSearcher& searcher = this->SearcherOf(index);
    if (!searcher.is_running) {
      continue;
    }
    // Status reports reach the entry VM with a delay.
    this->event_queue.After(this->RandomDurationUpTo(milliseconds(300)),
                            [this, index, report = this->StatusOf(searcher)] {
                              this->server_table.UpdateStatus(this->clock.Now(),
                                                              index, report);
                            });
  }
  this->event_queue.After(milliseconds(100),
                          [this] { this->ReportStatuses(); });
}

void SearchSimulation::SendPlatformList() {
  if (this->event_queue.now() >= this->end_at) {
    return;
  }
  std::vector<ServerRecord> records;
  for (FakeSearcher& searcher : this->searchers) {
    if (searcher.record.is_leaving && !searcher.leaving_since) {
      searcher.leaving_since = this->event_queue.now();
    } else if (!searcher.record.is_leaving) {
      searcher.leaving_since.reset();
    }
    records.push_back(searcher.record);
    if (this->planted_bug() == PlantedBug::kLeavingGetsWork) {
      records.back().is_leaving = false;
    }
  }
  this->server_table.UpdateRecords(this->clock.Now(), records);
  this->event_queue.After(
      milliseconds(150) + this->RandomDurationUpTo(milliseconds(700)),
      [this] { this->SendPlatformList(); });
}

// Stops or drains a random server or marks it as leaving for a limited time.
// Several servers may be affected at once.
void SearchSimulation::InjectServerFault() {
  if (this->event_queue.now() >= this->end_at) {
    return;
  }
  FakeSearcher& searcher =
      this->searchers[this->random().NextBelow(this->searchers.size())];
  const std::uint64_t kind = this->random().NextBelow(3);
  const Duration fault_duration =
      milliseconds(200) + this->RandomDurationUpTo(seconds(8));
  searcher.is_running = kind != 0;
  searcher.is_draining = kind == 1;
  searcher.record.is_leaving = kind == 2;
  this->event_queue.After(fault_duration, [&searcher] {
    searcher.is_running = true;
    searcher.is_draining = false;
    searcher.record.is_leaving = false;
    searcher.leaving_since.reset();
  });
  this->event_queue.After(
      milliseconds(100) + this->RandomDurationUpTo(seconds(2)),
      [this] { this->InjectServerFault(); });
}

Duration SearchSimulation::RandomDurationUpTo(Duration longest) {
  return Duration(static_cast<std::int64_t>(this->random().NextBelow(
      static_cast<std::uint64_t>(longest.count()) + 1)));
}

}  // namespace marigold
