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
  // For the reply to a probe or a cancellation.
  Duration probe_timeout = std::chrono::milliseconds(500);
};

// Why an exchange has no acceptable response: `kNotSent`, `kNotBegun`,
// `kConnectionLost`, `kTimeout`, `kSilent` or `kBadReply`.
using PoolOutcome = std::variant<HttpResponse, AttemptFailure>;

struct PoolRequest {
  AttemptId exchange;
  HttpMethod method = HttpMethod::kPost;
  std::string path;
  // Called when the exchange begins, as a body may state the time left.
  std::function<std::string(MonotonicTime)> encode;
  // Says whether a response belongs to this request. A connection whose
  // response does not is closed.
  std::function<bool(const HttpResponse&)> accepts;
  // Called exactly once, unless the exchange is cancelled.
  std::function<void(PoolOutcome)> on_outcome;
  // The exchange fails as not sent if it can't begin before this.
  MonotonicTime begin_before;
  // From the beginning to the whole response.
  Duration reply_timeout{};
  bool is_probe = false;
};

// What a pool learns of its server apart from exchanges. The functions run on
// any worker.
struct BackendPoolEvents {
  // The response to a status call of the pool's own.
  std::function<void(const HttpResponse&)> on_status;
  // The server refused a connection, or no connection is left and none can be
  // opened.
  std::function<void()> on_unreachable;
  // Another process serves the address of a server that was draining.
  std::function<void()> on_restarted;
};

// The connections to one backend server. The decisions are those of
// `ConnectionPool`; this class carries out its steps one at a time and in
// order, outside the lock.
class BackendPool : public std::enable_shared_from_this<BackendPool> {
 public:
  BackendPool(WorkerPool& worker_pool,
              Endpoint remote,
              const BackendPoolSettings& pool_settings,
              BackendPoolEvents pool_events);

  BackendPool(const BackendPool&) = delete;
  BackendPool& operator=(const BackendPool&) = delete;

  // Begins an exchange on a free connection, or queues it. The outcome may be
  // reported before this returns.
  void Send(PoolRequest request);

  // True if the exchange had no outcome yet; then none is reported.
  bool Cancel(AttemptId exchange);

  void SetConnectionLimit(std::uint32_t max_connections);
  void SetMode(PoolMode mode);

  const Endpoint& endpoint() const { return this->remote_endpoint; }
  ConnectionPoolCounts Counts() const;

 private:
  using ConnectionPtr = std::shared_ptr<HttpConnection>;

  using Event =
      std::function<ConnectionPool::Steps(ConnectionPool&, MonotonicTime)>;

  // Applies one event and carries out the steps in order, unless another worker
  // is already doing so; then that worker carries them out.
  void ApplyEvent(const Event& event);
  // False if there was nothing to carry out.
  bool RunPendingSteps();
  // Sets the timer if it has to fire earlier than it is set for. False if this
  // ended the turn of the calling worker.
  bool SetTimer();
  void OnTimer();

  void RunStep(const OpenConnection& step);
  void RunStep(const BeginExchange& step);
  void RunStep(const BeginProbe& step);
  void RunStep(const BeginCancel& step);
  void RunStep(const CloseConnection& step);
  void RunStep(const FailExchange& step);
  void RunStep(const ReportRestart& step);

  // An exchange of the pool's own.
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
  // Takes all of a request but its `on_outcome`.
  std::optional<PoolRequest> TakeRequestContent(AttemptId exchange);
  std::optional<PoolRequest> TakeRequest(AttemptId exchange);

  WorkerPool& pool;
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
  // Used only by the worker that carries out steps.
  TimerHandle timer;
};

}  // namespace marigold

#endif  // SRC_NET_BACKENDS_BACKEND_POOL_H_
