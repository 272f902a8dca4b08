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

// The state of one attempt from sending to its outcome.
template <class Outcome>
struct AttemptExchange {
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

inline AttemptId AttemptOf(const BackendActionReply& reply) {
  return reply.attempt;
}

}  // namespace detail

// Owns the connection pools of all backend servers and runs the attempts on
// them.
struct BackendClient::Impl : std::enable_shared_from_this<Impl> {
  using PoolPtr = std::shared_ptr<BackendPool>;

  Impl(WorkerPool& worker_pool,
       ServerTable& server_table,
       EntryMetrics& entry_metrics,
       BackendClientSettings client_settings)
      : workers(worker_pool),
        table(server_table),
        metrics(entry_metrics),
        settings(client_settings) {}

  // Returns the pool of a server and creates it if there is none. Returns null
  // if the server is not in the server table.
  PoolPtr FindOrAddPool(ServerIndex server);

  PoolPtr FindPool(ServerIndex server) const;

  PoolPtr AddPool(ServerIndex server, const Endpoint& endpoint);

  PoolPtr TakePool(ServerIndex server);

  BackendPoolEvents MakePoolEvents(ServerIndex server);

  void OnStatus(ServerIndex server, const HttpResponse& response);

  // Decodes a VM list. Leaves `changed_list` empty if the response has the same
  // checksum as the last decoded list.
  PlatformVmListResult DecodeListIfChanged(const HttpResponse& response);

  // Sends a request. `exchange` decodes the response and receives the outcome.
  template <class Outcome>
  void Send(PoolRequest request,
            const std::shared_ptr<detail::AttemptExchange<Outcome>>& exchange) {
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
  void OnOutcome(detail::AttemptExchange<Outcome>& exchange,
                 const PoolOutcome& outcome) {
    if (const auto* failure = std::get_if<AttemptFailure>(&outcome)) {
      exchange.outcome = *failure;
    } else {
      const auto* reply = std::get_if<0>(&exchange.outcome);
      CheckInvariant(
          Invariant::kOwnAnswer,
          reply == nullptr || detail::AttemptOf(*reply) == exchange.attempt,
          "a reply was delivered to another attempt");
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
  void CountOutcome(const detail::AttemptExchange<Outcome>& exchange) {
    if (const auto* failure = std::get_if<AttemptFailure>(&exchange.outcome)) {
      this->metrics.OnAttemptFailure(*failure);
    } else {
      this->metrics.OnAttemptReply(this->clock.Now() - exchange.sent_at);
    }
  }

  WorkerPool& workers;
  ServerTable& table;
  EntryMetrics& metrics;
  BackendClientSettings settings;
  SystemClock clock;
  // Checksum of the platform's VM list that was decoded last.
  std::atomic<std::uint64_t> last_list_checksum = 0;
  mutable RankedMutex<LockRank::kConnections> mutex;
  std::map<ServerIndex, PoolPtr> pools;
};

}  // namespace marigold

#endif  // SRC_NET_BACKENDS_BACKEND_CLIENT_IMPL_H_
