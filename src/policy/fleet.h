#ifndef SRC_POLICY_FLEET_H_
#define SRC_POLICY_FLEET_H_

#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

#include "src/core/ids.h"
#include "src/core/random.h"
#include "src/core/units.h"
#include "src/policy/entry_state.h"
#include "src/policy/replica_choice.h"
#include "src/policy/server_health.h"
#include "src/policy/server_view.h"
#include "src/policy/service_traffic.h"
#include "src/policy/snapshot_view.h"
#include "src/policy/status_schedule.h"
#include "src/policy/wait_queues.h"

namespace marigold {

struct FleetSettings {
  // The data centre of this process; empty if unknown.
  DataCentreId data_centre;
  // The number of attempts that this process may have in flight at a server
  // beyond the number of its slots.
  std::uint32_t max_queued_per_server = 2;
  TrafficSettings traffic;
};

// The input of `Fleet::Place`, which chooses a server for one attempt.
struct PlaceRequest {
  const ServiceId& service;
  SnapshotId snapshot;
  ShardId shard;
  // Servers that already had an attempt for this shard. They are not chosen
  // again.
  std::span<const ServerIndex> tried_servers;
  // The waiter that is queued if all servers are at their limits. Empty for an
  // attempt that does not wait, such as a hedged request.
  std::optional<WaiterId> waiter;
};

enum class PlaceResult {
  kPlaced,
  // All servers of the shard are at their limits, or other waiters are ahead in
  // the queue. The waiter, if there is one, was queued. `TakeWokenWaiters`
  // returns it when `Place` may be called for it again.
  kAllAtLimit,
  // No usable server that was not tried holds the shard.
  kNoServer,
};

struct Placement {
  PlaceResult result = PlaceResult::kNoServer;
  ServerIndex server;
};

// Holds the state of the backend servers that one entry process has observed:
// the platform's list, the servers' own reports and the results of the attempts
// of this process. Not synchronised; the entry process wraps it in a
// `ServerTable`, and the benchmark uses it directly.
class Fleet {
 public:
  explicit Fleet(FleetSettings fleet_settings = {});

  // Not copyable, because the entries point to their services.
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Commands.

  // Applies the platform's list. Servers that are no longer listed become
  // `kLost`. Observations of the others are kept.
  void UpdateRecords(MonotonicTime now,
                     const std::vector<ServerRecord>& records);

  // Applies the reply to a status call. Unknown servers are ignored.
  void UpdateStatus(MonotonicTime now,
                    ServerIndex server,
                    const StatusReport& report);

  // Applies the load report of a reply or a status. Unknown servers are
  // ignored.
  void UpdateLoad(MonotonicTime now,
                  ServerIndex server,
                  const LoadReport& report);

  // Sets the maximum number of connections of this process to a server, which
  // also limits its attempts in flight; 0 removes the limit.
  void UpdateConnectionPart(ServerIndex server, std::uint32_t connections);

  // Chooses a server and reserves an attempt there. The reservation counts
  // towards the server's limit until `OnDispatch` or `OnNotDispatched`.
  template <class ReplicaPolicyType, RandomSource Random>
  Placement Place(MonotonicTime now,
                  const PlaceRequest& request,
                  const ReplicaPolicyType& policy,
                  Random& random);

  // Removes a waiter from the queue of a shard, and wakes the next one if it
  // was the first.
  void StopWaiting(const ServiceId& service,
                   SnapshotId snapshot,
                   ShardId shard,
                   WaiterId waiter);

  // Reserves an attempt at a suspect server of the shard whose next trial is
  // due. Returns nothing if there is none, if no healthy server holds the
  // shard, or while the service is overloaded or sheds load.
  std::optional<ServerIndex> PlaceTrial(MonotonicTime now,
                                        const ServiceId& service,
                                        SnapshotId snapshot,
                                        ShardId shard);

  // Returns the waiters that have been woken since the last call, in ascending
  // order and each once. `Place` may be called for them again.
  std::vector<WaiterId> TakeWokenWaiters();

  void OnDispatch(MonotonicTime now, ServerIndex server);
  // Ends the reservation of an attempt that is not sent.
  void OnNotDispatched(MonotonicTime now, ServerIndex server);
  void OnReply(MonotonicTime now, ServerIndex server, Duration latency);
  // The reply carried the server's load report.
  void OnReply(MonotonicTime now,
               ServerIndex server,
               Duration latency,
               const LoadReport& report);
  void OnFailure(MonotonicTime now, ServerIndex server, AttemptFailure failure);
  // An attempt was cancelled. This does not affect the health of the server.
  void OnCancel(MonotonicTime now, ServerIndex server);
  // The server accepts no connections, so it becomes `kLost`. A later status
  // makes it usable again.
  void OnUnreachable(MonotonicTime now, ServerIndex server);
  // A new process serves the address of a server that was draining. The
  // observations of the old process are discarded.
  void OnRestarted(MonotonicTime now, ServerIndex server);
  // An attempt has been without a reply for the hedge delay.
  void OnSlowAttempt(MonotonicTime now, ServerIndex server);
  // A server refused a snapshot or a shard that it had reported. It gets no
  // attempts for them until its status reports different shards.
  void OnMissingShard(ServerIndex server, SnapshotId snapshot, ShardId shard);

  // Returns the observations and budgets of a service; null if it is unknown.
  ServiceTraffic* Traffic(const ServiceId& service);

  // Calls `body` with this fleet. `ServerTable` has the same function, which
  // holds its lock during the call.
  template <class Body>
  auto Access(Body&& body) {
    return std::forward<Body>(body)(*this);
  }

  // Queries.

  // Returns all snapshots of a service that a usable server reports, newest
  // first. Null if the service is unknown.
  SnapshotList Snapshots(const ServiceId& service) const;

  // Returns the usable servers that hold a shard of a snapshot.
  std::vector<ServerView> Candidates(MonotonicTime now,
                                     const ServiceId& service,
                                     SnapshotId snapshot,
                                     ShardId shard) const;

  bool KnowsService(const ServiceId& service) const;
  // Null if the service is unknown.
  const ServiceTraffic* Traffic(const ServiceId& service) const;

  // Returns nothing for an index that was never assigned.
  std::optional<ServerView> View(MonotonicTime now, ServerIndex server) const;
  std::optional<ServerRecord> Record(ServerIndex server) const;
  std::vector<ServerIndex> AllServers() const;
  // Returns the listed servers, as input for `StatusSchedule`.
  std::vector<StatusCandidate> StatusCandidates(MonotonicTime now) const;
  // Returns a summary of each server, for state dumps and metrics. The counts
  // of its connections are left at zero.
  std::vector<ServerSummary> Summaries(MonotonicTime now) const;

 private:
  struct Service {
    explicit Service(const TrafficSettings& settings) : traffic(settings) {}

    std::set<ServerIndex> members;
    ServiceTraffic traffic;
    WaitQueues queues;
    // Built on demand; null after a change.
    mutable SnapshotList snapshots;
  };

  struct ServerEntry {
    ServerRecord record;
    ServerState state = ServerState::kStarting;
    std::uint32_t slots = 1;
    std::uint32_t connection_limit = 1;
    // The maximum number of connections of this process to the server; 0 for no
    // limit.
    std::uint32_t max_connections = 0;
    std::uint32_t in_flight = 0;
    // Attempts that were placed and not sent yet.
    std::uint32_t reserved = 0;
    LoadReport report;
    MonotonicTime reported_at;
    MonotonicTime usable_since;
    MonotonicTime draining_since;
    // True if the platform's list contains the server.
    bool is_listed = false;
    MonotonicTime state_since;
    std::optional<AttemptFailure> last_failure;
    MonotonicTime failed_at;
    ServerHealth health;
    std::map<SnapshotId, ManifestReport> snapshots;
    Service* service = nullptr;
  };

  static bool IsUsable(const ServerEntry& entry);
  static Duration TypicalLatency(const ServerEntry& entry);

  ServerEntry& EntryOf(ServerIndex server);
  const ServerEntry* FindEntry(ServerIndex server) const;
  Service* FindService(const ServiceId& service);
  const Service* FindService(const ServiceId& service) const;
  const SnapshotView* FindSnapshot(const Service& service,
                                   SnapshotId snapshot) const;
  SnapshotList BuildSnapshots(const Service& service) const;
  ServerView ViewOf(MonotonicTime now,
                    ServerIndex index,
                    const ServerEntry& entry) const;
  // The maximum number of attempts of this process in flight at the server.
  std::uint32_t AttemptLimitOf(const ServerEntry& entry) const;
  bool IsBelowLimit(const ServerEntry& entry) const;

  // Adds or updates the entry of a listed server, and returns its index.
  ServerIndex UpsertEntry(const ServerRecord& record);
  void SetState(MonotonicTime now, ServerEntry& entry, ServerState state);
  // Discards the snapshot list of a service and wakes all its waiters.
  void InvalidateSnapshots(Service& service);
  // Wakes the first waiter of each shard of the server, if the server is usable
  // and below its limit.
  void WakeWaitersOf(const ServerEntry& entry);
  void EndAttempt(ServerEntry& entry);
  // Fills `candidates` with the usable servers that were not tried.
  void CollectCandidates(MonotonicTime now,
                         const Service& service,
                         const PlaceRequest& request);

  FleetSettings settings;
  // The entry of index i is at position i - 1.
  std::vector<ServerEntry> servers;
  std::unordered_map<BackendServerId, ServerIndex> index_by_id;
  std::unordered_map<ServiceId, Service> services;
  // Waiters that were woken since the last `TakeWokenWaiters`; may contain
  // duplicates.
  std::vector<WaiterId> woken;
  // Used only during `Place`; a member so that its memory is reused.
  std::vector<ServerView> candidates;
};

template <class ReplicaPolicyType, RandomSource Random>
Placement Fleet::Place(MonotonicTime now,
                       const PlaceRequest& request,
                       const ReplicaPolicyType& policy,
                       Random& random) {
  Service* service = this->FindService(request.service);
  if (service == nullptr) {
    return {};
  }
  this->CollectCandidates(now, *service, request);
  if (this->candidates.empty()) {
    return {};
  }
  const WaitQueues::Key key(request.snapshot, request.shard);
  const bool is_next =
      service->queues.empty() ||
      service->queues.IsNext(key, request.waiter.value_or(WaiterId()));
  const std::optional<ServerIndex> chosen =
      is_next ? policy.Choose(this->candidates, random) : std::nullopt;
  if (!chosen) {
    if (request.waiter) {
      service->queues.Add(key, *request.waiter);
    }
    return {PlaceResult::kAllAtLimit, {}};
  }
  ServerEntry& entry = this->EntryOf(*chosen);
  ++entry.reserved;
  if (request.waiter && service->queues.Remove(key, *request.waiter)) {
    this->WakeWaitersOf(entry);
  }
  return {PlaceResult::kPlaced, *chosen};
}

}  // namespace marigold

#endif  // SRC_POLICY_FLEET_H_
