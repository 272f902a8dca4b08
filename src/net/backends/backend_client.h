#ifndef SRC_NET_BACKENDS_BACKEND_CLIENT_H_
#define SRC_NET_BACKENDS_BACKEND_CLIENT_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/net/backends/backend_pool.h"
#include "src/net/worker_pool.h"
#include "src/policy/backend_messages.h"
#include "src/tables/entry_metrics.h"
#include "src/tables/server_table.h"

namespace marigold {

struct BackendClientSettings {
  BackendPoolSettings pools;
  // Number of entry VMs that share each backend server's connection limit.
  std::uint32_t entry_vms = 1;
  // A search attempt fails, and its connection is closed, if the whole reply
  // has not arrived within this time.
  Duration search_reply_timeout = std::chrono::seconds(2);
  // How long after its deadline an action still waits for a reply, so that a
  // caller that resends the action can get its outcome.
  Duration late_action_reply_timeout = std::chrono::seconds(10);
  // Timeout of a status call and of a read of the platform's VM list.
  Duration status_timeout = std::chrono::seconds(1);
};

// The connection counts of one backend server, for state dumps and metrics.
struct PoolSummary {
  ServerIndex server;
  ConnectionPoolCounts counts;
};

// The result of one read of the platform's VM list.
struct PlatformVmListResult {
  bool succeeded = false;
  // Empty if the read failed or the list is the same as at the last read.
  std::optional<PlatformVmList> changed_list;
};

// Sends search and action attempts to backend servers over pooled connections.
// Satisfies `SearchTransport` and `ActionTransport`.
class BackendClient {
 public:
  BackendClient(WorkerPool& worker_pool,
                ServerTable& server_table,
                EntryMetrics& entry_metrics,
                BackendClientSettings client_settings);
  ~BackendClient();

  BackendClient(const BackendClient&) = delete;
  BackendClient& operator=(const BackendClient&) = delete;

  // Sends a search attempt. `on_outcome` is called exactly once, unless the
  // attempt is cancelled.
  void Send(const SendAttempt& attempt,
            const std::string& query,
            std::function<void(AttemptOutcome)> on_outcome);

  // Returns true if the attempt had no outcome yet. In that case `on_outcome`
  // is never called.
  bool Cancel(const CancelAttempt& attempt);

  // Sends an action. The connection is kept until the deadline plus
  // `late_action_reply_timeout`, so the outcome may be reported after the
  // deadline.
  void SendAction(ServerIndex server,
                  const BackendAction& action,
                  MonotonicTime deadline,
                  std::function<void(ActionAttemptOutcome)> on_outcome);

  TimerHandle After(Duration delay, std::function<void()> task);
  void PostAfter(Duration delay, std::function<void()> task);

  // Requests the status of a backend server and stores it in the server table.
  // Does nothing if the server is not listed.
  void RefreshStatus(ServerIndex server);

  // Sets how the connections to a listed server are used. Replaces the pool if
  // the server's address has changed.
  void SetPoolMode(ServerIndex server, PoolMode mode);

  // Closes the connections to a server that is no longer listed and removes
  // their pool.
  void RemovePool(ServerIndex server);

  // Reads the platform's VM list. The caller starts the next read only after
  // `on_read` was called.
  void FetchPlatformVmList(const Endpoint& endpoint,
                           std::function<void(PlatformVmListResult)> on_read);

  std::vector<PoolSummary> PoolSummaries() const;

  struct Impl;

 private:
  std::shared_ptr<Impl> impl;
};

}  // namespace marigold

#endif  // SRC_NET_BACKENDS_BACKEND_CLIENT_H_
