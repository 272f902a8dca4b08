#ifndef TOOLS_STANDIN_SEARCHER_CORE_H_
#define TOOLS_STANDIN_SEARCHER_CORE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "src/core/random.h"
#include "tools/standin/searcher_types.h"
#include "tools/standin/snapshot_schedule.h"
#include "tools/standin/topology.h"

namespace marigold {

// The decisions of one searcher. It does no I/O and takes no lock: each command
// returns steps, which the caller runs in order. The caller passes the
// snapshots that the searcher holds at `now`: at least one, oldest first.
class SearcherCore {
 public:
  using HeldSnapshots = std::vector<SnapshotLayout>;
  using Steps = std::vector<SearcherStep>;

  SearcherCore(SearcherPlace searcher_place,
               const SearcherBehaviour& initial_behaviour,
               std::uint64_t seed);

  // Commands.

  // Starts the server, for the first time or after `Stop`.
  void Start(MonotonicTime now);

  // Stops the server and drops all its work without a reply.
  Steps Stop(MonotonicTime now);

  // Starts, queues or refuses a request.
  Steps OnSearch(MonotonicTime now,
                 SessionId connection,
                 const SubRequest& request,
                 const HeldSnapshots& held);
  Steps OnAction(MonotonicTime now,
                 SessionId connection,
                 const BackendAction& action,
                 const HeldSnapshots& held);

  // Call when the time of a `RunWork` or `RunAction` has passed. Replies, and
  // starts queued work. Does nothing if the work has been stopped.
  Steps OnWorkDone(MonotonicTime now, WorkId work, const HeldSnapshots& held);

  // Stop the searches of the attempt or connection, and its queued actions. A
  // running action continues. `OnCancel` replies, `OnConnectionClosed` does
  // not.
  Steps OnCancel(MonotonicTime now, AttemptId attempt);
  Steps OnConnectionClosed(MonotonicTime now, SessionId connection);

  // Counts a status request and returns its reply.
  StatusReport OnStatus(MonotonicTime now, const HeldSnapshots& held);

  // Call when a client has learned that the server leaves. The grace period
  // starts with the first call.
  void OnLeavingNotice(MonotonicTime now);
  void ClearLeavingNotice() { this->first_leaving_notice.reset(); }

  // Applies from the next event on. The end of draining also ends the grace
  // period.
  void SetBehaviour(const SearcherBehaviour& new_behaviour);

  // Counts an accepted connection. `open` is the number of open connections.
  // `refused` is true if the connection limit or a stopped server refused it.
  void CountOpenConnections(std::size_t open, bool refused);

  // Queries.

  const SearcherPlace& place() const { return this->searcher_place; }
  const SearcherBehaviour& behaviour() const { return this->current_behaviour; }
  const SearcherCounters& counters() const { return this->counts; }
  bool is_up() const { return this->up; }
  std::optional<MonotonicTime> leaving_since() const {
    return this->first_leaving_notice;
  }

 private:
  using Request = std::variant<SubRequest, BackendAction>;

  struct Work {
    AttemptId attempt() const;

    SessionId connection;
    Request request;
    MonotonicTime deadline;
    // For a search: the snapshot as it was when the search was accepted.
    SnapshotLayout layout;
    // For a running action: the number of its execution on this server, from 1.
    std::uint64_t execution_number = 0;
  };

  Steps AcceptRequest(MonotonicTime now,
                      SessionId connection,
                      Request request,
                      const HeldSnapshots& held);
  std::optional<AttemptFailure> FindRefusal(MonotonicTime now,
                                            const Request& request,
                                            const HeldSnapshots& held);
  bool HoldsShard(const SnapshotLayout& layout, ShardId shard) const;
  void StartWork(MonotonicTime now, WorkId work, Steps& steps);
  void StartQueuedWork(MonotonicTime now, Steps& steps);
  static void AddReply(SessionId connection,
                       ReplyBody body,
                       Steps& steps,
                       ReplyFault fault = ReplyFault::kNone,
                       Duration delay = {});
  void Refuse(SessionId connection,
              AttemptId attempt,
              AttemptFailure failure,
              Steps& steps);
  void AbandonWork(MonotonicTime now,
                   std::map<WorkId, Work>::iterator position,
                   bool send_reply,
                   Steps& steps);
  void Reply(MonotonicTime now,
             const Work& work,
             const HeldSnapshots& held,
             Steps& steps);
  ReplyBody MakeReply(MonotonicTime now,
                      const Work& work,
                      ReplyFault fault,
                      const HeldSnapshots& held) const;
  LoadReport Report(MonotonicTime now, const HeldSnapshots& held) const;
  void RecordLoad(MonotonicTime now);
  void CountArrival(MonotonicTime now, std::uint64_t& late);

  SearcherPlace searcher_place;
  SearcherBehaviour current_behaviour;
  SeededRandom random;
  WorkQueue queue;
  LoadHistory history;
  SearcherCounters counts;
  std::map<WorkId, Work> work_by_id;
  WorkId last_work;
  // The attempt of the last reply, for `ReplyFault::kForeign`.
  AttemptId last_attempt;
  MonotonicTime started;
  std::optional<MonotonicTime> first_leaving_notice;
  bool up = false;
};

}  // namespace marigold

#endif  // TOOLS_STANDIN_SEARCHER_CORE_H_
