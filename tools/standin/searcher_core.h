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
  using Held = std::vector<SnapshotCut>;
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
                 const Held& held);
  Steps OnAction(MonotonicTime now,
                 SessionId connection,
                 const BackendAction& action,
                 const Held& held);

  // The time of a `RunWork` has passed.
  Steps OnWorkDone(MonotonicTime now, WorkId work, const Held& held);

  // Stops a search, or an action that has not begun.
  Steps OnCancel(MonotonicTime now, AttemptId attempt);
  Steps OnConnectionClosed(MonotonicTime now, SessionId connection);

  // Counts a status call and answers it.
  StatusReport OnStatus(MonotonicTime now, const Held& held);

  // Someone has seen that the server leaves; the first time counts.
  void OnLeavingSign(MonotonicTime now);
  void ClearLeavingSign() { this->sign.reset(); }

  void SetBehaviour(const SearcherBehaviour& new_behaviour);

  void CountOpenConnections(std::size_t open, bool refused);

  // Queries.

  const SearcherPlace& place() const { return this->searcher_place; }
  const SearcherBehaviour& behaviour() const { return this->current; }
  const SearcherCounters& counters() const { return this->counts; }
  bool is_up() const { return this->up; }
  std::optional<MonotonicTime> leaving_since() const { return this->sign; }

 private:
  using Request = std::variant<SubRequest, BackendAction>;

  struct Work {
    AttemptId attempt() const;

    SessionId connection;
    Request request;
    MonotonicTime deadline;
    // Of a search: as the snapshot was cut when the search was taken.
    SnapshotCut cut;
    // Of an action that runs: the number of the execution on this server.
    std::uint64_t run = 0;
  };

  Steps Take(MonotonicTime now,
             SessionId connection,
             Request request,
             const Held& held);
  std::optional<AttemptFailure> WhyRefuse(MonotonicTime now,
                                          const Request& request,
                                          const Held& held);
  bool Carries(const SnapshotCut& cut, ShardId shard) const;
  void Begin(MonotonicTime now, WorkId work, Steps& steps);
  void BeginQueued(MonotonicTime now, Steps& steps);
  static void AddReply(SessionId connection,
                       ReplyBody body,
                       Steps& steps,
                       ReplyFault fault = ReplyFault::kNone,
                       Duration delay = {});
  void Refuse(SessionId connection,
              AttemptId attempt,
              AttemptFailure failure,
              Steps& steps);
  void StopEarly(MonotonicTime now,
                 std::map<WorkId, Work>::iterator position,
                 bool reply,
                 Steps& steps);
  void Reply(MonotonicTime now,
             const Work& work,
             const Held& held,
             Steps& steps);
  ReplyBody MakeReply(MonotonicTime now,
                      const Work& work,
                      ReplyFault fault,
                      const Held& held) const;
  LoadReport Report(MonotonicTime now, const Held& held) const;
  void NoteLoad(MonotonicTime now);
  void CountArrival(MonotonicTime now, std::uint64_t& late);

  SearcherPlace searcher_place;
  SearcherBehaviour current;
  SeededRandom random;
  WorkQueue queue;
  LoadHistory history;
  SearcherCounters counts;
  std::map<WorkId, Work> works;
  WorkId last_work;
  // Of the last request, for replies that carry another attempt's id.
  AttemptId last_attempt;
  MonotonicTime started;
  std::optional<MonotonicTime> sign;
  bool up = false;
};

}  // namespace marigold

#endif  // TOOLS_STANDIN_SEARCHER_CORE_H_
