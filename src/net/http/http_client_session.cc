#include "src/net/http/http_client_session.h"

#include <fmt/format.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/strand.hpp>
#include <utility>

#include "src/net/http/buffered_parse.h"

namespace marigold::detail {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t kMaxResponseHeaderBytes = 8 * 1024;
constexpr std::size_t kMaxResponseBodyBytes = 4 * 1024 * 1024;
constexpr std::size_t kReadBufferBytes = 4 * 1024;
// A larger read buffer is shrunk when the connection becomes idle.
constexpr std::size_t kMaxIdleBufferBytes = 64 * 1024;

std::string EncodeRequest(HttpMethod method,
                          std::string_view path,
                          std::string_view host,
                          std::string_view body) {
  if (method == HttpMethod::kPost) {
    return fmt::format(
        "POST {} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\n"
        "Content-Length: {}\r\n\r\n{}",
        path, host, body.size(), body);
  }
  return fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\n\r\n", path, host);
}

}  // namespace

HttpClientSession::HttpClientSession(WorkerPool& pool, Endpoint remote)
    : endpoint(std::move(remote)),
      host(ToString(endpoint)),
      socket(asio::make_strand(pool.context())),
      timer(socket.get_executor()),
      buffer(kMaxResponseHeaderBytes + kMaxResponseBodyBytes) {}

void HttpClientSession::Connect(Duration timeout,
                                std::function<void(bool)> done) {
  ErrorCode error;
  const auto address = asio::ip::make_address(this->endpoint.address, error);
  if (error || this->state != State::kNew) {
    done(false);
    return;
  }
  this->state = State::kConnecting;
  this->timer.Set(*this, timeout);
  this->socket.async_connect(
      asio::ip::tcp::endpoint(address, this->endpoint.port),
      [self = this->shared_from_this(), done = std::move(done)](
          const ErrorCode& failure) { self->OnConnected(failure, done); });
}

void HttpClientSession::OnConnected(const ErrorCode& error,
                                    const std::function<void(bool)>& done) {
  if (error || this->state != State::kConnecting) {
    this->was_connect_refused = error == asio::error::connection_refused;
    this->CloseSocket();
    done(false);
    return;
  }
  ErrorCode ignored;
  this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  this->socket.non_blocking(true, ignored);
  this->MakeIdle();
  this->Read();
  done(true);
}

void HttpClientSession::Begin(HttpMethod method,
                              const std::string& path,
                              const std::string& body,
                              Duration timeout,
                              std::function<void(ExchangeOutcome)> done) {
  if (this->state != State::kIdle) {
    done(ExchangeFailure::kNotSent);
    return;
  }
  this->state = State::kBusy;
  this->is_open_and_idle = false;
  this->on_outcome = std::move(done);
  this->parser.emplace();
  this->parser->header_limit(kMaxResponseHeaderBytes);
  this->parser->body_limit(kMaxResponseBodyBytes);
  this->parser->eager(true);
  this->outgoing = EncodeRequest(method, path, this->host, body);
  this->timer.Set(*this, timeout);
  this->written_bytes = 0;
  this->Write();
}

void HttpClientSession::Write() {
  ErrorCode error;
  while (!this->is_written() && !error) {
    this->written_bytes += this->socket.write_some(
        asio::buffer(this->outgoing) + this->written_bytes, error);
  }
  if (error == asio::error::would_block) {
    this->socket.async_wait(
        asio::ip::tcp::socket::wait_write,
        [self = this->shared_from_this()](const ErrorCode& failure) {
          self->OnWritable(failure);
        });
  } else if (error) {
    this->OnConnectionLost();
  }
}

void HttpClientSession::OnWritable(const ErrorCode& error) {
  if (this->state != State::kBusy) {
    return;
  }
  if (error) {
    this->OnConnectionLost();
  } else {
    this->Write();
  }
}

void HttpClientSession::Read() {
  this->socket.async_read_some(this->buffer.prepare(kReadBufferBytes),
                               [self = this->shared_from_this()](
                                   const ErrorCode& error, std::size_t size) {
                                 self->OnRead(error, size);
                               });
}

void HttpClientSession::OnRead(const ErrorCode& error, std::size_t size) {
  if (this->state == State::kClosed) {
    return;
  }
  this->buffer.commit(size);
  if (this->state == State::kIdle) {
    this->CloseSocket();
    if (this->on_idle_closed) {
      this->on_idle_closed();
    }
    return;
  }
  if (error) {
    this->OnReadError(error);
    return;
  }
  this->Parse();
}

void HttpClientSession::OnReadError(const ErrorCode& error) {
  this->is_read_closed = true;
  ErrorCode incomplete;
  if (error == asio::error::eof && this->parser->got_some()) {
    this->parser->put_eof(incomplete);
    if (!incomplete && this->parser->is_done()) {
      this->CompleteExchange();
      return;
    }
  }
  this->OnConnectionLost();
}

void HttpClientSession::Parse() {
  if (ParseBuffered(*this->parser, this->buffer, kMaxResponseHeaderBytes)) {
    this->EndWithFailure(ExchangeFailure::kBadResponse);
  } else if (this->parser->is_done()) {
    this->CompleteExchange();
  } else {
    this->Read();
  }
}

void HttpClientSession::CompleteExchange() {
  // Bytes after the end of the response belong to no request.
  const bool is_connection_reusable =
      this->parser->get().keep_alive() && !this->is_read_closed &&
      this->is_written() && this->buffer.size() == 0;
  http::response<http::string_body> message = this->parser->release();
  HttpResponse response;
  response.status = static_cast<int>(message.result_int());
  response.body = std::move(message.body());
  if (is_connection_reusable) {
    this->MakeIdle();
    this->Read();
  } else {
    this->CloseSocket();
  }
  this->ReportOutcome(std::move(response));
}

void HttpClientSession::MakeIdle() {
  this->state = State::kIdle;
  this->is_open_and_idle = true;
  if (this->buffer.capacity() > kMaxIdleBufferBytes) {
    this->buffer.shrink_to_fit();
  }
}

bool HttpClientSession::has_deadline() const {
  return this->state == State::kConnecting || this->state == State::kBusy;
}

void HttpClientSession::OnDeadline() {
  if (this->state == State::kConnecting) {
    this->CloseSocket();
  } else {
    this->EndWithFailure(ExchangeFailure::kTimeout);
  }
}

void HttpClientSession::OnConnectionLost() {
  this->EndWithFailure(this->written_bytes == 0 ? ExchangeFailure::kNotSent
                                                : ExchangeFailure::kLost);
}

void HttpClientSession::EndWithFailure(ExchangeFailure failure) {
  this->CloseSocket();
  this->ReportOutcome(failure);
}

void HttpClientSession::CloseSocket() {
  this->state = State::kClosed;
  this->is_open_and_idle = false;
  this->timer.Cancel();
  ErrorCode ignored;
  this->socket.close(ignored);
}

void HttpClientSession::Close() {
  const bool was_busy = this->state == State::kBusy;
  this->CloseSocket();
  if (was_busy) {
    this->ReportOutcome(ExchangeFailure::kClosed);
  }
}

void HttpClientSession::ReportOutcome(ExchangeOutcome outcome) {
  auto report = std::exchange(this->on_outcome, nullptr);
  report(std::move(outcome));
}

void HttpClientSession::SetIdleClosedHandler(std::function<void()> on_closed) {
  this->on_idle_closed = std::move(on_closed);
}

asio::any_io_executor HttpClientSession::executor() {
  return this->socket.get_executor();
}

}  // namespace marigold::detail
