#include "tools/soak/search_world.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace marigold {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kGroups = 4;
constexpr std::uint64_t kReplicas = 3;
constexpr std::uint64_t kShardsOfLayout = 1'000;
constexpr double kRepartitionPart = 0.25;
constexpr double kShedPart = 0.02;
constexpr double kLostPart = 0.02;
constexpr double kBadReplyPart = 0.01;
constexpr Duration kLeavingBound = seconds(3);
constexpr std::size_t kLoadedSnapshots = 2;
constexpr std::uint32_t kSlots = 64;

}  // namespace

SearchWorld::SearchWorld(std::uint64_t seed, Plant planted_fault)
    : random_source(seed), planted(planted_fault), clock(event_queue) {
  for (std::uint64_t group = 0; group < kGroups; ++group) {
    for (std::uint64_t replica = 0; replica < kReplicas; ++replica) {
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

void SearchWorld::Start(MonotonicTime end) {
  this->stop_at = end;
  this->AdvanceSnapshot();
  this->SendPlatformList();
  this->SendStatuses();
  this->DisturbServers();
}

FakeSearcher& SearchWorld::SearcherOf(ServerIndex index) {
  // The table gives out indices in the order of the platform list.
  return this->searchers.at(index.value() - 1);
}

std::optional<AttemptOutcome> SearchWorld::Serve(const SendAttempt& attempt,
                                                 const std::string& query) {
  FakeSearcher& searcher = this->SearcherOf(attempt.server);
  this->CheckLeaving(searcher);
  if (!searcher.is_running) {
    return std::nullopt;
  }
  if (searcher.is_draining) {
    return AttemptFailure::kDraining;
  }
  const double fate = this->random().NextDouble();
  if (fate < kShedPart) {
    return AttemptFailure::kShed;
  }
  if (fate < kShedPart + kLostPart) {
    return AttemptFailure::kConnectionLost;
  }
  SnapshotId snapshot = attempt.snapshot;
  if (!searcher.loaded.contains(snapshot)) {
    if (this->plant() != Plant::kSnapshotsMixed || searcher.loaded.empty()) {
      return AttemptFailure::kUnknownSnapshot;
    }
    snapshot = *searcher.loaded.rbegin();
  }
  if (!this->Carries(searcher, attempt.snapshot, attempt.shard)) {
    return AttemptFailure::kUnknownShard;
  }
  SubResponse response;
  response.reply = {attempt.attempt, attempt.snapshot, attempt.shard, {}};
  response.reply.matches.push_back(
      {fmt::format("{}/{}", attempt.shard.value(), snapshot.value()), 1,
       query});
  response.load = this->StatusOf(searcher).load;
  if (fate > 1 - kBadReplyPart) {
    // Bytes that belong to another attempt fail the check of the echoed id.
    return AttemptFailure::kBadReply;
  }
  return response;
}

void SearchWorld::CheckLeaving(const FakeSearcher& searcher) {
  const MonotonicTime now = this->event_queue.now();
  if (searcher.leaving_since && now > *searcher.leaving_since + kLeavingBound) {
    this->run_judge.Report(
        Invariant::kLeavingGetsNoWork,
        fmt::format("{} got an attempt {} ms after it was known to leave",
                    searcher.record.server.value(),
                    ToMilliseconds(now - *searcher.leaving_since)));
  }
}

void SearchWorld::CheckAnswer(const std::string& query,
                              const SearchAnswer& answer) {
  std::vector<ShardId> stated = answer.covered;
  for (const MissingShard& missing : answer.missing) {
    stated.push_back(missing.shard);
  }
  std::sort(stated.begin(), stated.end());
  if (stated != this->shard_sets[answer.snapshot]) {
    this->run_judge.Report(
        Invariant::kTrueCoverage,
        fmt::format("the answer to {} states {} shards of the {} of snapshot "
                    "{}",
                    query, stated.size(),
                    this->shard_sets[answer.snapshot].size(),
                    answer.snapshot.value()));
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
    this->run_judge.Report(
        Invariant::kOwnAnswer,
        fmt::format("the answer to {} has matches of another query", query));
  } else if (actual != expected) {
    this->run_judge.Report(
        Invariant::kOneSnapshot,
        fmt::format("the answer to {} has {} matches that are not those of "
                    "its {} covered shards under snapshot {}",
                    query, actual.size(), expected.size(),
                    answer.snapshot.value()));
  }
}

std::vector<ShardId> SearchWorld::ShardsOf(const FakeSearcher& searcher,
                                           SnapshotId snapshot) const {
  std::vector<ShardId> shards;
  for (const ShardId shard : this->shard_sets.at(snapshot)) {
    if (shard.value() % kGroups == searcher.group) {
      shards.push_back(shard);
    }
  }
  return shards;
}

bool SearchWorld::Carries(const FakeSearcher& searcher,
                          SnapshotId snapshot,
                          ShardId shard) const {
  const std::vector<ShardId> shards = this->ShardsOf(searcher, snapshot);
  return std::find(shards.begin(), shards.end(), shard) != shards.end();
}

StatusReport SearchWorld::StatusOf(const FakeSearcher& searcher) const {
  StatusReport report;
  report.slots = kSlots;
  report.connection_limit = kSlots;
  report.load.state =
      searcher.is_draining ? ServerState::kDraining : ServerState::kServing;
  for (const SnapshotId snapshot : searcher.loaded) {
    ManifestReport manifest;
    manifest.snapshot = snapshot;
    manifest.shards = this->ShardsOf(searcher, snapshot);
    manifest.all_shards = this->plant() == Plant::kMissingReportedCovered
                              ? manifest.shards
                              : this->shard_sets.at(snapshot);
    report.snapshots.push_back(std::move(manifest));
    report.load.newest_snapshot = snapshot;
  }
  return report;
}

// A new snapshot that the servers load one after the other; some are
// repartitioned, so that no shard id is in both sets.
void SearchWorld::AdvanceSnapshot() {
  if (this->event_queue.now() >= this->stop_at) {
    return;
  }
  if (this->layouts == 0 || this->random().NextDouble() < kRepartitionPart) {
    ++this->layouts;
  }
  this->newest = Next(this->newest);
  std::vector<ShardId> shards;
  const std::uint64_t count = kGroups + this->layouts % 3 * kGroups;
  for (std::uint64_t i = 0; i < count; ++i) {
    shards.emplace_back(this->layouts * kShardsOfLayout + i);
  }
  this->shard_sets[this->newest] = shards;
  for (FakeSearcher& searcher : this->searchers) {
    this->event_queue.After(this->UpTo(milliseconds(400)),
                            [&searcher, snapshot = this->newest] {
                              searcher.loaded.insert(snapshot);
                              if (searcher.loaded.size() > kLoadedSnapshots) {
                                searcher.loaded.erase(searcher.loaded.begin());
                              }
                            });
  }
  this->event_queue.After(milliseconds(200) + this->UpTo(milliseconds(600)),
                          [this] { this->AdvanceSnapshot(); });
}

void SearchWorld::SendStatuses() {
  if (this->event_queue.now() >= this->stop_at) {
    return;
  }
  for (const ServerIndex index : this->server_table.AllServers()) {
    const FakeSearcher& searcher = this->SearcherOf(index);
    if (!searcher.is_running) {
      continue;
    }
    // Reports lag.
    this->event_queue.After(this->UpTo(milliseconds(300)),
                            [this, index, report = this->StatusOf(searcher)] {
                              this->server_table.UpdateStatus(this->clock.Now(),
                                                              index, report);
                            });
  }
  this->event_queue.After(milliseconds(100), [this] { this->SendStatuses(); });
}

void SearchWorld::SendPlatformList() {
  if (this->event_queue.now() >= this->stop_at) {
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
    if (this->plant() == Plant::kLeavingGetsWork) {
      records.back().is_leaving = false;
    }
  }
  this->server_table.UpdateRecords(this->clock.Now(), records);
  this->event_queue.After(milliseconds(150) + this->UpTo(milliseconds(700)),
                          [this] { this->SendPlatformList(); });
}

// Kills, drains or retires a server for a while; several may be out at once.
void SearchWorld::DisturbServers() {
  if (this->event_queue.now() >= this->stop_at) {
    return;
  }
  FakeSearcher& searcher =
      this->searchers[this->random().NextBelow(this->searchers.size())];
  const std::uint64_t kind = this->random().NextBelow(3);
  const Duration time = milliseconds(200) + this->UpTo(seconds(8));
  searcher.is_running = kind != 0;
  searcher.is_draining = kind == 1;
  searcher.record.is_leaving = kind == 2;
  this->event_queue.After(time, [&searcher] {
    searcher.is_running = true;
    searcher.is_draining = false;
    searcher.record.is_leaving = false;
    searcher.leaving_since.reset();
  });
  this->event_queue.After(milliseconds(100) + this->UpTo(seconds(2)),
                          [this] { this->DisturbServers(); });
}

Duration SearchWorld::UpTo(Duration longest) {
  return Duration(static_cast<std::int64_t>(this->random().NextBelow(
      static_cast<std::uint64_t>(longest.count()) + 1)));
}

}  // namespace marigold
