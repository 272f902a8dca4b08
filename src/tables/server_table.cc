#include "src/tables/server_table.h"

#include "src/core/invariant.h"
#include "src/core/random.h"

namespace marigold {

ServerTable::ServerTable(FleetSettings settings)
    : fleet(std::move(settings)), last_attempt_id(SystemSeed() >> 1) {}

void ServerTable::AddWaiter(WaiterId waiter, std::function<void()> on_ready) {
  const RankedLock lock(this->mutex);
  this->waiters[waiter] = std::move(on_ready);
}

void ServerTable::RemoveWaiter(WaiterId waiter) {
  const RankedLock lock(this->mutex);
  this->waiters.erase(waiter);
}

void ServerTable::CallReadyWaiters() {
  std::vector<std::function<void()>> ready_callbacks;
  {
    const RankedLock lock(this->mutex);
    for (const WaiterId waiter : this->fleet.TakeWokenWaiters()) {
      const auto position = this->waiters.find(waiter);
      if (position != this->waiters.end()) {
        ready_callbacks.push_back(position->second);
      }
    }
  }
  for (const auto& on_ready : ready_callbacks) {
    on_ready();
  }
}

void ServerTable::UpdateRecords(MonotonicTime now,
                                const std::vector<ServerRecord>& records) {
  this->Access([&](Fleet& target) { target.UpdateRecords(now, records); });
  this->CallReadyWaiters();
}

void ServerTable::UpdateStatus(MonotonicTime now,
                               ServerIndex server,
                               const StatusReport& report) {
  this->Access(
      [&](Fleet& target) { target.UpdateStatus(now, server, report); });
  this->CallReadyWaiters();
}

bool ServerTable::TryDispatch(MonotonicTime now, ServerIndex server) {
  const RankedLock lock(this->mutex);
  const auto view = this->fleet.View(now, server);
  if (!view || view->state != ServerState::kServing) {
    this->fleet.OnNotDispatched(now, server);
    return false;
  }
  const auto record = this->fleet.Record(server);
  CheckInvariant(Invariant::kLeavingGetsNoWork, record && !record->is_leaving,
                 "an attempt was dispatched to a leaving server");
  this->fleet.OnDispatch(now, server);
  return true;
}

void ServerTable::OnReply(MonotonicTime now,
                          ServerIndex server,
                          Duration latency,
                          const LoadReport& load) {
  this->Access(
      [&](Fleet& target) { target.OnReply(now, server, latency, load); });
  this->CallReadyWaiters();
}

void ServerTable::OnFailure(MonotonicTime now,
                            ServerIndex server,
                            AttemptFailure failure) {
  this->Access([&](Fleet& target) { target.OnFailure(now, server, failure); });
  this->CallReadyWaiters();
}

void ServerTable::OnCancel(MonotonicTime now, ServerIndex server) {
  this->Access([&](Fleet& target) { target.OnCancel(now, server); });
  this->CallReadyWaiters();
}

void ServerTable::OnUnreachable(MonotonicTime now, ServerIndex server) {
  this->Access([&](Fleet& target) { target.OnUnreachable(now, server); });
  this->CallReadyWaiters();
}

void ServerTable::OnRestarted(MonotonicTime now, ServerIndex server) {
  this->Access([&](Fleet& target) { target.OnRestarted(now, server); });
}

void ServerTable::UpdateConnectionPart(ServerIndex server,
                                       std::uint32_t connections) {
  this->Access(
      [&](Fleet& target) { target.UpdateConnectionPart(server, connections); });
}

AttemptId ServerTable::NextAttempt() {
  return AttemptId(++this->last_attempt_id);
}

bool ServerTable::KnowsService(const ServiceId& service) const {
  const RankedLock lock(this->mutex);
  return this->fleet.KnowsService(service);
}

Congestion ServerTable::CongestionOf(const ServiceId& service) const {
  const RankedLock lock(this->mutex);
  const ServiceTraffic* traffic = this->fleet.Traffic(service);
  return traffic == nullptr ? Congestion::kNone : traffic->congestion();
}

SnapshotList ServerTable::Snapshots(const ServiceId& service) const {
  const RankedLock lock(this->mutex);
  return this->fleet.Snapshots(service);
}

std::vector<ServerView> ServerTable::Candidates(MonotonicTime now,
                                                const ServiceId& service,
                                                SnapshotId snapshot,
                                                ShardId shard) const {
  const RankedLock lock(this->mutex);
  return this->fleet.Candidates(now, service, snapshot, shard);
}

std::optional<ServerRecord> ServerTable::Record(ServerIndex server) const {
  const RankedLock lock(this->mutex);
  return this->fleet.Record(server);
}

std::vector<ServerIndex> ServerTable::AllServers() const {
  const RankedLock lock(this->mutex);
  return this->fleet.AllServers();
}

std::vector<StatusCandidate> ServerTable::StatusCandidates(
    MonotonicTime now) const {
  const RankedLock lock(this->mutex);
  return this->fleet.StatusCandidates(now);
}

std::vector<ServerSummary> ServerTable::Summaries(MonotonicTime now) const {
  const RankedLock lock(this->mutex);
  return this->fleet.Summaries(now);
}

std::optional<ServerView> ServerTable::View(MonotonicTime now,
                                            ServerIndex server) const {
  const RankedLock lock(this->mutex);
  return this->fleet.View(now, server);
}

}  // namespace marigold
