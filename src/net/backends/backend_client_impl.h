#ifndef SRC_NET_BACKENDS_BACKEND_CLIENT_IMPL_H_
#define SRC_NET_BACKENDS_BACKEND_CLIENT_IMPL_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <variant>

#include "src/core/clock.h"
#include "src/core/invariant.h"
#include "src/core/ranked_mutex.h"
#include "src/net/backends/backend_client.h"
#include "src/net/backends/backend_replies.h"

namespace marigold {

namespace detail {

// What one attempt needs from its beginning to its outcome.
template <class Outcome>
struct TypedExchange {
  ServerIndex server;
  AttemptId attempt;
  MonotonicTime sent_at;
  std::function<Outcome(const HttpResponse&)> decode;
  Outcome outcome = AttemptFailure::kBadReply;
  std::function<void(Outcome)> on_outcome;
};

inline AttemptId AttemptOf(const SubResponse& response) {
  return response.reply.attempt;
}

inline AttemptId AttemptOf(const SubActionReply& reply) {
  return reply.attempt;
}

}  // namespace detail

// The pools by server, and the exchanges that run on them.
struct BackendClient::Impl : std::enable_shared_from_this<Impl> {
  using PoolPtr = std::shared_ptr<BackendPool>;

  Impl(WorkerPool& worker_pool,
       ServerTable& server_table,
       EntryMetrics& entry_metrics,
       BackendClientSettings client_settings)
      : pool(worker_pool),
        table(server_table),
        metrics(entry_metrics),
        settings(client_settings) {}

  // The pool of a server, or nothing if the server is not known.
  PoolPtr FindOrAddPool(ServerIndex server);

  PoolPtr FindPool(ServerIndex server) const;

  PoolPtr AddPool(ServerIndex server, const Endpoint& endpoint);

  PoolPtr TakePool(ServerIndex server);

  BackendPoolEvents MakePoolEvents(ServerIndex server);

  void OnStatus(ServerIndex server, const HttpResponse& response);

  // Decodes a list unless it is the one that was read last.
  PlatformListResult DecodeListIfChanged(const HttpResponse& response);

  // Sends a request whose response `exchange` decodes.
  template <class Outcome>
  void Send(PoolRequest request,
            const std::shared_ptr<detail::TypedExchange<Outcome>>& exchange) {
    const PoolPtr server_pool = this->FindOrAddPool(exchange->server);
    if (server_pool == nullptr) {
      exchange->on_outcome(AttemptFailure::kNotSent);
      return;
    }
    request.exchange = exchange->attempt;
    exchange->sent_at = this->clock.Now();
    request.accepts = [exchange](const HttpResponse& response) {
      exchange->outcome = exchange->decode(response);
      return !IsBadReply(exchange->outcome);
    };
    request.on_outcome = [self = this->shared_from_this(),
                          exchange](const PoolOutcome& outcome) {
      self->OnOutcome(*exchange, outcome);
    };
    server_pool->Send(std::move(request));
  }

  template <class Outcome>
  void OnOutcome(detail::TypedExchange<Outcome>& exchange,
                 const PoolOutcome& outcome) {
    if (const auto* failure = std::get_if<AttemptFailure>(&outcome)) {
      exchange.outcome = *failure;
    } else {
      const auto* reply = std::get_if<0>(&exchange.outcome);
      CheckInvariant(
          Invariant::kOwnAnswer,
          reply == nullptr || detail::AttemptOf(*reply) == exchange.attempt,
          "a reply reached another attempt");
    }
    this->CountOutcome(exchange);
    if (ReportsDraining(exchange.outcome)) {
      if (const PoolPtr server_pool = this->FindPool(exchange.server)) {
        server_pool->SetMode(PoolMode::kWatching);
      }
    }
    exchange.on_outcome(std::move(exchange.outcome));
  }

  template <class Outcome>
  void CountOutcome(const detail::TypedExchange<Outcome>& exchange) {
    if (const auto* failure = std::get_if<AttemptFailure>(&exchange.outcome)) {
      this->metrics.OnAttemptFailure(*failure);
    } else {
      this->metrics.OnAttemptReply(this->clock.Now() - exchange.sent_at);
    }
  }

  WorkerPool& pool;
  ServerTable& table;
  EntryMetrics& metrics;
  BackendClientSettings settings;
  SystemClock clock;
  // Of the platform's list that was read last.
  std::atomic<std::uint64_t> last_list_checksum = 0;
  mutable RankedMutex<LockRank::kConnections> mutex;
  std::map<ServerIndex, PoolPtr> pools;
};

}  // namespace marigold

#endif  // SRC_NET_BACKENDS_BACKEND_CLIENT_IMPL_H_
