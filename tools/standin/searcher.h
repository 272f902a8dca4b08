#ifndef TOOLS_STANDIN_SEARCHER_H_
#define TOOLS_STANDIN_SEARCHER_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/core/clock.h"
#include "src/core/ranked_mutex.h"
#include "src/core/result.h"
#include "src/net/worker_pool.h"
#include "tools/standin/action_record.h"
#include "tools/standin/backend_session.h"
#include "tools/standin/platform_table.h"
#include "tools/standin/searcher_core.h"
#include "tools/tcp/tcp_listener.h"

namespace marigold {

// A copy of a searcher's state for queries and admin commands.
struct SearcherView {
  SearcherPlace place;
  SearcherBehaviour behaviour;
  SearcherCounters counters;
  std::uint64_t open_connections = 0;
  bool is_up = false;
  // When a client first learned that the server leaves. Absent while it stays.
  std::optional<MonotonicTime> leaving_since;
};

// One simulated backend server: a `SearcherCore` that serves a listening
// address. Safe to use from several threads.
class Searcher : public std::enable_shared_from_this<Searcher> {
 public:
  Searcher(WorkerPool& worker_pool,
           PlatformTable& platform_table,
           ActionRecord& run_record,
           SearcherPlace place,
           SearcherBehaviour behaviour,
           std::uint64_t seed);

  // Commands.

  // Listens and starts to serve. Does nothing if it already serves. Fails with
  // `IoError` if the address can't be opened.
  Result<void> Start();

  // Refuses connections, resets the open ones and drops all work without a
  // reply, as a crash would.
  void Kill();

  // Makes the open connections silent: nothing more is sent on them, and they
  // stay open.
  void SilenceConnections();

  // Makes the open connections silent, and those that are accepted until
  // `Thaw`.
  void Freeze();
  void Thaw();

  // Closes the open connections with a TCP reset.
  void ResetConnections();

  void ChangeBehaviour(const std::function<void(SearcherBehaviour&)>& change);

  // Call when the platform's VM list has shown a client that the server leaves.
  void OnShownAsLeaving();

  // Call when the server no longer leaves.
  void OnLeavingCancelled();

  // Queries.

  SearcherView View() const;
  const ServerRecord& record() const { return this->searcher_place.record; }

 private:
  using SessionPtr = std::shared_ptr<BackendSession>;

  // A reply and its connection.
  struct Delivery {
    SessionPtr session;
    SendReply reply;
  };

  // Steps that run after the lock is released.
  struct DeferredSteps {
    std::vector<RunAction> actions;
    std::vector<Delivery> deliveries;
  };

  void OnAccept(std::shared_ptr<TcpStream> stream);
  void OnRequest(SessionId connection, const TextRequest& request);
  void OnClosed(SessionId connection);
  void OnStatus(SessionId connection);
  void OnCancel(SessionId connection, const TextRequest& request);
  void OnWorkDone(WorkId work);
  void SendResponse(SessionId connection, int status, std::string body);

  // Passes an event to the core under the lock and runs the steps that the core
  // returns.
  template <class Event>
  void ApplyEvent(Event event);
  void ApplySteps(SearcherCore::Steps steps, DeferredSteps& deferred);
  void SetWorkTimer(WorkId work, Duration time);
  void RecordAndRun(const RunAction& action);
  void Deliver(const Delivery& delivery);
  std::vector<SnapshotLayout> HeldSnapshots(MonotonicTime now) const;
  std::vector<SessionPtr> OpenSessions() const;

  WorkerPool& pool;
  PlatformTable& platform;
  ActionRecord& action_record;
  SystemClock clock;
  const SearcherPlace searcher_place;
  std::atomic<Duration> snapshot_delay;

  mutable RankedMutex<LockRank::kStandinSearcher> mutex;
  SearcherCore core;
  std::unique_ptr<TcpListener> listener;
  std::map<SessionId, SessionPtr> sessions;
  std::unordered_map<WorkId, TimerHandle> timers;
  SessionId last_connection;
  bool frozen = false;
};

}  // namespace marigold

#endif  // TOOLS_STANDIN_SEARCHER_H_
