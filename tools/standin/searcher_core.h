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

// What one searcher does with requests. It decides and does no I/O: the driver
// carries out the steps in order. Snapshots come as an argument, oldest first.
class SearcherCore {
 public:
  using HeldSnapshots = std::vector<SnapshotLayout>;
  using Steps = std::vector<SearcherStep>;

  SearcherCore(SearcherPlace searcher_place,
               const SearcherBehaviour& initial_behaviour,
               std::uint64_t seed);

  // Commands.

  // The server starts, or returns after `Stop`.
  void Start(MonotonicTime now);

  // The server dies; all its work is dropped without a reply.
  Steps Stop(MonotonicTime now);

  Steps OnSearch(MonotonicTime now,
                 SessionId connection,
                 const SubRequest& request,
                 const HeldSnapshots& held);
  Steps OnAction(MonotonicTime now,
                 SessionId connection,
                 const BackendAction& action,
                 const HeldSnapshots& held);

  // The time of a `RunWork` has passed.
  Steps OnWorkDone(MonotonicTime now, WorkId work, const HeldSnapshots& held);

  // Stops a search, or an action that has not begun.
  Steps OnCancel(MonotonicTime now, AttemptId attempt);
  Steps OnConnectionClosed(MonotonicTime now, SessionId connection);

  // Counts a status call and answers it.
  StatusReport OnStatus(MonotonicTime now, const HeldSnapshots& held);

  // Someone has seen that the server leaves; the first time counts.
  void OnLeavingNotice(MonotonicTime now);
  void ClearLeavingNotice() { this->first_leaving_notice.reset(); }

  void SetBehaviour(const SearcherBehaviour& new_behaviour);

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
    // Of a search: as the snapshot was cut when the search was taken.
    SnapshotLayout layout;
    // Of an action that runs: the number of the execution on this server.
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
  // Of the last request, for replies that carry another attempt's id.
  AttemptId last_attempt;
  MonotonicTime started;
  std::optional<MonotonicTime> first_leaving_notice;
  bool up = false;
};

}  // namespace marigold

#endif  // TOOLS_STANDIN_SEARCHER_CORE_H_
