#include "src/net/backends/backend_pool.h"

#include <algorithm>
#include <utility>

#include "src/core/random.h"

namespace marigold {

BackendPool::BackendPool(WorkerPool& worker_pool,
                         Endpoint remote,
                         const BackendPoolSettings& pool_settings,
                         BackendPoolEvents pool_events)
    : workers(worker_pool),
      remote_endpoint(std::move(remote)),
      settings(pool_settings),
      events(std::move(pool_events)),
      connection_pool(pool_settings.pool, SystemSeed()) {}

void BackendPool::Send(PoolRequest request) {
  const ExchangeRequest exchange_request{request.exchange, request.begin_before,
                                         request.is_probe};
  this->ApplyEvent([&](ConnectionPool& state, MonotonicTime now) {
    this->requests.emplace(exchange_request.exchange, std::move(request));
    return state.Submit(now, exchange_request);
  });
}

bool BackendPool::Cancel(AttemptId exchange) {
  const std::optional<PoolRequest> cancelled = this->TakeRequest(exchange);
  if (!cancelled) {
    return false;
  }
  this->ApplyEvent([&](ConnectionPool& state, MonotonicTime now) {
    return state.Cancel(now, exchange);
  });
  return true;
}

void BackendPool::SetConnectionLimit(std::uint32_t max_connections) {
  this->ApplyEvent([&](ConnectionPool& state, MonotonicTime now) {
    return state.SetConnectionLimit(now, max_connections);
  });
}

void BackendPool::SetMode(PoolMode mode) {
  this->ApplyEvent([&](ConnectionPool& state, MonotonicTime now) {
    return state.SetMode(now, mode);
  });
}

ConnectionPoolCounts BackendPool::Counts() const {
  const RankedLock lock(this->mutex);
  return this->connection_pool.Counts();
}

void BackendPool::ApplyEvent(const Event& event) {
  {
    const RankedLock lock(this->mutex);
    for (const PoolStep& step :
         event(this->connection_pool, this->clock.Now())) {
      this->pending_steps.push_back(step);
    }
    if (this->is_running_steps) {
      return;
    }
    this->is_running_steps = true;
  }
  while (this->RunPendingSteps() || this->SetTimer()) {
  }
}

bool BackendPool::RunPendingSteps() {
  std::vector<PoolStep> batch;
  {
    const RankedLock lock(this->mutex);
    batch.swap(this->pending_steps);
  }
  for (const PoolStep& step : batch) {
    std::visit([this](const auto& typed) { this->RunStep(typed); }, step);
  }
  return !batch.empty();
}

bool BackendPool::SetTimer() {
  MonotonicTime next;
  {
    const RankedLock lock(this->mutex);
    if (!this->pending_steps.empty()) {
      return true;
    }
    next = this->connection_pool.NextTimer();
    if (next >= this->timer_due_at) {
      this->is_running_steps = false;
      return false;
    }
    this->timer_due_at = next;
  }
  const Duration delay = next - this->clock.Now();
  this->timer = this->workers.After(std::max(delay, Duration::zero()),
                                    [weak = this->weak_from_this()] {
                                      if (const auto self = weak.lock()) {
                                        self->OnTimer();
                                      }
                                    });
  return true;
}

void BackendPool::OnTimer() {
  this->ApplyEvent([this](ConnectionPool& state, MonotonicTime now) {
    this->timer_due_at = MonotonicTime::max();
    return state.OnTimer(now);
  });
}

BackendPool::ConnectionPtr BackendPool::FindConnection(
    PooledConnectionId id) const {
  const RankedLock lock(this->mutex);
  const auto position = this->connections.find(id);
  return position == this->connections.end() ? nullptr : position->second;
}

BackendPool::ConnectionPtr BackendPool::TakeConnection(PooledConnectionId id) {
  const RankedLock lock(this->mutex);
  auto node = this->connections.extract(id);
  return node.empty() ? nullptr : std::move(node.mapped());
}

std::optional<PoolRequest> BackendPool::TakeRequestContent(AttemptId exchange) {
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
