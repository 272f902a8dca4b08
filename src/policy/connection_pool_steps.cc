#include <algorithm>

#include "src/core/invariant.h"
#include "src/policy/connection_pool.h"

namespace marigold {

namespace {

// The number of idle connections to keep in addition to those in use, so that
// an exchange seldom waits for a connect.
constexpr std::size_t kSpareConnections = 1;

}  // namespace

PooledConnectionId ConnectionPool::TakeIdle(MonotonicTime now,
                                            bool take_longest_idle,
                                            Use use) {
  const auto position =
      take_longest_idle ? this->idle.begin() : std::prev(this->idle.end());
  const PooledConnectionId taken = *position;
  this->idle.erase(position);
  Connection& connection = this->connections.at(taken);
  CheckInvariant(Invariant::kOwnAnswer, connection.use == Use::kIdle,
                 "a connection with an unread reply was used again");
  connection.use = use;
  connection.use_since = now;
  connection.sent_at = now;
  return taken;
}

void ConnectionPool::MakeIdle(MonotonicTime now,
                              PooledConnectionId connection) {
  Connection& entry = this->connections.at(connection);
  entry.use = Use::kIdle;
  entry.use_since = now;
  this->idle.push_back(connection);
}

void ConnectionPool::Abandon(MonotonicTime now,
                             PooledConnectionId connection,
                             Steps& steps) {
  Connection& entry = this->connections.at(connection);
  if (this->idle.empty() || this->mode() != PoolMode::kActive) {
    steps.emplace_back(CloseConnection{connection});
    this->connections.erase(connection);
    return;
  }
  entry.use = Use::kAbandoned;
  entry.use_since = now;
  const PooledConnectionId other = this->TakeIdle(now, false, Use::kCancel);
  steps.emplace_back(BeginCancel{other, entry.exchange});
}

void ConnectionPool::FailExpiredExchanges(MonotonicTime now, Steps& steps) {
  std::erase_if(this->waiting, [&](const ExchangeRequest& request) {
    if (request.begin_before > now) {
      return false;
    }
    steps.emplace_back(
        FailExchange{request.exchange, AttemptFailure::kNotBegun});
    return true;
  });
}

void ConnectionPool::FailWaitingExchanges(Steps& steps) {
  for (const ExchangeRequest& request : this->waiting) {
    steps.emplace_back(FailExchange{request.exchange});
  }
  this->waiting.clear();
}

void ConnectionPool::ProbeIdle(MonotonicTime now,
                               MonotonicTime idle_since,
                               Steps& steps) {
  while (!this->idle.empty() &&
         this->connections.at(this->idle.front()).use_since <= idle_since) {
    steps.emplace_back(BeginProbe{this->TakeIdle(now, true, Use::kProbe)});
  }
}

// The server answers a cancelled request at once. A connection on which no
// answer arrives may be broken, and so may the other connections to the server,
// so these are probed.
void ConnectionPool::CloseAbandoned(MonotonicTime now, Steps& steps) {
  const auto count = std::erase_if(this->connections, [&](const auto& item) {
    const Connection& connection = item.second;
    if (connection.use != Use::kAbandoned ||
        connection.use_since + this->settings.abandon_timeout > now) {
      return false;
    }
    steps.emplace_back(CloseConnection{item.first});
    return true;
  });
  if (count > 0 && this->mode() == PoolMode::kActive) {
    this->ProbeIdle(now, now, steps);
  }
}

void ConnectionPool::CloseLongestIdle(Steps& steps) {
  const PooledConnectionId connection = this->idle.front();
  this->idle.erase(this->idle.begin());
  this->connections.erase(connection);
  steps.emplace_back(CloseConnection{connection});
}

void ConnectionPool::CloseSurplus(MonotonicTime now, Steps& steps) {
  const std::size_t connection_limit = this->mode() == PoolMode::kActive
                                           ? this->settings.max_connections
                                           : this->WantedConnections();
  while (!this->idle.empty() && this->connections.size() > connection_limit) {
    this->CloseLongestIdle(steps);
  }
  const MonotonicTime unneeded_since = now - this->settings.probe_interval;
  while (!this->idle.empty() &&
         this->connections.size() > this->WantedConnections() &&
         this->connections.at(this->idle.front()).use_since <= unneeded_since) {
    this->CloseLongestIdle(steps);
  }
}

void ConnectionPool::BeginWaitingExchanges(MonotonicTime now, Steps& steps) {
  while (!this->waiting.empty() && !this->idle.empty()) {
    const ExchangeRequest request = this->waiting.front();
    this->waiting.pop_front();
    const PooledConnectionId taken =
        this->TakeIdle(now, request.is_status_call, Use::kExchange);
    this->connections.at(taken).exchange = request.exchange;
    steps.emplace_back(BeginExchange{taken, request.exchange});
  }
}

void ConnectionPool::OpenWantedConnections(MonotonicTime now, Steps& steps) {
  if (now < this->connect_after) {
    return;
  }
  while (this->connections.size() < this->WantedConnections()) {
    this->last_assigned_id = Next(this->last_assigned_id);
    Connection& connection = this->connections[this->last_assigned_id];
    connection.use_since = now;
    steps.emplace_back(OpenConnection{this->last_assigned_id});
  }
}

void ConnectionPool::PerformDueWork(MonotonicTime now, Steps& steps) {
  this->FailExpiredExchanges(now, steps);
  this->BeginWaitingExchanges(now, steps);
  this->OpenWantedConnections(now, steps);
  this->CloseSurplus(now, steps);
  if (this->connections.empty()) {
    // No connect is made before the backoff ends, which is longer than a caller
    // should wait.
    this->FailWaitingExchanges(steps);
  }
}

std::size_t ConnectionPool::WantedConnections() const {
  switch (this->mode()) {
    case PoolMode::kRetired:
      return 0;
    case PoolMode::kWatching:
      return 1;
    case PoolMode::kActive:
      break;
  }
  if (this->is_unreachable()) {
    return 1;
  }
  const ConnectionPoolCounts counts = this->Counts();
  const std::size_t used =
      counts.busy + counts.abandoned + counts.waiting + kSpareConnections;
  const std::size_t wanted =
      std::max<std::size_t>(used, this->settings.warm_connections);
  return std::min<std::size_t>(wanted, this->settings.max_connections);
}

bool ConnectionPool::has_open_connection() const {
  return std::any_of(
      this->connections.begin(), this->connections.end(),
      [](const auto& item) { return item.second.use != Use::kConnecting; });
}

}  // namespace marigold
