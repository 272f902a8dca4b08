#include "src/net/backends/backend_pool.h"

#include <algorithm>
#include <utility>

#include "src/core/random.h"

namespace marigold {

BackendPool::BackendPool(WorkerPool& worker_pool,
                         Endpoint remote,
                         const BackendPoolSettings& pool_settings,
                         BackendPoolEvents pool_events)
    : pool(worker_pool),
      remote_endpoint(std::move(remote)),
      settings(pool_settings),
      events(std::move(pool_events)),
      decisions(pool_settings.pool, SystemSeed()) {}

void BackendPool::Send(PoolRequest request) {
  const ExchangeRequest offer{request.exchange, request.begin_before,
                              request.is_probe};
  this->Feed([&](ConnectionPool& state, MonotonicTime now) {
    this->requests.emplace(offer.exchange, std::move(request));
    return state.Submit(now, offer);
  });
}

bool BackendPool::Cancel(AttemptId exchange) {
  const std::optional<PoolRequest> dropped = this->TakeRequest(exchange);
  if (!dropped) {
    return false;
  }
  this->Feed([&](ConnectionPool& state, MonotonicTime now) {
    return state.Cancel(now, exchange);
  });
  return true;
}

void BackendPool::Limit(std::uint32_t most_connections) {
  this->Feed([&](ConnectionPool& state, MonotonicTime now) {
    return state.SetConnectionLimit(now, most_connections);
  });
}

void BackendPool::SetMode(PoolMode mode) {
  this->Feed([&](ConnectionPool& state, MonotonicTime now) {
    return state.SetMode(now, mode);
  });
}

ConnectionPoolCounts BackendPool::Counts() const {
  const RankedLock lock(this->mutex);
  return this->decisions.Counts();
}

void BackendPool::Feed(const Event& event) {
  {
    const RankedLock lock(this->mutex);
    for (const PoolStep& step : event(this->decisions, this->clock.Now())) {
      this->pending.push_back(step);
    }
    if (this->draining) {
      return;
    }
    this->draining = true;
  }
  while (this->CarryBatch() || this->SetTimer()) {
  }
}

bool BackendPool::CarryBatch() {
  std::vector<PoolStep> batch;
  {
    const RankedLock lock(this->mutex);
    batch.swap(this->pending);
  }
  for (const PoolStep& step : batch) {
    std::visit([this](const auto& typed) { this->Carry(typed); }, step);
  }
  return !batch.empty();
}

bool BackendPool::SetTimer() {
  MonotonicTime next;
  {
    const RankedLock lock(this->mutex);
    if (!this->pending.empty()) {
      return true;
    }
    next = this->decisions.NextTimer();
    if (next >= this->timer_at) {
      this->draining = false;
      return false;
    }
    this->timer_at = next;
  }
  const Duration delay = next - this->clock.Now();
  this->timer = this->pool.After(std::max(delay, Duration::zero()),
                                 [weak = this->weak_from_this()] {
                                   if (const auto self = weak.lock()) {
                                     self->OnTimer();
                                   }
                                 });
  return true;
}

void BackendPool::OnTimer() {
  this->Feed([this](ConnectionPool& state, MonotonicTime now) {
    this->timer_at = MonotonicTime::max();
    return state.OnTimer(now);
  });
}

BackendPool::ConnectionPtr BackendPool::Find(PooledConnectionId id) const {
  const RankedLock lock(this->mutex);
  const auto position = this->connections.find(id);
  return position == this->connections.end() ? nullptr : position->second;
}

BackendPool::ConnectionPtr BackendPool::Take(PooledConnectionId id) {
  const RankedLock lock(this->mutex);
  auto node = this->connections.extract(id);
  return node.empty() ? nullptr : std::move(node.mapped());
}

std::optional<PoolRequest> BackendPool::TakeContent(AttemptId exchange) {
  const RankedLock lock(this->mutex);
  const auto position = this->requests.find(exchange);
  if (position == this->requests.end()) {
    return std::nullopt;
  }
  auto on_outcome = std::exchange(position->second.on_outcome, nullptr);
  PoolRequest content = std::move(position->second);
  position->second.on_outcome = std::move(on_outcome);
  return content;
}

std::optional<PoolRequest> BackendPool::TakeRequest(AttemptId exchange) {
  const RankedLock lock(this->mutex);
  auto node = this->requests.extract(exchange);
  if (node.empty()) {
    return std::nullopt;
  }
  return std::move(node.mapped());
}

}  // namespace marigold
