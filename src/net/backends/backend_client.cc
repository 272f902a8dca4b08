#include "src/net/backends/backend_client.h"

#include <utility>

#include "src/net/backends/backend_client_impl.h"
#include "src/wire/backend_json.h"

namespace marigold {

BackendClient::BackendClient(WorkerPool& worker_pool,
                             ServerTable& server_table,
                             EntryMetrics& entry_metrics,
                             BackendClientSettings client_settings)
    : impl(std::make_shared<Impl>(worker_pool,
                                  server_table,
                                  entry_metrics,
                                  client_settings)) {}

BackendClient::~BackendClient() = default;

void BackendClient::Send(const SendAttempt& attempt,
                         const std::string& query,
                         std::function<void(AttemptOutcome)> on_outcome) {
  this->impl->metrics.OnSearchAttempt(attempt.kind);
  auto exchange = std::make_shared<detail::AttemptExchange<AttemptOutcome>>();
  exchange->server = attempt.server;
  exchange->attempt = attempt.attempt;
  exchange->decode = [attempt](const HttpResponse& response) {
    return DecodeReply(attempt, response);
  };
  exchange->on_outcome = std::move(on_outcome);
  PoolRequest request;
  request.path = "/v1/search";
  request.begin_before = attempt.deadline;
  request.reply_timeout = this->impl->settings.search_reply_timeout;
  request.encode = [attempt, query](MonotonicTime now) {
    return EncodeSubRequest({attempt.attempt, attempt.snapshot, attempt.shard,
                             query, attempt.deadline - now});
  };
  this->impl->Send(std::move(request), exchange);
}

void BackendClient::SendAction(
    ServerIndex server,
    const BackendAction& action,
    MonotonicTime deadline,
    std::function<void(ActionAttemptOutcome)> on_outcome) {
  this->impl->metrics.OnActionAttempt();
  auto exchange =
      std::make_shared<detail::AttemptExchange<ActionAttemptOutcome>>();
  exchange->server = server;
  exchange->attempt = action.attempt;
  exchange->decode = [attempt = action.attempt](const HttpResponse& response) {
    return DecodeActionReply(attempt, response);
  };
  exchange->on_outcome = std::move(on_outcome);
  PoolRequest request;
  request.path = "/v1/action";
  request.begin_before = deadline;
  const Duration remaining = deadline - this->impl->clock.Now();
  request.reply_timeout =
      remaining + this->impl->settings.late_action_reply_timeout;
  request.encode = [action, deadline](MonotonicTime now) {
    BackendAction sent_action = action;
    sent_action.deadline = deadline - now;
    return EncodeSubAction(sent_action);
  };
  this->impl->Send(std::move(request), exchange);
}

bool BackendClient::Cancel(const CancelAttempt& attempt) {
  const auto server_pool = this->impl->FindPool(attempt.server);
  if (server_pool == nullptr || !server_pool->Cancel(attempt.attempt)) {
    return false;
  }
  this->impl->metrics.OnAttemptCancelled();
  return true;
}

TimerHandle BackendClient::After(Duration delay, std::function<void()> task) {
  return this->impl->workers.After(delay, std::move(task));
}

void BackendClient::PostAfter(Duration delay, std::function<void()> task) {
  this->impl->workers.PostAfter(delay, std::move(task));
}

void BackendClient::RefreshStatus(ServerIndex server) {
  const auto server_pool = this->impl->FindOrAddPool(server);
  if (server_pool == nullptr) {
    return;
  }
  PoolRequest request;
  request.exchange = this->impl->table.NextAttempt();
  request.method = HttpMethod::kGet;
  request.path = "/v1/status";
  request.is_probe = true;
  request.reply_timeout = this->impl->settings.status_timeout;
  request.begin_before = this->impl->clock.Now() + request.reply_timeout;
  request.encode = [](MonotonicTime) { return std::string(); };
  request.accepts = [](const HttpResponse&) { return true; };
  request.on_outcome = [impl = this->impl, server](const PoolOutcome& outcome) {
    if (const auto* response = std::get_if<HttpResponse>(&outcome)) {
      impl->OnStatus(server, *response);
    }
  };
  server_pool->Send(std::move(request));
}

void BackendClient::SetPoolMode(ServerIndex server, PoolMode mode) {
  const auto record = this->impl->table.Record(server);
  auto server_pool = this->impl->FindOrAddPool(server);
  if (!record || server_pool == nullptr) {
    return;
  }
  if (server_pool->endpoint() != record->endpoint) {
    this->RemovePool(server);
    server_pool = this->impl->FindOrAddPool(server);
  }
  server_pool->SetMode(mode);
}

void BackendClient::RemovePool(ServerIndex server) {
  if (const auto server_pool = this->impl->TakePool(server)) {
    server_pool->SetMode(PoolMode::kRetired);
  }
}

void BackendClient::FetchPlatformVmList(
    const Endpoint& endpoint,
    std::function<void(PlatformVmListResult)> on_read) {
  auto connection =
      std::make_shared<HttpConnection>(this->impl->workers, endpoint);
  const Duration timeout = this->impl->settings.status_timeout;
  auto finish = [impl = this->impl, connection,
                 on_read](const ExchangeOutcome& outcome) {
    const auto* response = std::get_if<HttpResponse>(&outcome);
    on_read(response == nullptr ? PlatformVmListResult()
                                : impl->DecodeListIfChanged(*response));
  };
  connection->Connect(timeout, [connection, timeout, finish](bool connected) {
    if (!connected) {
      finish(ExchangeFailure::kNotSent);
      return;
    }
    connection->Exchange(HttpMethod::kGet, "/v1/vms", "", timeout, finish);
  });
}

std::vector<PoolSummary> BackendClient::PoolSummaries() const {
  std::vector<std::pair<ServerIndex, Impl::PoolPtr>> pools;
  {
    const RankedLock lock(this->impl->mutex);
    pools.assign(this->impl->pools.begin(), this->impl->pools.end());
  }
  std::vector<PoolSummary> summaries;
  summaries.reserve(pools.size());
  for (const auto& [server, server_pool] : pools) {
    summaries.push_back({server, server_pool->Counts()});
  }
  return summaries;
}

}  // namespace marigold
