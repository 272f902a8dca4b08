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
// Every call takes the table's lock and does no I/O. Calls that may free
// capacity at a server then call the waiters that may use it, after the lock is
// released.
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

  // Registers the callback of a waiting search. It runs when the search may ask
  // for capacity again.
  void AddWaiter(WaiterId waiter, std::function<void()> on_ready);
  void RemoveWaiter(WaiterId waiter);

  // Calls the waiters that became ready. Must be called without any lock.
  void CallReadyWaiters();

  void UpdateRecords(MonotonicTime now,
                     const std::vector<ServerRecord>& records);
  void UpdateStatus(MonotonicTime now,
                    ServerIndex server,
                    const StatusReport& report);

  // Counts an attempt as in flight. Its capacity must have been reserved
  // before. Returns false if the server takes no new work. The attempt is not
  // counted then and must not be sent.
  bool TryDispatch(MonotonicTime now, ServerIndex server);

  // Each of these ends an attempt that `TryDispatch` counted.
  void OnReply(MonotonicTime now,
               ServerIndex server,
               Duration latency,
               const LoadReport& load);
  void OnFailure(MonotonicTime now, ServerIndex server, AttemptFailure failure);
  void OnCancel(MonotonicTime now, ServerIndex server);

  // Reports that the server accepts no connections.
  void OnUnreachable(MonotonicTime now, ServerIndex server);
  // Reports that another process serves the address of a server that was
  // draining.
  void OnRestarted(MonotonicTime now, ServerIndex server);
  // Sets how many connections this process may have to a server; 0 removes the
  // limit.
  void UpdateConnectionPart(ServerIndex server, std::uint32_t connections);

  // Returns a new attempt id. The ids start at a random number, so that two
  // entry processes have different ids and do not cancel each other's attempts.
  AttemptId NextAttempt();

  // Queries.

  // These calls return the result of the function of `Fleet` with the same
  // name, except for `CongestionOf`.
  bool KnowsService(const ServiceId& service) const;
  // `kNone` for an unknown service.
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
