#ifndef SRC_NET_BACKENDS_BACKEND_POOL_H_
#define SRC_NET_BACKENDS_BACKEND_POOL_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "src/core/clock.h"
#include "src/core/ids.h"
#include "src/core/ranked_mutex.h"
#include "src/net/http/http_client.h"
#include "src/net/worker_pool.h"
#include "src/policy/connection_pool.h"
#include "src/policy/search_types.h"

namespace marigold {

struct BackendPoolSettings {
  ConnectionPoolSettings pool;
  Duration connect_timeout = std::chrono::milliseconds(500);
  // Timeout of a probe or cancellation, from sending to the whole response.
  Duration probe_timeout = std::chrono::milliseconds(500);
};

// Why an exchange has no acceptable response: `kNotSent`, `kNotBegun`,
// `kConnectionLost`, `kTimeout`, `kSilent` or `kBadReply`.
using PoolOutcome = std::variant<HttpResponse, AttemptFailure>;

struct PoolRequest {
  AttemptId exchange;
  HttpMethod method = HttpMethod::kPost;
  std::string path;
  // Encodes the body. Called when the exchange begins, because the body may
  // state the time left until the deadline.
  std::function<std::string(MonotonicTime)> encode;
  // Returns true if a response belongs to this request. Otherwise the exchange
  // fails with `kBadReply` and the connection is closed.
  std::function<bool(const HttpResponse&)> accepts;
  // Called exactly once, unless the exchange is cancelled.
  std::function<void(PoolOutcome)> on_outcome;
  // The exchange fails with `kNotBegun` if it can't begin before this time.
  MonotonicTime begin_before;
  // Time limit from the beginning of the exchange to the whole response.
  Duration reply_timeout{};
  bool is_probe = false;
};

// Callbacks for events of a server other than outcomes of exchanges. They may
// run on any worker thread.
struct BackendPoolEvents {
  // Receives the response to a status call that the pool itself sent.
  std::function<void(const HttpResponse&)> on_status;
  // Called when the server refused a connection, or when no connection is left
  // and none can be opened.
  std::function<void()> on_unreachable;
  // Called when a new process serves the address of a server that was draining.
  std::function<void()> on_restarted;
};

// The connections to one backend server. `ConnectionPool` makes all decisions.
// This class runs the steps that it returns, one at a time and in order,
// outside the lock.
class BackendPool : public std::enable_shared_from_this<BackendPool> {
 public:
  BackendPool(WorkerPool& worker_pool,
              Endpoint remote,
              const BackendPoolSettings& pool_settings,
              BackendPoolEvents pool_events);

  BackendPool(const BackendPool&) = delete;
  BackendPool& operator=(const BackendPool&) = delete;

  // Begins an exchange on a free connection, or queues it. The outcome may be
  // reported before `Send` returns.
  void Send(PoolRequest request);

  // Returns true if the exchange had no outcome yet. In that case `on_outcome`
  // is never called.
  bool Cancel(AttemptId exchange);

  void SetConnectionLimit(std::uint32_t max_connections);
  void SetMode(PoolMode mode);

  const Endpoint& endpoint() const { return this->remote_endpoint; }
  ConnectionPoolCounts Counts() const;

 private:
  using ConnectionPtr = std::shared_ptr<HttpConnection>;

  using Event =
      std::function<ConnectionPool::Steps(ConnectionPool&, MonotonicTime)>;

  // Applies one event to the pool state and runs the resulting steps in order.
  // If another worker thread is already running steps, that thread runs these
  // steps as well.
  void ApplyEvent(const Event& event);
  // Returns false if no step was pending.
  bool RunPendingSteps();
  // Sets the timer again if it has to fire earlier than it is set for. Returns
  // false if the calling thread has stopped running steps, and true if it must
  // check for pending steps again.
  bool SetTimer();
  void OnTimer();

  void RunStep(const OpenConnection& step);
  void RunStep(const BeginExchange& step);
  void RunStep(const BeginProbe& step);
  void RunStep(const BeginCancel& step);
  void RunStep(const CloseConnection& step);
  void RunStep(const FailExchange& step);
  void RunStep(const ReportRestart& step);

  // Begins an exchange that the pool itself needs: a status probe or a
  // cancellation.
  void BeginPoolExchange(PooledConnectionId connection,
                         HttpMethod method,
                         std::string_view path,
                         std::string body,
                         std::function<void(const HttpResponse&)> on_response);
  void OnConnectEnded(PooledConnectionId connection, bool connected);
  void OnIdleClosed(PooledConnectionId connection);
  void OnOutcome(const BeginExchange& step,
                 const HttpConnection& connection,
                 const std::function<bool(const HttpResponse&)>& accepts,
                 ExchangeOutcome outcome);
  void OnExchangeEnded(PooledConnectionId connection, ExchangeEnd end);

  ConnectionPtr FindConnection(PooledConnectionId connection) const;
  ConnectionPtr TakeConnection(PooledConnectionId connection);
  // Moves the content of a request out of `requests`. The entry stays there and
  // keeps its `on_outcome`.
  std::optional<PoolRequest> TakeRequestContent(AttemptId exchange);
  std::optional<PoolRequest> TakeRequest(AttemptId exchange);

  WorkerPool& workers;
  Endpoint remote_endpoint;
  BackendPoolSettings settings;
  BackendPoolEvents events;
  SystemClock clock;
  mutable RankedMutex<LockRank::kConnections> mutex;
  ConnectionPool connection_pool;
  std::map<PooledConnectionId, ConnectionPtr> connections;
  std::unordered_map<AttemptId, PoolRequest> requests;
  std::vector<PoolStep> pending_steps;
  bool is_running_steps = false;
  MonotonicTime timer_due_at = MonotonicTime::max();
  // Used only by the thread that runs steps.
  TimerHandle timer;
};

}  // namespace marigold

#endif  // SRC_NET_BACKENDS_BACKEND_POOL_H_
