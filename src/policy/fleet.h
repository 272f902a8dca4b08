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
  // Where this process runs; empty if unknown.
  DataCentreId data_centre;
  // Attempts of this process that may be at a server beyond its slots.
  std::uint32_t queue_allowance = 2;
  TrafficSettings traffic;
};

// Asks for a server for one attempt.
struct PlaceRequest {
  const ServiceId& service;
  SnapshotId snapshot;
  ShardId shard;
  // Servers that had an attempt of this shard; they get no other.
  std::span<const ServerIndex> tried;
  // Nothing for an attempt that is not worth waiting for, such as a hedged
  // one.
  std::optional<WaiterId> waiter;
};

enum class PlaceResult {
  kPlaced,
  // All servers of the shard are at their limits. A waiter was put in the
  // queue and is named by `TakeWoken` when it may ask again.
  kNoRoom,
  // No usable server is left.
  kNoServer,
};

struct Placement {
  PlaceResult result = PlaceResult::kNoServer;
  ServerIndex server;
};

// What one entry process knows of all backend servers: the platform's list,
// their own reports and what this process observed. Not synchronised; the entry
// process wraps it in a table, the benchmark uses it directly.
class Fleet {
 public:
  explicit Fleet(FleetSettings fleet_settings = {});

  // Entries point to their services.
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Commands.

  // Takes the platform's list. Servers that are gone from it are lost; the
  // entries of the others keep their observations.
  void UpdateRecords(MonotonicTime now,
                     const std::vector<ServerRecord>& records);

  // Takes a server's status.
  void UpdateStatus(MonotonicTime now,
                    ServerIndex server,
                    const StatusReport& report);

  // Takes the report that rode on a reply.
  void UpdateLoad(MonotonicTime now,
                  ServerIndex server,
                  const LoadReport& report);

  // Sets how many connections this process may have to a server; 0 removes the
  // bound.
  void UpdateConnectionPart(ServerIndex server, std::uint32_t connections);

  // Picks a server and reserves room there until `OnDispatch` or
  // `OnNotDispatched`.
  template <class Replica, RandomSource Random>
  Placement Place(MonotonicTime now,
                  const PlaceRequest& request,
                  const Replica& replica,
                  Random& random);

  // Takes a waiter out of the queue of a shard.
  void StopWaiting(const ServiceId& service,
                   SnapshotId snapshot,
                   ShardId shard,
                   WaiterId waiter);

  // A suspect server of the shard whose next trial is due, with room reserved.
  std::optional<ServerIndex> PlaceTrial(MonotonicTime now,
                                        const ServiceId& service,
                                        SnapshotId snapshot,
                                        ShardId shard);

  // The waiters that may ask again since the last call.
  std::vector<WaiterId> TakeWoken();

  void OnDispatch(MonotonicTime now, ServerIndex server);
  // The attempt for which room was reserved is not sent.
  void OnNotDispatched(MonotonicTime now, ServerIndex server);
  void OnReply(MonotonicTime now, ServerIndex server, Duration latency);
  // A reply with the server's load report.
  void OnReply(MonotonicTime now,
               ServerIndex server,
               Duration latency,
               const LoadReport& report);
  void OnFailure(MonotonicTime now, ServerIndex server, AttemptFailure failure);
  // An attempt was cancelled; it says nothing about the server.
  void OnCancel(MonotonicTime now, ServerIndex server);
  // The server accepts no connections. A later status makes it usable again.
  void OnUnreachable(MonotonicTime now, ServerIndex server);
  // Another process serves the address of a server that was draining.
  void OnRestarted(MonotonicTime now, ServerIndex server);
  // An attempt is out for so long that another server is asked.
  void OnSlow(MonotonicTime now, ServerIndex server);
  // A server refused a snapshot or a shard that it had reported.
  void OnMissingShard(ServerIndex server, SnapshotId snapshot, ShardId shard);

  // The observations and budgets of a service; null if it is unknown.
  ServiceTraffic* Traffic(const ServiceId& service);

  // Calls `body` with this fleet, as the synchronised table does.
  template <class Body>
  auto Access(Body&& body) {
    return std::forward<Body>(body)(*this);
  }

  // Queries.

  // All snapshots of a service that a usable server reports, newest first.
  // Null for an unknown service.
  SnapshotList Snapshots(const ServiceId& service) const;

  // The usable servers of a shard under a snapshot.
  std::vector<ServerView> Candidates(MonotonicTime now,
                                     const ServiceId& service,
                                     SnapshotId snapshot,
                                     ShardId shard) const;

  bool KnowsService(const ServiceId& service) const;
  // Null if the service is unknown.
  const ServiceTraffic* Traffic(const ServiceId& service) const;

  // Nothing for an index that was never given out.
  std::optional<ServerView> View(MonotonicTime now, ServerIndex server) const;
  std::optional<ServerRecord> Record(ServerIndex server) const;
  std::vector<ServerIndex> AllServers() const;
  // The listed servers, for the choice of status calls.
  std::vector<StatusCandidate> StatusCandidates(MonotonicTime now) const;
  // All servers, for dumps and metrics; without their connections.
  std::vector<ServerSummary> Summaries(MonotonicTime now) const;

 private:
  struct Service {
    explicit Service(const TrafficSettings& settings) : traffic(settings) {}

    std::set<ServerIndex> members;
    ServiceTraffic traffic;
    WaitQueues queues;
    // Built when it is asked for; null after a change.
    mutable SnapshotList snapshots;
  };

  struct Entry {
    ServerRecord record;
    ServerState state = ServerState::kStarting;
    std::uint32_t slots = 1;
    std::uint32_t connection_limit = 1;
    std::uint32_t connection_part = 0;
    std::uint32_t in_flight = 0;
    std::uint32_t reserved = 0;
    LoadReport report;
    MonotonicTime reported_at;
    MonotonicTime usable_since;
    MonotonicTime draining_since;
    // The platform's list has the server.
    bool listed = false;
    MonotonicTime state_since;
    std::optional<AttemptFailure> last_failure;
    MonotonicTime failed_at;
    ServerHealth health;
    std::map<SnapshotId, ManifestReport> snapshots;
    Service* service = nullptr;
  };

  static bool IsUsable(const Entry& entry);
  static Duration Typical(const Entry& entry);

  Entry& At(ServerIndex server);
  const Entry* Find(ServerIndex server) const;
  Service* FindService(const ServiceId& service);
  const Service* FindService(const ServiceId& service) const;
  const SnapshotView* FindSnapshot(const Service& service,
                                   SnapshotId snapshot) const;
  SnapshotList BuildSnapshots(const Service& service) const;
  ServerView ViewOf(MonotonicTime now,
                    ServerIndex index,
                    const Entry& entry) const;
  std::uint32_t LimitOf(const Entry& entry) const;
  bool HasRoom(const Entry& entry) const;

  ServerIndex Adopt(const ServerRecord& record);
  void SetState(MonotonicTime now, Entry& entry, ServerState state);
  // Drops the snapshot list of a service and wakes all who wait for it.
  void Invalidate(Service& service);
  // Wakes the first waiter of each shard of a server that has room.
  void WakeFor(const Entry& entry);
  void EndAttempt(Entry& entry);
  // Fills `candidates` with the usable servers that were not tried.
  void Collect(MonotonicTime now,
               const Service& service,
               const PlaceRequest& request);

  FleetSettings settings;
  // The entry of index i is at position i - 1.
  std::vector<Entry> servers;
  std::unordered_map<BackendServerId, ServerIndex> index_by_id;
  std::unordered_map<ServiceId, Service> services;
  std::vector<WaiterId> woken;
  // Used only during `Place`; kept to reuse its memory.
  std::vector<ServerView> candidates;
};

template <class Replica, RandomSource Random>
Placement Fleet::Place(MonotonicTime now,
                       const PlaceRequest& request,
                       const Replica& replica,
                       Random& random) {
  Service* service = this->FindService(request.service);
  if (service == nullptr) {
    return {};
  }
  this->Collect(now, *service, request);
  if (this->candidates.empty()) {
    return {};
  }
  const WaitQueues::Key key(request.snapshot, request.shard);
  const bool is_next =
      service->queues.empty() ||
      service->queues.IsNext(key, request.waiter.value_or(WaiterId()));
  const std::optional<ServerIndex> chosen =
      is_next ? replica.Choose(this->candidates, random) : std::nullopt;
  if (!chosen) {
    if (request.waiter) {
      service->queues.Add(key, *request.waiter);
    }
    return {PlaceResult::kNoRoom, {}};
  }
  Entry& entry = this->At(*chosen);
  ++entry.reserved;
  if (request.waiter && service->queues.Remove(key, *request.waiter)) {
    this->WakeFor(entry);
  }
  return {PlaceResult::kPlaced, *chosen};
}

}  // namespace marigold

#endif  // SRC_POLICY_FLEET_H_
