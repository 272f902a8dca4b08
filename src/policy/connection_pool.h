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

// One connection of a pool; never reused.
using PooledConnectionId = detail::NumericId<struct PooledConnectionTag>;

struct ConnectionPoolSettings {
  // This entry VM's part of the server's connection limit.
  std::uint32_t most_connections = 1;
  // Connections that stay open without work.
  std::uint32_t warm_connections = 2;
  // An idle connection that proved itself this long ago is probed.
  Duration probe_interval = std::chrono::seconds(30);
  // A connection whose abandoned reply takes longer is closed.
  Duration abandon_timeout = std::chrono::milliseconds(100);
  // Wait after the first failed connect; doubles up to the longest.
  Duration shortest_backoff = std::chrono::milliseconds(100);
  Duration longest_backoff = std::chrono::seconds(2);
};

// An exchange that wants a connection.
struct ExchangeOffer {
  AttemptId exchange;
  // Fails as not sent if it can't begin before this.
  MonotonicTime begin_before;
  // A status call. It takes the connection that was idle longest and so proves
  // that connection; other exchanges take the one that was used last.
  bool is_probe = false;
};

// Instructions of a `ConnectionPool` to the code that drives it.
struct OpenConnection {
  PooledConnectionId connection;
};
struct BeginExchange {
  PooledConnectionId connection;
  AttemptId exchange;
};
// Sends a status call of the pool's own.
struct BeginProbe {
  PooledConnectionId connection;
};
// Tells the server that nobody waits for `exchange` any more.
struct BeginCancel {
  PooledConnectionId connection;
  AttemptId exchange;
};
struct CloseConnection {
  PooledConnectionId connection;
};
// The exchange surely was not sent: `kNotSent` if the server can't be reached
// or gets no new work, `kNotBegun` if its time to begin has passed.
struct FailExchange {
  AttemptId exchange;
  AttemptFailure failure = AttemptFailure::kNotSent;
};
// The watched server refused connections and accepts them again, so another
// process serves its address.
struct ReportRestart {};

using PoolStep = std::variant<OpenConnection,
                              BeginExchange,
                              BeginProbe,
                              BeginCancel,
                              CloseConnection,
                              FailExchange,
                              ReportRestart>;

enum class PoolMode {
  kActive,
  // For a server that said it is draining: one connection stays open and
  // carries nothing; exchanges are refused. Returns to `kActive` when the
  // server has restarted.
  kWatching,
  // For a server that is listed as leaving or is not listed: exchanges are
  // refused, idle connections are closed and none are opened.
  kRetired,
};

// How the use of a connection ended.
enum class ExchangeEnd {
  // A whole reply was read and the connection stays open.
  kReplied,
  // A whole reply was read and the connection is closed.
  kRepliedLast,
  // Nothing was written.
  kUnused,
  // The connection failed.
  kBroken,
  // No byte arrived within the bound; the connection is closed.
  kSilent,
};

// Counts for dumps and metrics.
struct ConnectionPoolCounts {
  std::uint32_t connecting = 0;
  std::uint32_t idle = 0;
  std::uint32_t busy = 0;
  std::uint32_t abandoned = 0;
  std::uint32_t waiting = 0;
};

// Decides how the connections to one backend server are used. A connection
// carries one exchange at a time and is used again only after the whole reply
// was read, so that no reply reaches another exchange. Not synchronised.
class ConnectionPool {
 public:
  using Steps = std::vector<PoolStep>;

  ConnectionPool(ConnectionPoolSettings pool_settings, std::uint64_t seed);

  // Commands.

  // Sets the number of connections that the pool may have.
  Steps Limit(MonotonicTime now, std::uint32_t most_connections);

  // Begins the exchange, or lets it wait in order of arrival.
  Steps Offer(MonotonicTime now, const ExchangeOffer& offer);

  // A waiting exchange is dropped. One in flight is abandoned: the server is
  // told over an idle connection, or the connection is closed if none is idle.
  Steps Cancel(MonotonicTime now, AttemptId exchange);

  // Exchanges in flight go on in every mode.
  Steps SetMode(MonotonicTime now, PoolMode new_mode);

  Steps OnConnected(MonotonicTime now, PooledConnectionId connection);
  // `refused` says that no process listened.
  Steps OnConnectFailed(MonotonicTime now,
                        PooledConnectionId connection,
                        bool refused);
  Steps OnEnded(MonotonicTime now,
                PooledConnectionId connection,
                ExchangeEnd end);
  // The server closed a connection that carried nothing.
  Steps OnIdleClosed(MonotonicTime now, PooledConnectionId connection);
  // To be called at `NextTimer`.
  Steps OnTimer(MonotonicTime now);

  // Queries.

  // `MonotonicTime::max()` if there is nothing to wait for.
  MonotonicTime NextTimer() const;
  // True if a reply was read to something that was sent later than what
  // `connection` carries.
  bool HasNewerReply(PooledConnectionId connection) const;
  ConnectionPoolCounts Counts() const;
  PoolMode mode() const { return this->pool_mode; }
  // True if no connection is open and the last attempt to open one failed.
  bool is_unreachable() const;

 private:
  enum class Use { kConnecting, kIdle, kExchange, kAbandoned, kProbe, kCancel };

  struct Connection {
    Use use = Use::kConnecting;
    AttemptId exchange;
    // When the present use began.
    MonotonicTime since;
    // When the present or last exchange was sent.
    MonotonicTime sent_at;
  };

  PooledConnectionId TakeIdle(MonotonicTime now, bool longest_idle, Use use);
  void MakeIdle(MonotonicTime now, PooledConnectionId connection);
  void Abandon(MonotonicTime now, PooledConnectionId connection, Steps& steps);
  void FailExpired(MonotonicTime now, Steps& steps);
  void FailAll(Steps& steps);
  // Probes connections that have been idle since `idle_since` or longer.
  void ProbeIdle(MonotonicTime now, MonotonicTime idle_since, Steps& steps);
  void CloseAbandoned(MonotonicTime now, Steps& steps);
  void CloseLongestIdle(Steps& steps);
  // Closes idle connections beyond the limit, and those not needed for long.
  void CloseSurplus(MonotonicTime now, Steps& steps);
  void BeginWaiting(MonotonicTime now, Steps& steps);
  void OpenWanted(MonotonicTime now, Steps& steps);
  // Does all that is due: begins waiting exchanges, opens and closes
  // connections.
  void Pump(MonotonicTime now, Steps& steps);
  std::size_t WantedConnections() const;
  bool has_open_connection() const;

  ConnectionPoolSettings settings;
  SeededRandom random;
  std::map<PooledConnectionId, Connection> connections;
  // In order of their last use, the longest idle first.
  std::vector<PooledConnectionId> idle;
  std::deque<ExchangeOffer> waiting;
  PooledConnectionId last_connection;
  MonotonicTime newest_replied;
  MonotonicTime connect_after;
  Duration backoff{};
  PoolMode pool_mode = PoolMode::kActive;
  // A connect was refused since the pool began to watch.
  bool seen_gone = false;
};

}  // namespace marigold

#endif  // SRC_POLICY_CONNECTION_POOL_H_
