#include "tools/load/balancer.h"

#include <deque>
#include <optional>
#include <utility>
#include <variant>

#include "src/core/ranked_mutex.h"

namespace marigold {

namespace {

constexpr Duration kConnectTimeout = std::chrono::seconds(1);
constexpr Duration kHealthTimeout = std::chrono::seconds(1);
// After this many attempts of which no byte was sent, a request fails with
// `kNotSent`.
constexpr int kMaxAttempts = 20;
constexpr Duration kRetryDelay = std::chrono::milliseconds(20);

using ConnectionPtr = std::shared_ptr<HttpConnection>;

}  // namespace

struct Balancer::Impl : std::enable_shared_from_this<Balancer::Impl> {
  struct EntryTarget {
    Endpoint endpoint;
    std::vector<ConnectionPtr> idle;
    std::size_t open_connections = 0;
    bool healthy = true;
  };

  struct QueuedRequest {
    BalancedRequest request;
    int attempts = 0;
  };

  // The entry VM and the connection for one attempt of a request.
  struct Route {
    std::size_t entry = 0;
    // Null if a new connection has to be opened.
    ConnectionPtr connection;
  };

  Impl(WorkerPool& worker_pool, BalancerSettings balancer_settings)
      : pool(worker_pool), settings(std::move(balancer_settings)) {
    for (const Endpoint& endpoint : this->settings.entries) {
      this->entries.push_back({endpoint, {}, 0, true});
    }
  }

  void Submit(QueuedRequest queued) {
    std::optional<Route> route;
    {
      const RankedLock lock(this->mutex);
      route = this->FindRoute();
      if (!route) {
        this->queue.push_back(std::move(queued));
        return;
      }
    }
    this->Run(std::move(*route), std::move(queued));
  }

  // Returns nothing while every connection is in use. The caller holds the
  // lock.
  std::optional<Route> FindRoute() {
    for (std::size_t i = 0; i < this->entries.size(); ++i) {
      const std::size_t entry_index = this->next_entry++ % this->entries.size();
      EntryTarget& entry = this->entries[entry_index];
      if (!entry.healthy && this->AnyHealthy()) {
        continue;
      }
      while (!entry.idle.empty()) {
        ConnectionPtr connection = std::move(entry.idle.back());
        entry.idle.pop_back();
        if (connection->is_reusable()) {
          return Route{entry_index, std::move(connection)};
        }
        --entry.open_connections;
      }
      if (entry.open_connections < this->settings.connections_per_entry) {
        ++entry.open_connections;
        return Route{entry_index, nullptr};
      }
    }
    return std::nullopt;
  }

  bool AnyHealthy() const {
    for (const EntryTarget& entry : this->entries) {
      if (entry.healthy) {
        return true;
      }
    }
    return false;
  }

  void Run(Route route, QueuedRequest queued) {
    if (route.connection != nullptr) {
      this->Exchange(route, std::move(queued));
      return;
    }
    route.connection = std::make_shared<HttpConnection>(
        this->pool, this->entries[route.entry].endpoint);
    route.connection->Connect(
        kConnectTimeout,
        [self = this->shared_from_this(), route,
         queued_request = std::move(queued)](bool connected) mutable {
          if (connected) {
            self->Exchange(route, std::move(queued_request));
          } else {
            self->Release(route, false);
            self->Retry(std::move(queued_request));
          }
        });
  }

  void Exchange(const Route& route, QueuedRequest queued) {
    auto shared_request = std::make_shared<QueuedRequest>(std::move(queued));
    route.connection->Exchange(
        HttpMethod::kPost, shared_request->request.path,
        shared_request->request.body, shared_request->request.timeout,
        [self = this->shared_from_this(), route,
         shared_request](ExchangeOutcome outcome) {
          const auto* failure = std::get_if<ExchangeFailure>(&outcome);
          self->Release(route, failure == nullptr);
          if (failure != nullptr && *failure == ExchangeFailure::kNotSent) {
            self->Retry(std::move(*shared_request));
          } else {
            shared_request->request.on_outcome(std::move(outcome));
          }
        });
  }

  // Takes back a connection after use, and starts the oldest queued request if
  // a connection is available. `usable` is false if the connection has failed.
  void Release(const Route& route, bool usable) {
    std::optional<Route> next;
    std::optional<QueuedRequest> queued;
    {
      const RankedLock lock(this->mutex);
      EntryTarget& entry = this->entries[route.entry];
      if (usable && entry.healthy && route.connection->is_reusable()) {
        entry.idle.push_back(route.connection);
      } else {
        --entry.open_connections;
      }
      if (!this->queue.empty()) {
        next = this->FindRoute();
      }
      if (next) {
        queued = std::move(this->queue.front());
        this->queue.pop_front();
      }
    }
    if (queued) {
      this->Run(std::move(*next), std::move(*queued));
    }
  }

  void Retry(QueuedRequest queued) {
    if (++queued.attempts >= kMaxAttempts) {
      queued.request.on_outcome(ExchangeFailure::kNotSent);
      return;
    }
    auto shared_request = std::make_shared<QueuedRequest>(std::move(queued));
    this->pool.PostAfter(kRetryDelay,
                         [self = this->shared_from_this(), shared_request] {
                           self->Submit(std::move(*shared_request));
                         });
  }

  void CheckHealth(std::size_t entry_index) {
    auto connection = std::make_shared<HttpConnection>(
        this->pool, this->entries[entry_index].endpoint);
    connection->Connect(
        kHealthTimeout, [weak = this->weak_from_this(), connection,
                         entry_index](bool connected) {
          const auto self = weak.lock();
          if (!self) {
            return;
          }
          if (!connected) {
            self->OnHealth(entry_index, false);
            return;
          }
          connection->Exchange(
              HttpMethod::kGet, "/health", "", kHealthTimeout,
              [weak, connection, entry_index](const ExchangeOutcome& outcome) {
                const auto* response = std::get_if<HttpResponse>(&outcome);
                if (const auto again = weak.lock()) {
                  again->OnHealth(entry_index, response != nullptr &&
                                                   response->status == 200);
                }
              });
        });
  }

  // Stores the result of a health check and schedules the next one. Closes the
  // idle connections to an unhealthy entry VM, so that the entry VM does not
  // have to close them.
  void OnHealth(std::size_t entry_index, bool healthy) {
    std::vector<ConnectionPtr> closed;
    {
      const RankedLock lock(this->mutex);
      EntryTarget& entry = this->entries[entry_index];
      entry.healthy = healthy;
      if (!healthy) {
        closed.swap(entry.idle);
        entry.open_connections -= closed.size();
      }
    }
    this->pool.PostAfter(this->settings.health_interval,
                         [weak = this->weak_from_this(), entry_index] {
                           if (const auto self = weak.lock()) {
                             self->CheckHealth(entry_index);
                           }
                         });
  }

  WorkerPool& pool;
  const BalancerSettings settings;
  RankedMutex<LockRank::kLoadRun> mutex;
  std::vector<EntryTarget> entries;
  std::deque<QueuedRequest> queue;
  std::size_t next_entry = 0;
};

Balancer::Balancer(WorkerPool& worker_pool, BalancerSettings balancer_settings)
    : impl(std::make_shared<Impl>(worker_pool, std::move(balancer_settings))) {}

Balancer::~Balancer() = default;

void Balancer::Start() {
  for (std::size_t i = 0; i < this->impl->settings.entries.size(); ++i) {
    this->impl->CheckHealth(i);
  }
}

void Balancer::Send(BalancedRequest request) {
  this->impl->Submit({std::move(request), 0});
}

void Balancer::SendTo(std::size_t entry, BalancedRequest request) {
  auto connection = std::make_shared<HttpConnection>(
      this->impl->pool, this->impl->settings.entries.at(entry));
  auto shared_request = std::make_shared<BalancedRequest>(std::move(request));
  connection->Connect(kConnectTimeout, [connection,
                                        shared_request](bool connected) {
    if (!connected) {
      shared_request->on_outcome(ExchangeFailure::kNotSent);
      return;
    }
    connection->Exchange(HttpMethod::kPost, shared_request->path,
                         shared_request->body, shared_request->timeout,
                         [connection, shared_request](ExchangeOutcome outcome) {
                           shared_request->on_outcome(std::move(outcome));
                         });
  });
}

}  // namespace marigold
