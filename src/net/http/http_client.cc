#include "src/net/http/http_client.h"

#include <boost/asio/dispatch.hpp>
#include <string>
#include <utility>

#include "src/net/http/http_client_session.h"

namespace marigold {

namespace asio = boost::asio;

struct HttpConnection::Impl : detail::HttpClientSession {
  using HttpClientSession::HttpClientSession;
};

HttpConnection::HttpConnection(WorkerPool& pool, Endpoint endpoint)
    : impl(std::make_shared<Impl>(pool, std::move(endpoint))) {}

HttpConnection::~HttpConnection() {
  this->Close();
}

void HttpConnection::SetIdleClosedHandler(std::function<void()> on_closed) {
  this->impl->SetIdleClosedHandler(std::move(on_closed));
}

void HttpConnection::Connect(Duration timeout,
                             std::function<void(bool)> on_connected) {
  asio::dispatch(
      this->impl->executor(),
      [impl = this->impl, timeout, done = std::move(on_connected)]() mutable {
        impl->Connect(timeout, std::move(done));
      });
}

void HttpConnection::Exchange(HttpMethod method,
                              std::string_view path,
                              std::string body,
                              Duration timeout,
                              std::function<void(ExchangeOutcome)> on_outcome) {
  asio::dispatch(this->impl->executor(),
                 [impl = this->impl, method, path = std::string(path),
                  body = std::move(body), timeout,
                  done = std::move(on_outcome)]() mutable {
                   impl->Begin(method, path, body, timeout, std::move(done));
                 });
}

void HttpConnection::Close() {
  asio::dispatch(this->impl->executor(),
                 [impl = this->impl] { impl->Close(); });
}

bool HttpConnection::is_reusable() const {
  return this->impl->is_reusable();
}

bool HttpConnection::was_refused() const {
  return this->impl->was_refused();
}

}  // namespace marigold
