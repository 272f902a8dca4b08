#include "src/net/forward/caller_session.h"

#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/write.hpp>
#include <utility>

#include "src/net/http/buffered_parse.h"

namespace marigold {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr std::size_t kReadBufferBytes = 4 * 1024;

// A caller that was answered before its whole request arrived may still send
// this many bytes, which are dropped. Closing earlier would reset the
// connection before the caller has read the answer.
constexpr std::size_t kMaxDroppedBytes = 1024 * 1024;
constexpr Duration kLingerTimeout = std::chrono::seconds(1);

// Timeout for the arrival of a request body after `header_timeout`, and for the
// write of an answer.
constexpr Duration kTransferTimeout = std::chrono::seconds(10);

constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kBodyTooLarge = 413;
constexpr int kHeaderTooLarge = 431;

// Returns the round trip time that the kernel measured during the handshake.
std::optional<Duration> ReadRoundTrip(int descriptor) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (::getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
      info.tcpi_rtt == 0) {
    return std::nullopt;
  }
  return Duration(info.tcpi_rtt);
}

constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

}  // namespace

CallerSession::CallerSession(
    std::shared_ptr<Strand> owning_strand,
    tcp::socket accepted,
    std::shared_ptr<const CallerHandlers> caller_handlers,
    std::shared_ptr<const ShutdownState> listener_shutdown_state)
    : strand(std::move(owning_strand)),
      socket(std::move(accepted)),
      handlers(std::move(caller_handlers)),
      shutdown_state(std::move(listener_shutdown_state)) {}

CallerSession::~CallerSession() {
  this->handlers->memory->Release(this);
}

void CallerSession::Start() {
  ErrorCode ignored;
  this->socket.set_option(tcp::no_delay(true), ignored);
  this->socket.non_blocking(true, ignored);
  this->measured_round_trip = ReadRoundTrip(this->socket.native_handle());
  this->BeginRequest();
}

void CallerSession::BeginRequest() {
  this->state = State::kIdle;
  this->state_began_at = this->strand->Now();
  this->handlers->memory->Release(this);
  this->limits = this->handlers->limits();
  this->has_sent_continue = false;
  this->is_head = false;
  this->parser.emplace();
  this->parser->eager(true);
  this->parser->header_limit(
      static_cast<std::uint32_t>(this->limits.header_bytes));
  this->parser->body_limit(this->limits.body_bytes);
  if (this->buffer.size() > 0) {
    this->Parse();
  } else if (this->is_read_closed) {
    this->Close();
  } else if (this->shutdown_state->is_draining) {
    this->CloseIfIdle();
    this->AwaitBytes();
  } else {
    this->AwaitBytes();
  }
}

void CallerSession::AwaitBytes() {
  if (this->is_wait_pending || this->state == State::kClosed ||
      this->is_read_closed) {
    return;
  }
  this->is_wait_pending = true;
  this->socket.async_wait(
      tcp::socket::wait_read,
      [self = this->shared_from_this()](const ErrorCode& error) {
        self->is_wait_pending = false;
        self->OnReadable(error);
      });
}

void CallerSession::OnReadable(const ErrorCode& error) {
  if (this->state == State::kClosed) {
    return;
  }
  if (error || !this->Receive()) {
    this->is_read_closed = true;
    if (this->state == State::kHandling) {
      this->handlers->on_disconnected(this->shared_from_this());
    }
    if (this->state != State::kWriting) {
      this->Close();
    }
    return;
  }
  if (this->state == State::kLingering) {
    this->dropped_bytes += this->buffer.size();
    this->buffer.clear();
    if (this->dropped_bytes > kMaxDroppedBytes) {
      this->Close();
    } else {
      this->AwaitBytes();
    }
    return;
  }
  if (this->state == State::kIdle || this->state == State::kReading) {
    this->Parse();
    return;
  }
  // A pipelined request waits in the buffer. Nothing more is read until the
  // answer has been written, so the buffer does not grow.
}

bool CallerSession::Receive() {
  ErrorCode error;
  const std::size_t size =
      this->socket.read_some(this->buffer.prepare(kReadBufferBytes), error);
  this->buffer.commit(size);
  return !error || error == asio::error::would_block;
}

void CallerSession::Parse() {
  if (this->state == State::kIdle) {
    this->state = State::kReading;
    this->state_began_at = this->strand->Now();
  }
  ErrorCode error = detail::ParseBuffered(*this->parser, this->buffer,
                                          this->limits.header_bytes);
  if (error == http::error::header_limit) {
    this->Refuse(kHeaderTooLarge, "the header is too large");
    return;
  }
  if (error == http::error::body_limit) {
    this->Refuse(kBodyTooLarge, "the body is too large");
    return;
  }
  if (error) {
    this->Refuse(kBadRequest, error.message());
    return;
  }
  const bool is_done = this->parser->is_done();
  if (!this->HoldMemory(this->RequestBytes(), !is_done)) {
    this->RefuseIncomplete("too many large requests at the same time");
    return;
  }
  if (is_done) {
    this->state = State::kHandling;
    CallerRequest request = this->parser->release();
    this->keeps_alive = request.keep_alive();
    this->is_head = request.method() == http::verb::head;
    this->AwaitBytes();
    this->handlers->on_request(this->shared_from_this(), std::move(request));
    return;
  }
  if (this->parser->is_header_done() && !this->has_sent_continue &&
      this->parser->get()[http::field::expect] == "100-continue") {
    this->has_sent_continue = true;
    // The send buffer is empty at this point, so the write does not block.
    asio::write(this->socket, asio::buffer(kContinue), error);
  }
  this->AwaitBytes();
}

void CallerSession::CloseIfIdle() {
  ErrorCode error;
  if (this->state == State::kIdle && this->buffer.size() == 0 &&
      this->socket.available(error) == 0) {
    this->Close();
  }
}

void CallerSession::CheckTimeouts(MonotonicTime now) {
  const Duration time_in_state = now - this->state_began_at;
  switch (this->state) {
    case State::kIdle:
      if (time_in_state > this->limits.idle_timeout) {
        this->CloseIfIdle();
      }
      return;
    case State::kReading: {
      const bool has_header = this->parser->is_header_done();
      if (time_in_state > (has_header
                               ? this->limits.header_timeout + kTransferTimeout
                               : this->limits.header_timeout)) {
        this->Refuse(kRequestTimeout, "the request did not arrive in time");
      }
      return;
    }
    case State::kWriting:
      if (time_in_state > kTransferTimeout) {
        this->Close();
      }
      return;
    case State::kLingering:
      if (time_in_state > kLingerTimeout) {
        this->Close();
      }
      return;
    case State::kHandling:
    case State::kClosed:
      return;
  }
}

bool CallerSession::MustClose() const {
  return !this->keeps_alive || this->shutdown_state->is_keep_alive_disabled;
}

void CallerSession::Close() {
  if (this->state == State::kClosed) {
    return;
  }
  this->state = State::kClosed;
  this->handlers->memory->Release(this);
  ErrorCode ignored;
  this->socket.close(ignored);
  this->handlers->on_closed(this);
}

}  // namespace marigold
