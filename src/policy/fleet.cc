#include "src/policy/fleet.h"

#include <algorithm>

namespace marigold {

namespace {

// A status that the server sent before it began to drain may arrive after the
// drain was detected. A report that a draining server is serving is therefore
// ignored for this long after the drain was detected.
constexpr Duration kMinDrainingTime = std::chrono::seconds(10);

bool HasSameShards(const std::map<SnapshotId, ManifestReport>& known,
                   const std::vector<ManifestReport>& reported) {
  return known.size() == reported.size() &&
         std::all_of(reported.begin(), reported.end(),
                     [&known](const ManifestReport& manifest) {
                       const auto position = known.find(manifest.snapshot);
                       return position != known.end() &&
                              position->second.shards == manifest.shards &&
                              position->second.all_shards ==
                                  manifest.all_shards;
                     });
}

}  // namespace

Fleet::Fleet(FleetSettings fleet_settings)
    : settings(std::move(fleet_settings)) {}

void Fleet::UpdateRecords(MonotonicTime now,
                          const std::vector<ServerRecord>& records) {
  std::vector<bool> listed(this->servers.size() + records.size() + 1);
  for (const ServerRecord& record : records) {
    const ServerIndex index = this->UpsertEntry(record);
    listed[index.value()] = true;
    ServerEntry& entry = this->EntryOf(index);
    if (record.is_leaving) {
      this->SetState(now, entry, ServerState::kLeaving);
    } else if (entry.state == ServerState::kLost ||
               entry.state == ServerState::kLeaving) {
      entry.health.Reset();
      this->SetState(now, entry, ServerState::kStarting);
    }
  }
  for (std::size_t i = 0; i < this->servers.size(); ++i) {
    this->servers[i].is_listed = listed[i + 1];
    if (!listed[i + 1]) {
      this->SetState(now, this->servers[i], ServerState::kLost);
    }
  }
}

ServerIndex Fleet::UpsertEntry(const ServerRecord& record) {
  const auto [position, added] = this->index_by_id.try_emplace(record.server);
  if (added) {
    this->servers.emplace_back();
    position->second = ServerIndex(this->servers.size());
  }
  const ServerIndex index = position->second;
  ServerEntry& entry = this->EntryOf(index);
  Service& service =
      this->services.try_emplace(record.service, this->settings.traffic)
          .first->second;
  if (entry.service != &service) {
    if (entry.service != nullptr) {
      entry.service->members.erase(index);
      this->InvalidateSnapshots(*entry.service);
    }
    entry.service = &service;
    service.members.insert(index);
  }
  entry.record = record;
  return index;
}

void Fleet::UpdateStatus(MonotonicTime now,
                         ServerIndex server,
                         const StatusReport& report) {
  if (this->FindEntry(server) == nullptr) {
    return;
  }
  ServerEntry& entry = this->EntryOf(server);
  entry.slots = std::max(report.slots, 1U);
  entry.connection_limit = std::max(report.connection_limit, 1U);
  if (!HasSameShards(entry.snapshots, report.snapshots)) {
    entry.snapshots.clear();
    for (const ManifestReport& manifest : report.snapshots) {
      entry.snapshots[manifest.snapshot] = manifest;
    }
    this->InvalidateSnapshots(*entry.service);
  }
  entry.health.OnStatus();
  if (entry.state == ServerState::kLost && entry.is_listed) {
    this->SetState(now, entry, ServerState::kStarting);
  }
  this->UpdateLoad(now, server, report.load);
}

void Fleet::UpdateLoad(MonotonicTime now,
                       ServerIndex server,
                       const LoadReport& report) {
  if (this->FindEntry(server) == nullptr) {
    return;
  }
  ServerEntry& entry = this->EntryOf(server);
  entry.report = report;
  entry.reported_at = now;
  const bool may_be_stale = report.state == ServerState::kServing &&
                            entry.state == ServerState::kDraining &&
                            now - entry.draining_since < kMinDrainingTime;
  if (!entry.record.is_leaving && entry.state != ServerState::kLost &&
      !may_be_stale) {
    this->SetState(now, entry, report.state);
  }
}

void Fleet::UpdateConnectionPart(ServerIndex server,
                                 std::uint32_t connections) {
  if (this->FindEntry(server) != nullptr) {
    this->EntryOf(server).max_connections = connections;
  }
}

void Fleet::SetState(MonotonicTime now, ServerEntry& entry, ServerState state) {
  if (entry.state == state) {
    return;
  }
  if (state == ServerState::kServing) {
    entry.usable_since = now;
  }
  if (state == ServerState::kDraining) {
    entry.draining_since = now;
  }
  if (IsUsable(entry) || state == ServerState::kServing) {
    this->InvalidateSnapshots(*entry.service);
  }
  entry.state = state;
  entry.state_since = now;
}

void Fleet::InvalidateSnapshots(Service& service) {
  service.snapshots = nullptr;
  if (!service.queues.empty()) {
    const auto waiters = service.queues.AllWaiters();
    this->woken.insert(this->woken.end(), waiters.begin(), waiters.end());
  }
}

bool Fleet::IsUsable(const ServerEntry& entry) {
  return entry.state == ServerState::kServing;
}

Duration Fleet::TypicalLatency(const ServerEntry& entry) {
  return entry.service->traffic.typical_latency().value_or(Duration::zero());
}

Fleet::ServerEntry& Fleet::EntryOf(ServerIndex server) {
  return this->servers.at(server.value() - 1);
}

const Fleet::ServerEntry* Fleet::FindEntry(ServerIndex server) const {
  const std::uint64_t position = server.value() - 1;
  return position < this->servers.size() ? &this->servers[position] : nullptr;
}

Fleet::Service* Fleet::FindService(const ServiceId& service) {
  const auto position = this->services.find(service);
  return position == this->services.end() ? nullptr : &position->second;
}

const Fleet::Service* Fleet::FindService(const ServiceId& service) const {
  const auto position = this->services.find(service);
  return position == this->services.end() ? nullptr : &position->second;
}

}  // namespace marigold
