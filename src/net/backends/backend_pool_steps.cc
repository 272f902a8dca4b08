#include <optional>
#include <utility>

#include "src/net/backends/backend_pool.h"
#include "src/wire/backend_json.h"

namespace marigold {

namespace {

ExchangeEnd ToExchangeEnd(const ExchangeOutcome& outcome, bool stays_open) {
  if (std::holds_alternative<HttpResponse>(outcome)) {
    return stays_open ? ExchangeEnd::kReplied : ExchangeEnd::kRepliedAndClosed;
  }
  return std::get<ExchangeFailure>(outcome) == ExchangeFailure::kTimeout
             ? ExchangeEnd::kSilent
             : ExchangeEnd::kBroken;
}

// `newer_replied` is true if the server replied on another connection to a
// request that was sent later. The connection is then at fault, not the server.
AttemptFailure ToAttemptFailure(ExchangeFailure failure, bool newer_replied) {
  switch (failure) {
    case ExchangeFailure::kNotSent:
      return AttemptFailure::kNotSent;
    case ExchangeFailure::kTimeout:
      return newer_replied ? AttemptFailure::kSilent : AttemptFailure::kTimeout;
    case ExchangeFailure::kBadResponse:
      return AttemptFailure::kBadReply;
    case ExchangeFailure::kLost:
    case ExchangeFailure::kClosed:
      return AttemptFailure::kConnectionLost;
  }
  return AttemptFailure::kConnectionLost;
}

}  // namespace

void BackendPool::RunStep(const OpenConnection& step) {
  auto connection =
      std::make_shared<HttpConnection>(this->workers, this->endpoint());
  const PooledConnectionId id = step.connection;
  connection->SetIdleClosedHandler([weak = this->weak_from_this(), id] {
    if (const auto self = weak.lock()) {
      self->OnIdleClosed(id);
    }
  });
  {
    const RankedLock lock(this->mutex);
    this->connections[id] = connection;
  }
  connection->Connect(this->settings.connect_timeout,
                      [self = this->shared_from_this(), id](bool connected) {
                        self->OnConnectEnded(id, connected);
                      });
}

void BackendPool::OnIdleClosed(PooledConnectionId id) {
  this->TakeConnection(id);
  this->ApplyEvent([&](ConnectionPool& state, MonotonicTime now) {
    return state.OnIdleClosed(now, id);
  });
}

void BackendPool::OnConnectEnded(PooledConnectionId id, bool connected) {
  if (connected) {
    this->ApplyEvent([&](ConnectionPool& state, MonotonicTime now) {
      return state.OnConnected(now, id);
    });
    return;
  }
  const ConnectionPtr connection = this->TakeConnection(id);
  if (connection == nullptr) {
    return;
  }
  const bool was_refused = connection->was_refused();
  bool is_unreachable = false;
  this->ApplyEvent([&](ConnectionPool& state, MonotonicTime now) {
    ConnectionPool::Steps steps = state.OnConnectFailed(now, id, was_refused);
    is_unreachable = was_refused || state.is_unreachable();
    return steps;
  });
  if (is_unreachable) {
    this->events.on_unreachable();
  }
}

void BackendPool::RunStep(const BeginExchange& step) {
  const ConnectionPtr connection = this->FindConnection(step.connection);
  std::optional<PoolRequest> request = this->TakeRequestContent(step.exchange);
  if (connection == nullptr || !request) {
    // The exchange was cancelled before it began.
    this->OnExchangeEnded(step.connection, ExchangeEnd::kUnused);
    return;
  }
  connection->Exchange(
      request->method, request->path, request->encode(this->clock.Now()),
      request->reply_timeout,
      [self = this->shared_from_this(), connection, step,
       accepts = std::move(request->accepts)](ExchangeOutcome outcome) {
        self->OnOutcome(step, *connection, accepts, std::move(outcome));
      });
}

void BackendPool::OnOutcome(
    const BeginExchange& step,
    const HttpConnection& connection,
    const std::function<bool(const HttpResponse&)>& accepts,
    ExchangeOutcome outcome) {
  if (const auto* response = std::get_if<HttpResponse>(&outcome)) {
    if (!accepts(*response)) {
      outcome = ExchangeFailure::kBadResponse;
    }
  }
  std::optional<PoolRequest> request;
  bool newer_replied = false;
  {
    const RankedLock lock(this->mutex);
    newer_replied = this->connection_pool.HasNewerReply(step.connection);
    const auto position = this->requests.find(step.exchange);
    if (position != this->requests.end()) {
      request = std::move(position->second);
      this->requests.erase(position);
    }
  }
  this->OnExchangeEnded(step.connection,
                        ToExchangeEnd(outcome, connection.is_reusable()));
  if (!request) {
    return;
  }
  if (auto* response = std::get_if<HttpResponse>(&outcome)) {
    request->on_outcome(std::move(*response));
  } else {
    request->on_outcome(
        ToAttemptFailure(std::get<ExchangeFailure>(outcome), newer_replied));
  }
}

void BackendPool::RunStep(const BeginProbe& step) {
  this->BeginPoolExchange(step.connection, HttpMethod::kGet, "/v1/status", "",
                          [this](const HttpResponse& response) {
                            this->events.on_status(response);
                          });
}

void BackendPool::RunStep(const BeginCancel& step) {
  this->BeginPoolExchange(step.connection, HttpMethod::kPost, "/v1/cancel",
                          EncodeCancel(step.exchange),
                          [](const HttpResponse&) {});
}

void BackendPool::BeginPoolExchange(
    PooledConnectionId id,
    HttpMethod method,
    std::string_view path,
    std::string body,
    std::function<void(const HttpResponse&)> on_response) {
  const ConnectionPtr connection = this->FindConnection(id);
  if (connection == nullptr) {
    this->OnExchangeEnded(id, ExchangeEnd::kBroken);
    return;
  }
  connection->Exchange(
      method, path, std::move(body), this->settings.probe_timeout,
      [self = this->shared_from_this(), connection, id,
       on_response](const ExchangeOutcome& outcome) {
        self->OnExchangeEnded(
            id, ToExchangeEnd(outcome, connection->is_reusable()));
        if (const auto* response = std::get_if<HttpResponse>(&outcome)) {
          on_response(*response);
        }
      });
}

void BackendPool::RunStep(const CloseConnection& step) {
  if (const ConnectionPtr connection = this->TakeConnection(step.connection)) {
    connection->Close();
  }
}

void BackendPool::RunStep(const FailExchange& step) {
  if (auto request = this->TakeRequest(step.exchange)) {
    request->on_outcome(step.failure);
  }
}

void BackendPool::RunStep(const ReportRestart& /*step*/) {
  this->events.on_restarted();
}

void BackendPool::OnExchangeEnded(PooledConnectionId id, ExchangeEnd end) {
  if (end != ExchangeEnd::kReplied && end != ExchangeEnd::kUnused) {
    this->TakeConnection(id);
  }
  this->ApplyEvent([&](ConnectionPool& state, MonotonicTime now) {
    return state.OnExchangeEnded(now, id, end);
  });
}

}  // namespace marigold
