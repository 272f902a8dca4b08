#include <algorithm>

#include "src/policy/fleet.h"

namespace marigold {

namespace {

// Requests per slot below which servers are not compared by their load.
constexpr double kLowestLoad = 0.3;

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
  bool has_sound = false;
  std::optional<ServerIndex> due;
  for (const ServerIndex index : view->ServersOf(shard)) {
    const Entry& entry = this->At(index);
    const bool is_suspect = entry.health.IsSuspect();
    has_sound = has_sound || !is_suspect;
    if (is_suspect && entry.health.IsTrialDue(now) && this->HasRoom(entry)) {
      due = index;
    }
  }
  // Without a sound server the suspect ones get the attempts that count.
  if (!has_sound || !due) {
    return std::nullopt;
  }
  Entry& entry = this->At(*due);
  entry.health.OnTrial(now);
  ++entry.reserved;
  return due;
}

std::vector<WaiterId> Fleet::TakeWoken() {
  std::sort(this->woken.begin(), this->woken.end());
  this->woken.erase(std::unique(this->woken.begin(), this->woken.end()),
                    this->woken.end());
  return std::exchange(this->woken, {});
}

void Fleet::OnDispatch(MonotonicTime now, ServerIndex server) {
  Entry& entry = this->At(server);
  entry.health.OnDispatch(now, entry.in_flight, Typical(entry));
  entry.reserved -= std::min(entry.reserved, 1U);
  ++entry.in_flight;
}

void Fleet::OnNotDispatched(MonotonicTime /*now*/, ServerIndex server) {
  if (this->Find(server) == nullptr) {
    return;
  }
  Entry& entry = this->At(server);
  entry.reserved -= std::min(entry.reserved, 1U);
  this->WakeFor(entry);
}

void Fleet::OnReply(MonotonicTime now, ServerIndex server, Duration latency) {
  Entry& entry = this->At(server);
  entry.health.OnReply(now, latency, Typical(entry));
  entry.service->traffic.OnAttemptLatency(latency);
  entry.service->traffic.OnOutcome(now, false);
  this->EndAttempt(entry);
}

void Fleet::OnReply(MonotonicTime now,
                    ServerIndex server,
                    Duration latency,
                    const LoadReport& report) {
  Entry& entry = this->At(server);
  ServiceTraffic& traffic = entry.service->traffic;
  const double load =
      static_cast<double>(report.load) / static_cast<double>(entry.slots);
  entry.health.OnReport(load / std::max(traffic.load_per_slot(), kLowestLoad),
                        latency, Typical(entry));
  traffic.OnReportedLoad(load, entry.health.report_trust());
  this->OnReply(now, server, latency);
  this->UpdateLoad(now, server, report);
}

void Fleet::OnFailure(MonotonicTime now,
                      ServerIndex server,
                      AttemptFailure failure) {
  Entry& entry = this->At(server);
  entry.health.OnFailure(now, failure);
  entry.last_failure = failure;
  entry.failed_at = now;
  entry.service->traffic.OnOutcome(now, failure == AttemptFailure::kShed);
  const bool is_listed =
      !entry.record.leaving && entry.state != ServerState::kLost;
  if (is_listed && failure == AttemptFailure::kDraining) {
    this->SetState(now, entry, ServerState::kDraining);
  }
  if (is_listed && failure == AttemptFailure::kStarting) {
    this->SetState(now, entry, ServerState::kStarting);
  }
  this->EndAttempt(entry);
}

void Fleet::OnCancel(MonotonicTime /*now*/, ServerIndex server) {
  this->EndAttempt(this->At(server));
}

void Fleet::OnUnreachable(MonotonicTime now, ServerIndex server) {
  Entry& entry = this->At(server);
  if (entry.state != ServerState::kLeaving) {
    this->SetState(now, entry, ServerState::kLost);
  }
}

void Fleet::OnRestarted(MonotonicTime now, ServerIndex server) {
  Entry& entry = this->At(server);
  if (entry.listed && !entry.record.leaving) {
    entry.health.Reset();
    this->SetState(now, entry, ServerState::kStarting);
  }
}

void Fleet::OnSlow(MonotonicTime now, ServerIndex server) {
  this->At(server).health.OnSlow(now);
}

void Fleet::OnMissingShard(ServerIndex server,
                           SnapshotId snapshot,
                           ShardId shard) {
  Entry& entry = this->At(server);
  const auto manifest = entry.snapshots.find(snapshot);
  if (manifest == entry.snapshots.end() ||
      std::erase(manifest->second.shards, shard) == 0) {
    return;
  }
  if (manifest->second.shards.empty()) {
    entry.snapshots.erase(manifest);
  }
  this->Invalidate(*entry.service);
}

ServiceTraffic* Fleet::Traffic(const ServiceId& service) {
  Service* found = this->FindService(service);
  return found == nullptr ? nullptr : &found->traffic;
}

void Fleet::Collect(MonotonicTime now,
                    const Service& service,
                    const PlaceRequest& request) {
  this->candidates.clear();
  const SnapshotView* view = this->FindSnapshot(service, request.snapshot);
  if (view == nullptr) {
    return;
  }
  for (const ServerIndex index : view->ServersOf(request.shard)) {
    if (std::find(request.tried.begin(), request.tried.end(), index) ==
        request.tried.end()) {
      this->candidates.push_back(this->ViewOf(now, index, this->At(index)));
    }
  }
}

bool Fleet::HasRoom(const Entry& entry) const {
  return entry.in_flight + entry.reserved < this->LimitOf(entry);
}

std::uint32_t Fleet::LimitOf(const Entry& entry) const {
  std::uint32_t most = entry.slots + this->settings.queue_allowance;
  if (entry.connection_part > 0) {
    most = std::min(most, entry.connection_part);
  }
  return entry.health.Limit(most);
}

void Fleet::EndAttempt(Entry& entry) {
  entry.in_flight -= std::min(entry.in_flight, 1U);
  this->WakeFor(entry);
}

void Fleet::WakeFor(const Entry& entry) {
  const WaitQueues& queues = entry.service->queues;
  if (queues.empty() || !IsUsable(entry) || !this->HasRoom(entry)) {
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
