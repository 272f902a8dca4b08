#include <algorithm>
#include <functional>
#include <iterator>

#include "src/policy/fleet.h"

namespace marigold {

namespace {

std::size_t PositionOf(const std::vector<ShardId>& shards, ShardId shard) {
  return static_cast<std::size_t>(
      std::lower_bound(shards.begin(), shards.end(), shard) - shards.begin());
}

}  // namespace

SnapshotList Fleet::Snapshots(const ServiceId& service) const {
  const Service* found = this->FindService(service);
  if (found == nullptr) {
    return nullptr;
  }
  if (found->snapshots == nullptr) {
    found->snapshots = this->BuildSnapshots(*found);
  }
  return found->snapshots;
}

SnapshotList Fleet::BuildSnapshots(const Service& service) const {
  std::map<SnapshotId, std::vector<ServerIndex>, std::greater<>>
      servers_by_snapshot;
  std::map<SnapshotId, std::set<ShardId>> shard_sets;
  // The last full shard set of each snapshot. Servers almost always report the
  // same one, and equal sets are not inserted again.
  std::map<SnapshotId, const std::vector<ShardId>*> last_full_sets;
  for (const ServerIndex index : service.members) {
    const ServerEntry& entry = *this->FindEntry(index);
    if (!IsUsable(entry)) {
      continue;
    }
    for (const auto& [snapshot, manifest] : entry.snapshots) {
      servers_by_snapshot[snapshot].push_back(index);
      const std::vector<ShardId>*& full_set = last_full_sets[snapshot];
      if (full_set == nullptr || *full_set != manifest.all_shards) {
        full_set = &manifest.all_shards;
        shard_sets[snapshot].insert(manifest.all_shards.begin(),
                                    manifest.all_shards.end());
      }
      shard_sets[snapshot].insert(manifest.shards.begin(),
                                  manifest.shards.end());
    }
  }
  auto views = std::make_shared<std::vector<SnapshotView>>();
  for (const auto& [snapshot, indices] : servers_by_snapshot) {
    SnapshotView& view = views->emplace_back();
    const std::set<ShardId>& shards = shard_sets[snapshot];
    view.snapshot = snapshot;
    view.all_shards.assign(shards.begin(), shards.end());
    view.servers.resize(shards.size());
    for (const ServerIndex index : indices) {
      for (const ShardId shard :
           this->FindEntry(index)->snapshots.at(snapshot).shards) {
        view.servers[PositionOf(view.all_shards, shard)].push_back(index);
      }
    }
    std::size_t min_replicas = indices.size();
    for (std::size_t i = 0; i < view.servers.size(); ++i) {
      min_replicas = std::min(min_replicas, view.servers[i].size());
      if (!view.servers[i].empty()) {
        view.served_shards.push_back(view.all_shards[i]);
      }
    }
    view.min_replicas = static_cast<std::uint32_t>(min_replicas);
  }
  return views;
}

const SnapshotView* Fleet::FindSnapshot(const Service& service,
                                        SnapshotId snapshot) const {
  if (service.snapshots == nullptr) {
    service.snapshots = this->BuildSnapshots(service);
  }
  for (const SnapshotView& view : *service.snapshots) {
    if (view.snapshot == snapshot) {
      return &view;
    }
  }
  return nullptr;
}

std::vector<ServerView> Fleet::Candidates(MonotonicTime now,
                                          const ServiceId& service,
                                          SnapshotId snapshot,
                                          ShardId shard) const {
  std::vector<ServerView> views;
  const Service* found = this->FindService(service);
  const SnapshotView* view =
      found == nullptr ? nullptr : this->FindSnapshot(*found, snapshot);
  if (view == nullptr) {
    return views;
  }
  const auto& indices = view->ServersOf(shard);
  std::transform(indices.begin(), indices.end(), std::back_inserter(views),
                 [this, now](ServerIndex index) {
                   return this->ViewOf(now, index, *this->FindEntry(index));
                 });
  return views;
}

bool Fleet::KnowsService(const ServiceId& service) const {
  return this->services.contains(service);
}

const ServiceTraffic* Fleet::Traffic(const ServiceId& service) const {
  const Service* found = this->FindService(service);
  return found == nullptr ? nullptr : &found->traffic;
}

std::optional<ServerView> Fleet::View(MonotonicTime now,
                                      ServerIndex server) const {
  const ServerEntry* entry = this->FindEntry(server);
  if (entry == nullptr) {
    return std::nullopt;
  }
  return this->ViewOf(now, server, *entry);
}

std::optional<ServerRecord> Fleet::Record(ServerIndex server) const {
  const ServerEntry* entry = this->FindEntry(server);
  if (entry == nullptr) {
    return std::nullopt;
  }
  return entry->record;
}

std::vector<ServerIndex> Fleet::AllServers() const {
  std::vector<ServerIndex> indices;
  indices.reserve(this->servers.size());
  for (std::size_t i = 1; i <= this->servers.size(); ++i) {
    indices.emplace_back(i);
  }
  return indices;
}

ServerView Fleet::ViewOf(MonotonicTime now,
                         ServerIndex index,
                         const ServerEntry& entry) const {
  const Duration typical_latency = TypicalLatency(entry);
  ServerView view;
  view.index = index;
  view.state = entry.state;
  view.is_in_same_data_centre =
      entry.record.data_centre == this->settings.data_centre;
  view.is_suspect = entry.health.IsSuspect() || entry.health.IsShedding(now);
  view.slots = entry.slots;
  view.in_flight = entry.in_flight + entry.reserved;
  view.limit = this->AttemptLimitOf(entry);
  view.reported_load = entry.report.load;
  view.report_age = now - entry.reported_at;
  view.report_trust = entry.health.report_trust();
  view.latency_estimate = entry.health.LatencyEstimate(typical_latency);
  view.silent_for =
      entry.health.SilentFor(now, entry.in_flight, typical_latency);
  view.usable_for = now - entry.usable_since;
  return view;
}

std::vector<StatusCandidate> Fleet::StatusCandidates(MonotonicTime now) const {
  std::vector<StatusCandidate> candidates;
  candidates.reserve(this->servers.size());
  for (std::size_t i = 0; i < this->servers.size(); ++i) {
    const ServerEntry& entry = this->servers[i];
    if (!entry.is_listed) {
      continue;
    }
    const SnapshotId newest = entry.report.newest_snapshot;
    const bool has_new_snapshot =
        newest > SnapshotId() &&
        (entry.snapshots.empty() || newest > entry.snapshots.rbegin()->first);
    candidates.push_back({ServerIndex(i + 1), entry.state,
                          now - entry.reported_at, has_new_snapshot});
  }
  return candidates;
}

std::vector<ServerSummary> Fleet::Summaries(MonotonicTime now) const {
  std::vector<ServerSummary> summaries;
  summaries.reserve(this->servers.size());
  for (std::size_t i = 0; i < this->servers.size(); ++i) {
    const ServerEntry& entry = this->servers[i];
    ServerSummary& summary = summaries.emplace_back();
    summary.view = this->ViewOf(now, ServerIndex(i + 1), entry);
    summary.record = entry.record;
    summary.state_age = now - entry.state_since;
    summary.newest_snapshot = entry.report.newest_snapshot;
    summary.last_failure = entry.last_failure;
    summary.last_failure_age = now - entry.failed_at;
  }
  return summaries;
}

}  // namespace marigold
