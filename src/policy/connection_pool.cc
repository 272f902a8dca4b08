#include "src/policy/connection_pool.h"

#include <algorithm>
#include <utility>

#include "src/core/invariant.h"

namespace marigold {

ConnectionPool::ConnectionPool(ConnectionPoolSettings pool_settings,
                               std::uint64_t seed)
    : settings(pool_settings), random(seed) {}

ConnectionPool::Steps ConnectionPool::SetConnectionLimit(
    MonotonicTime now,
    std::uint32_t max_connections) {
  Steps steps;
  this->settings.max_connections = std::max(max_connections, 1U);
  this->PerformDueWork(now, steps);
  return steps;
}

ConnectionPool::Steps ConnectionPool::Submit(MonotonicTime now,
                                             const ExchangeRequest& request) {
  Steps steps;
  if (this->mode() != PoolMode::kActive) {
    steps.emplace_back(FailExchange{request.exchange});
    return steps;
  }
  this->waiting.push_back(request);
  this->PerformDueWork(now, steps);
  return steps;
}

ConnectionPool::Steps ConnectionPool::Cancel(MonotonicTime now,
                                             AttemptId exchange) {
  Steps steps;
  const auto queued = std::find_if(this->waiting.begin(), this->waiting.end(),
                                   [&](const ExchangeRequest& request) {
                                     return request.exchange == exchange;
                                   });
  if (queued != this->waiting.end()) {
    this->waiting.erase(queued);
    return steps;
  }
  const auto carrier =
      std::find_if(this->connections.begin(), this->connections.end(),
                   [&](const auto& item) {
                     return item.second.use == Use::kExchange &&
                            item.second.exchange == exchange;
                   });
  if (carrier != this->connections.end()) {
    this->Abandon(now, carrier->first, steps);
    this->PerformDueWork(now, steps);
  }
  return steps;
}

ConnectionPool::Steps ConnectionPool::SetMode(MonotonicTime now,
                                              PoolMode new_mode) {
  Steps steps;
  if (new_mode == this->mode()) {
    return steps;
  }
  this->pool_mode = new_mode;
  this->connect_refused = false;
  if (new_mode != PoolMode::kActive) {
    this->FailWaitingExchanges(steps);
  }
  this->PerformDueWork(now, steps);
  return steps;
}

ConnectionPool::Steps ConnectionPool::OnConnected(
    MonotonicTime now,
    PooledConnectionId connection) {
  Steps steps;
  if (!this->connections.contains(connection)) {
    return steps;
  }
  this->MakeIdle(now, connection);
  const bool had_failed = this->backoff > Duration::zero();
  this->backoff = Duration::zero();
  this->connect_after = MonotonicTime();
  if (this->mode() == PoolMode::kWatching && this->connect_refused) {
    this->pool_mode = PoolMode::kActive;
    steps.emplace_back(ReportRestart{});
  }
  this->PerformDueWork(now, steps);
  if (had_failed && this->mode() == PoolMode::kActive) {
    // The reply to the probe shows whether the server accepts requests again.
    this->ProbeIdle(now, now, steps);
  }
  return steps;
}

ConnectionPool::Steps ConnectionPool::OnConnectFailed(
    MonotonicTime now,
    PooledConnectionId connection,
    bool was_refused) {
  Steps steps;
  if (this->connections.erase(connection) == 0) {
    return steps;
  }
  this->connect_refused = this->connect_refused || was_refused;
  this->backoff = std::clamp(this->backoff * 2, this->settings.min_backoff,
                             this->settings.max_backoff);
  // Half of the backoff is random, so that entry VMs do not reconnect at the
  // same time.
  const double share = (1 + this->random.NextDouble()) / 2;
  this->connect_after = now + FromSeconds(ToSeconds(this->backoff) * share);
  if (!this->has_open_connection()) {
    this->FailWaitingExchanges(steps);
  }
  this->PerformDueWork(now, steps);
  return steps;
}

ConnectionPool::Steps ConnectionPool::OnExchangeEnded(
    MonotonicTime now,
    PooledConnectionId connection,
    ExchangeEnd end) {
  Steps steps;
  const auto position = this->connections.find(connection);
  if (position == this->connections.end()) {
    return steps;
  }
  CheckInvariant(Invariant::kOwnAnswer,
                 position->second.use != Use::kIdle &&
                     position->second.use != Use::kConnecting,
                 "an exchange ended on a connection that carried none");
  if (end == ExchangeEnd::kReplied || end == ExchangeEnd::kRepliedAndClosed) {
    this->newest_replied_sent_at =
        std::max(this->newest_replied_sent_at, position->second.sent_at);
  }
  if (end == ExchangeEnd::kReplied || end == ExchangeEnd::kUnused) {
    this->MakeIdle(now, connection);
  } else {
    this->connections.erase(position);
  }
  if (end == ExchangeEnd::kSilent && this->mode() == PoolMode::kActive) {
    this->ProbeIdle(now, now, steps);
  }
  this->PerformDueWork(now, steps);
  return steps;
}

ConnectionPool::Steps ConnectionPool::OnIdleClosed(
    MonotonicTime now,
    PooledConnectionId connection) {
  Steps steps;
  std::erase(this->idle, connection);
  this->connections.erase(connection);
  this->PerformDueWork(now, steps);
  return steps;
}

ConnectionPool::Steps ConnectionPool::OnTimer(MonotonicTime now) {
  Steps steps;
  this->CloseAbandoned(now, steps);
  this->PerformDueWork(now, steps);
  if (this->mode() == PoolMode::kActive) {
    this->ProbeIdle(now, now - this->settings.probe_interval, steps);
  }
  return steps;
}

MonotonicTime ConnectionPool::NextTimer() const {
  MonotonicTime next = MonotonicTime::max();
  for (const ExchangeRequest& request : this->waiting) {
    next = std::min(next, request.begin_before);
  }
  for (const auto& [id, connection] : this->connections) {
    if (connection.use == Use::kAbandoned) {
      next =
          std::min(next, connection.use_since + this->settings.abandon_timeout);
    }
  }
  if (!this->idle.empty() && this->mode() == PoolMode::kActive) {
    const Connection& oldest = this->connections.at(this->idle.front());
    next = std::min(next, oldest.use_since + this->settings.probe_interval);
  }
  if (this->connect_after > MonotonicTime() &&
      this->connections.size() < this->WantedConnections()) {
    next = std::min(next, this->connect_after);
  }
  return next;
}

bool ConnectionPool::HasNewerReply(PooledConnectionId connection) const {
  const auto position = this->connections.find(connection);
  return position != this->connections.end() &&
         this->newest_replied_sent_at > position->second.sent_at;
}

ConnectionPoolCounts ConnectionPool::Counts() const {
  ConnectionPoolCounts counts;
  for (const auto& [id, connection] : this->connections) {
    switch (connection.use) {
      case Use::kConnecting:
        ++counts.connecting;
        break;
      case Use::kIdle:
        ++counts.idle;
        break;
      case Use::kAbandoned:
        ++counts.abandoned;
        break;
      case Use::kExchange:
      case Use::kProbe:
      case Use::kCancel:
        ++counts.busy;
        break;
    }
  }
  counts.waiting = static_cast<std::uint32_t>(this->waiting.size());
  return counts;
}

bool ConnectionPool::is_unreachable() const {
  return this->backoff > Duration::zero() && !this->has_open_connection();
}

}  // namespace marigold
