#include <algorithm>

#include "src/policy/fleet.h"

namespace marigold {

namespace {

// In requests per slot. A lower mean load counts as this when the load of a
// server is compared with it, so that small loads are not compared.
constexpr double kMinMeanLoad = 0.3;

}  // namespace

void Fleet::StopWaiting(const ServiceId& service,
                        SnapshotId snapshot,
                        ShardId shard,
                        WaiterId waiter) {
  Service* found = this->FindService(service);
  if (found == nullptr) {
    return;
  }
  const WaitQueues::Key key(snapshot, shard);
  const bool was_next = found->queues.IsNext(key, waiter);
  if (!found->queues.Remove(key, waiter) || !was_next) {
    return;
  }
  if (const WaiterId* next = found->queues.FirstWaiter(key)) {
    this->woken.push_back(*next);
  }
}

std::optional<ServerIndex> Fleet::PlaceTrial(MonotonicTime now,
                                             const ServiceId& service,
                                             SnapshotId snapshot,
                                             ShardId shard) {
  const Service* found = this->FindService(service);
  const SnapshotView* view =
      found == nullptr ? nullptr : this->FindSnapshot(*found, snapshot);
  if (view == nullptr || found->traffic.IsShedding(now) ||
      found->traffic.congestion() == Congestion::kOverload) {
    return std::nullopt;
  }
  bool has_healthy_server = false;
  std::optional<ServerIndex> due_server;
  for (const ServerIndex index : view->ServersOf(shard)) {
    const ServerEntry& entry = this->EntryOf(index);
    const bool is_suspect = entry.health.IsSuspect();
    has_healthy_server = has_healthy_server || !is_suspect;
    if (is_suspect && entry.health.IsTrialDue(now) &&
        this->IsBelowLimit(entry)) {
      due_server = index;
    }
  }
  // If no server is healthy, the suspect ones get the ordinary attempts and
  // need no trials.
  if (!has_healthy_server || !due_server) {
    return std::nullopt;
  }
  ServerEntry& entry = this->EntryOf(*due_server);
  entry.health.OnTrial(now);
  ++entry.reserved;
  return due_server;
}

std::vector<WaiterId> Fleet::TakeWokenWaiters() {
  std::sort(this->woken.begin(), this->woken.end());
  this->woken.erase(std::unique(this->woken.begin(), this->woken.end()),
                    this->woken.end());
  return std::exchange(this->woken, {});
}

void Fleet::OnDispatch(MonotonicTime now, ServerIndex server) {
  ServerEntry& entry = this->EntryOf(server);
  entry.health.OnDispatch(now, entry.in_flight, TypicalLatency(entry));
  entry.reserved -= std::min(entry.reserved, 1U);
  ++entry.in_flight;
}

void Fleet::OnNotDispatched(MonotonicTime /*now*/, ServerIndex server) {
  if (this->FindEntry(server) == nullptr) {
    return;
  }
  ServerEntry& entry = this->EntryOf(server);
  entry.reserved -= std::min(entry.reserved, 1U);
  this->WakeWaitersOf(entry);
}

void Fleet::OnReply(MonotonicTime now, ServerIndex server, Duration latency) {
  ServerEntry& entry = this->EntryOf(server);
  entry.health.OnReply(now, latency, TypicalLatency(entry));
  entry.service->traffic.OnAttemptLatency(latency);
  entry.service->traffic.OnOutcome(now, false);
  this->EndAttempt(entry);
}

void Fleet::OnReply(MonotonicTime now,
                    ServerIndex server,
                    Duration latency,
                    const LoadReport& report) {
  ServerEntry& entry = this->EntryOf(server);
  ServiceTraffic& traffic = entry.service->traffic;
  const double load =
      static_cast<double>(report.load) / static_cast<double>(entry.slots);
  entry.health.OnReport(load / std::max(traffic.load_per_slot(), kMinMeanLoad),
                        latency, TypicalLatency(entry));
  traffic.OnReportedLoad(load, entry.health.report_trust());
  this->OnReply(now, server, latency);
  this->UpdateLoad(now, server, report);
}

void Fleet::OnFailure(MonotonicTime now,
                      ServerIndex server,
                      AttemptFailure failure) {
  ServerEntry& entry = this->EntryOf(server);
  entry.health.OnFailure(now, failure);
  entry.last_failure = failure;
  entry.failed_at = now;
  entry.service->traffic.OnOutcome(now, failure == AttemptFailure::kShed);
  const bool may_change_state =
      !entry.record.is_leaving && entry.state != ServerState::kLost;
  if (may_change_state && failure == AttemptFailure::kDraining) {
    this->SetState(now, entry, ServerState::kDraining);
  }
  if (may_change_state && failure == AttemptFailure::kStarting) {
    this->SetState(now, entry, ServerState::kStarting);
  }
  this->EndAttempt(entry);
}

void Fleet::OnCancel(MonotonicTime /*now*/, ServerIndex server) {
  this->EndAttempt(this->EntryOf(server));
}

void Fleet::OnUnreachable(MonotonicTime now, ServerIndex server) {
  ServerEntry& entry = this->EntryOf(server);
  if (entry.state != ServerState::kLeaving) {
    this->SetState(now, entry, ServerState::kLost);
  }
}

void Fleet::OnRestarted(MonotonicTime now, ServerIndex server) {
  ServerEntry& entry = this->EntryOf(server);
  if (entry.is_listed && !entry.record.is_leaving) {
    entry.health.Reset();
    this->SetState(now, entry, ServerState::kStarting);
  }
}

void Fleet::OnSlowAttempt(MonotonicTime now, ServerIndex server) {
  this->EntryOf(server).health.OnSlowAttempt(now);
}

void Fleet::OnMissingShard(ServerIndex server,
                           SnapshotId snapshot,
                           ShardId shard) {
  ServerEntry& entry = this->EntryOf(server);
  const auto manifest = entry.snapshots.find(snapshot);
  if (manifest == entry.snapshots.end() ||
      std::erase(manifest->second.shards, shard) == 0) {
    return;
  }
  if (manifest->second.shards.empty()) {
    entry.snapshots.erase(manifest);
  }
  this->InvalidateSnapshots(*entry.service);
}

ServiceTraffic* Fleet::Traffic(const ServiceId& service) {
  Service* found = this->FindService(service);
  return found == nullptr ? nullptr : &found->traffic;
}

void Fleet::CollectCandidates(MonotonicTime now,
                              const Service& service,
                              const PlaceRequest& request) {
  this->candidates.clear();
  const SnapshotView* view = this->FindSnapshot(service, request.snapshot);
  if (view == nullptr) {
    return;
  }
  for (const ServerIndex index : view->ServersOf(request.shard)) {
    if (std::find(request.tried_servers.begin(), request.tried_servers.end(),
                  index) == request.tried_servers.end()) {
      this->candidates.push_back(
          this->ViewOf(now, index, this->EntryOf(index)));
    }
  }
}

bool Fleet::IsBelowLimit(const ServerEntry& entry) const {
  return entry.in_flight + entry.reserved < this->AttemptLimitOf(entry);
}

std::uint32_t Fleet::AttemptLimitOf(const ServerEntry& entry) const {
  std::uint32_t max_attempts =
      entry.slots + this->settings.max_queued_per_server;
  if (entry.max_connections > 0) {
    max_attempts = std::min(max_attempts, entry.max_connections);
  }
  return entry.health.AttemptLimit(max_attempts);
}

void Fleet::EndAttempt(ServerEntry& entry) {
  entry.in_flight -= std::min(entry.in_flight, 1U);
  this->WakeWaitersOf(entry);
}

void Fleet::WakeWaitersOf(const ServerEntry& entry) {
  const WaitQueues& queues = entry.service->queues;
  if (queues.empty() || !IsUsable(entry) || !this->IsBelowLimit(entry)) {
    return;
  }
  for (const auto& [snapshot, manifest] : entry.snapshots) {
    for (const ShardId shard : manifest.shards) {
      if (const WaiterId* first = queues.FirstWaiter({snapshot, shard})) {
        this->woken.push_back(*first);
      }
    }
  }
}

}  // namespace marigold
