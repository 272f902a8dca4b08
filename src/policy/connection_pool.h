#ifndef SRC_POLICY_CONNECTION_POOL_H_
#define SRC_POLICY_CONNECTION_POOL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <variant>
#include <vector>

#include "src/core/ids.h"
#include "src/core/random.h"
#include "src/core/units.h"
#include "src/policy/search_types.h"

namespace marigold {

// Identifies one connection of a pool. Ids are never reused.
using PooledConnectionId = detail::NumericId<struct PooledConnectionTag>;

struct ConnectionPoolSettings {
  // This entry VM's share of the backend server's connection limit.
  std::uint32_t max_connections = 1;
  // The number of connections that stay open while they are idle.
  std::uint32_t warm_connections = 2;
  // An idle connection is probed this long after its last use.
  Duration probe_interval = std::chrono::seconds(30);
  // A connection is closed if the reply to an abandoned exchange does not
  // arrive within this time.
  Duration abandon_timeout = std::chrono::milliseconds(100);
  // The wait after the first failed connect. It doubles with every further
  // failure, up to `max_backoff`.
  Duration min_backoff = std::chrono::milliseconds(100);
  Duration max_backoff = std::chrono::seconds(2);
};

// The input of `ConnectionPool::Submit`. An exchange is one request to the
// server and its reply, both on the same connection.
struct ExchangeRequest {
  AttemptId exchange;
  // The exchange fails as `kNotBegun` if no connection is free before this
  // time.
  MonotonicTime begin_before;
  // True for a status call. It is sent on the connection that was idle longest,
  // and so verifies that this connection works. Other exchanges use the
  // connection that was used last.
  bool is_status_call = false;
};

// The steps that a `ConnectionPool` returns for its driver to carry out.
struct OpenConnection {
  PooledConnectionId connection;
};
struct BeginExchange {
  PooledConnectionId connection;
  AttemptId exchange;
};
// Sends a status call for the pool itself, to verify that the connection works.
struct BeginProbe {
  PooledConnectionId connection;
};
// Tells the server that `exchange` was cancelled.
struct BeginCancel {
  PooledConnectionId connection;
  AttemptId exchange;
};
struct CloseConnection {
  PooledConnectionId connection;
};
// Fails an exchange of which no byte was sent. The failure is `kNotSent` if the
// server cannot be reached or gets no new work, and `kNotBegun` if no
// connection was free in time.
struct FailExchange {
  AttemptId exchange;
  AttemptFailure failure = AttemptFailure::kNotSent;
};
// Reports that a watched server has restarted: it refused connections and
// accepts them again, so a new process serves its address.
struct ReportRestart {};

using PoolStep = std::variant<OpenConnection,
                              BeginExchange,
                              BeginProbe,
                              BeginCancel,
                              CloseConnection,
                              FailExchange,
                              ReportRestart>;

enum class PoolMode {
  // Exchanges are accepted.
  kActive,
  // For a server that reported that it is draining. Exchanges are refused. One
  // connection stays open without traffic to detect a restart, which returns
  // the pool to `kActive`.
  kWatching,
  // For a server that is listed as leaving or is not listed. Exchanges are
  // refused, idle connections are closed and none are opened.
  kRetired,
};

// How the use of a connection by an exchange, a probe or a cancellation ended.
enum class ExchangeEnd {
  // The complete reply was read, and the connection stays open.
  kReplied,
  // The complete reply was read, and the connection is closed.
  kRepliedAndClosed,
  // Nothing was written, and the connection stays open.
  kUnused,
  // The connection failed.
  kBroken,
  // No byte arrived within the reply timeout, and the connection is closed.
  kSilent,
};

// The number of connections in each state and of waiting exchanges, for state
// dumps and metrics.
struct ConnectionPoolCounts {
  std::uint32_t connecting = 0;
  std::uint32_t idle = 0;
  std::uint32_t busy = 0;
  std::uint32_t abandoned = 0;
  std::uint32_t waiting = 0;
};

// Manages the connections to one backend server. It performs no I/O: the driver
// passes events in and carries out the returned steps in order. A connection
// carries one exchange at a time and is used again only after the complete
// reply was read, so that no reply reaches another exchange. Not synchronised.
class ConnectionPool {
 public:
  using Steps = std::vector<PoolStep>;

  ConnectionPool(ConnectionPoolSettings pool_settings, std::uint64_t seed);

  // Commands.

  // Sets the maximum number of connections. 0 counts as 1.
  Steps SetConnectionLimit(MonotonicTime now, std::uint32_t max_connections);

  // Begins the exchange, or queues it in order of arrival. Fails it at once
  // unless the mode is `kActive`.
  Steps Submit(MonotonicTime now, const ExchangeRequest& request);

  // Removes a waiting exchange from the queue. Abandons an exchange in flight:
  // sends the server a cancellation over an idle connection, or closes the
  // connection of the exchange if no other one is idle.
  Steps Cancel(MonotonicTime now, AttemptId exchange);

  // Fails the waiting exchanges unless the new mode is `kActive`. Exchanges in
  // flight continue in every mode.
  Steps SetMode(MonotonicTime now, PoolMode new_mode);

  Steps OnConnected(MonotonicTime now, PooledConnectionId connection);
  // `was_refused` is true if the connection was refused because no process
  // was listening.
  Steps OnConnectFailed(MonotonicTime now,
                        PooledConnectionId connection,
                        bool was_refused);
  Steps OnExchangeEnded(MonotonicTime now,
                        PooledConnectionId connection,
                        ExchangeEnd end);
  // The server closed an idle connection.
  Steps OnIdleClosed(MonotonicTime now, PooledConnectionId connection);
  // To be called at the time that `NextTimer` returns.
  Steps OnTimer(MonotonicTime now);

  // Queries.

  // Returns the time at which `OnTimer` has to be called next;
  // `MonotonicTime::max()` if it does not have to be called.
  MonotonicTime NextTimer() const;
  // Returns true if a reply was read, on any connection, to a request that was
  // sent later than the one that `connection` carries.
  bool HasNewerReply(PooledConnectionId connection) const;
  ConnectionPoolCounts Counts() const;
  PoolMode mode() const { return this->pool_mode; }
  // Returns true if no connection is open and the last attempt to open one
  // failed.
  bool is_unreachable() const;

 private:
  enum class Use { kConnecting, kIdle, kExchange, kAbandoned, kProbe, kCancel };

  struct Connection {
    Use use = Use::kConnecting;
    AttemptId exchange;
    // When the current use began.
    MonotonicTime use_since;
    // When the current or last request on the connection was sent.
    MonotonicTime sent_at;
  };

  PooledConnectionId TakeIdle(MonotonicTime now,
                              bool take_longest_idle,
                              Use use);
  void MakeIdle(MonotonicTime now, PooledConnectionId connection);
  void Abandon(MonotonicTime now, PooledConnectionId connection, Steps& steps);
  void FailExpiredExchanges(MonotonicTime now, Steps& steps);
  void FailWaitingExchanges(Steps& steps);
  // Probes the connections that became idle at `idle_since` or earlier.
  void ProbeIdle(MonotonicTime now, MonotonicTime idle_since, Steps& steps);
  void CloseAbandoned(MonotonicTime now, Steps& steps);
  void CloseLongestIdle(Steps& steps);
  // Closes idle connections beyond the limit, and unneeded ones that have been
  // idle for the probe interval.
  void CloseSurplus(MonotonicTime now, Steps& steps);
  void BeginWaitingExchanges(MonotonicTime now, Steps& steps);
  void OpenWantedConnections(MonotonicTime now, Steps& steps);
  // Performs all work that is due: fails expired exchanges, begins waiting
  // ones, opens and closes connections.
  void PerformDueWork(MonotonicTime now, Steps& steps);
  std::size_t WantedConnections() const;
  bool has_open_connection() const;

  ConnectionPoolSettings settings;
  SeededRandom random;
  std::map<PooledConnectionId, Connection> connections;
  // Idle connections in order of their last use, the longest idle first.
  std::vector<PooledConnectionId> idle;
  std::deque<ExchangeRequest> waiting;
  // The id of the connection that was opened last.
  PooledConnectionId last_assigned_id;
  // The latest time at which a request that has been replied to was sent.
  MonotonicTime newest_replied_sent_at;
  // No connection is opened before this time.
  MonotonicTime connect_after;
  Duration backoff{};
  PoolMode pool_mode = PoolMode::kActive;
  // True if a connect was refused since the mode last changed.
  bool connect_refused = false;
};

}  // namespace marigold

#endif  // SRC_POLICY_CONNECTION_POOL_H_
