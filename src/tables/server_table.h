#ifndef SRC_TABLES_SERVER_TABLE_H_
#define SRC_TABLES_SERVER_TABLE_H_

#include <atomic>
#include <functional>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "src/core/ranked_mutex.h"
#include "src/policy/fleet.h"

namespace marigold {

// The backend servers as one entry process knows them, shared by all workers.
// Every call takes the table's lock and does no I/O. Calls that may free room
// at a server then call the waiters that may use it, without the lock.
class ServerTable {
 public:
  explicit ServerTable(FleetSettings settings = {});

  // Commands.

  // Runs `body` on the fleet under the lock. Waiters that become ready are
  // called by the next call of `CallReadyWaiters`, or of a command below.
  template <class Body>
  void Access(Body&& body) {
    const RankedLock lock(this->mutex);
    std::forward<Body>(body)(this->fleet);
  }

  // Registers what to call when a waiting search may ask for room again.
  void AddWaiter(WaiterId waiter, std::function<void()> on_ready);
  void RemoveWaiter(WaiterId waiter);

  // Calls the waiters that became ready. The caller holds no lock.
  void CallReadyWaiters();

  void UpdateRecords(MonotonicTime now,
                     const std::vector<ServerRecord>& records);
  void UpdateStatus(MonotonicTime now,
                    ServerIndex server,
                    const StatusReport& report);

  // Counts an attempt in flight for which room was reserved. False if the
  // server takes no new work; then nothing is counted and nothing may be sent.
  bool TryDispatch(MonotonicTime now, ServerIndex server);

  // Ends an attempt that `TryDispatch` counted.
  void OnReply(MonotonicTime now,
               ServerIndex server,
               Duration latency,
               const LoadReport& load);
  void OnFailure(MonotonicTime now, ServerIndex server, AttemptFailure failure);
  void OnCancel(MonotonicTime now, ServerIndex server);

  // The server accepts no connections.
  void OnUnreachable(MonotonicTime now, ServerIndex server);
  // Another process serves the address of a server that was draining.
  void OnRestarted(MonotonicTime now, ServerIndex server);
  void UpdateConnectionPart(ServerIndex server, std::uint32_t connections);

  // Begins at a random number, so that the attempts of two entry processes
  // differ and neither cancels an attempt of the other.
  AttemptId NextAttempt();

  // Queries.

  bool KnowsService(const ServiceId& service) const;
  Congestion CongestionOf(const ServiceId& service) const;
  SnapshotList Snapshots(const ServiceId& service) const;
  std::vector<ServerView> Candidates(MonotonicTime now,
                                     const ServiceId& service,
                                     SnapshotId snapshot,
                                     ShardId shard) const;
  std::optional<ServerRecord> Record(ServerIndex server) const;
  std::vector<ServerIndex> AllServers() const;
  std::vector<StatusCandidate> StatusCandidates(MonotonicTime now) const;
  std::vector<ServerSummary> Summaries(MonotonicTime now) const;
  std::optional<ServerView> View(MonotonicTime now, ServerIndex server) const;

 private:
  mutable RankedMutex<LockRank::kServerTable> mutex;
  Fleet fleet;
  std::unordered_map<WaiterId, std::function<void()>> waiters;
  std::atomic<std::uint64_t> last_attempt_id;
};

}  // namespace marigold

#endif  // SRC_TABLES_SERVER_TABLE_H_
