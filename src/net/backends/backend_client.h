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
  // Entry VMs that share each backend server's connection limit.
  std::uint32_t entry_vms = 1;
  // A search attempt without a whole reply for this long has failed; its
  // connection is closed.
  Duration search_reply_timeout = std::chrono::seconds(2);
  // A late outcome of an action is awaited this long after its deadline, so
  // that resends can get it.
  Duration late_action_reply_timeout = std::chrono::seconds(10);
  // For the reply to a status call and for the platform's list.
  Duration status_timeout = std::chrono::seconds(1);
};

// The connections of one backend server, for dumps and metrics.
struct PoolSummary {
  ServerIndex server;
  ConnectionPoolCounts counts;
};

// The outcome of a read of the platform's VM list.
struct PlatformListResult {
  bool succeeded = false;
  // Nothing if the list is the same as at the last read.
  std::optional<PlatformList> changed_list;
};

// Sends attempts to backend servers over pooled connections. Satisfies
// `SearchTransport` and `ActionTransport`.
class BackendClient {
 public:
  BackendClient(WorkerPool& worker_pool,
                ServerTable& server_table,
                EntryMetrics& entry_metrics,
                BackendClientSettings client_settings);
  ~BackendClient();

  BackendClient(const BackendClient&) = delete;
  BackendClient& operator=(const BackendClient&) = delete;

  void Send(const SendAttempt& attempt,
            const std::string& query,
            std::function<void(AttemptOutcome)> on_outcome);

  // True if the attempt had no outcome yet; then none is reported.
  bool Cancel(const CancelAttempt& attempt);

  // Sends an action. Its connection is not given up before the deadline, and
  // an outcome may come some time after the deadline.
  void SendAction(ServerIndex server,
                  const SubAction& action,
                  MonotonicTime deadline,
                  std::function<void(ActionAttemptOutcome)> on_outcome);

  TimerHandle After(Duration delay, std::function<void()> task);
  void PostAfter(Duration delay, std::function<void()> task);

  // Asks a backend server for its status and puts it into the server table.
  void RefreshStatus(ServerIndex server);

  // Sets how the connections to a listed server are used.
  void SetPoolMode(ServerIndex server, PoolMode mode);

  // Closes the connections to a server that is no longer listed.
  void RemovePool(ServerIndex server);

  // Asks the platform for its VM list. One read at a time.
  void FetchPlatformList(const Endpoint& endpoint,
                         std::function<void(PlatformListResult)> on_read);

  std::vector<PoolSummary> Pools() const;

  struct Impl;

 private:
  std::shared_ptr<Impl> impl;
};

}  // namespace marigold

#endif  // SRC_NET_BACKENDS_BACKEND_CLIENT_H_
