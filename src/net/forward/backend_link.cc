#include "src/net/forward/backend_link.h"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <utility>

#include "src/core/settings_values.h"

namespace marigold {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

// A connect takes a few milliseconds. The kernel resends a lost SYN packet only
// after a second, and no request waits that long.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(250);

// An abandoned reply that arrives within this time frees the link. Pauses of a
// backend server are shorter.
constexpr Duration kAbandonedReplyTimeout = std::chrono::milliseconds(300);

// A header and the body after its first bytes.
std::array<asio::const_buffer, 2> BuffersOf(const std::string& head,
                                            const std::string& body,
                                            std::size_t body_offset) {
  return {asio::buffer(head), asio::buffer(body) + body_offset};
}

}  // namespace

BackendLink::BackendLink(std::shared_ptr<Strand> owning_strand,
                         std::shared_ptr<ReplyMemory> shared_reply_memory,
                         std::size_t max_reply_bytes,
                         Events link_events)
    : strand(std::move(owning_strand)),
      reply_memory(std::move(shared_reply_memory)),
      max_body_bytes(max_reply_bytes),
      events(std::move(link_events)),
      socket(strand->executor()) {}

void BackendLink::Open(const Endpoint& endpoint, LinkExchange first) {
  this->exchange = std::move(first);
  ErrorCode error;
  const auto address = asio::ip::make_address(endpoint.address, error);
  if (error) {
    this->strand->Post([self = this->shared_from_this()] {
      self->Fail(SendFailure::kNotConnected);
    });
    return;
  }
  this->SetTimer(kConnectTimeout);
  this->socket.async_connect(
      tcp::endpoint(address, endpoint.port),
      [self = this->shared_from_this()](const ErrorCode& failed) {
        self->OnConnected(failed);
      });
}

void BackendLink::OnConnected(const ErrorCode& error) {
  if (this->state == State::kClosed) {
    return;
  }
  if (error || !this->exchange) {
    this->Fail(SendFailure::kNotConnected);
    return;
  }
  ErrorCode ignored;
  this->socket.set_option(tcp::no_delay(true), ignored);
  this->socket.non_blocking(true, ignored);
  if (this->on_abandoned_end) {
    this->ReportAbandoned(true);
    this->exchange.reset();
    this->MarkFree();
    return;
  }
  LinkExchange first = std::move(*this->exchange);
  this->Begin(std::move(first));
}

void BackendLink::MarkFree() {
  if (this->timer) {
    this->strand->Cancel(*this->timer);
    this->timer.reset();
  }
  this->state = State::kFree;
  this->free_since = this->strand->Now();
  this->AwaitBytes();
  this->events.on_free(this->shared_from_this());
}

void BackendLink::ReportAbandoned(bool answered) {
  if (const auto report = std::exchange(this->on_abandoned_end, nullptr)) {
    report(answered);
  }
}

void BackendLink::Begin(LinkExchange next) {
  if (this->timer) {
    this->strand->Cancel(*this->timer);
    this->timer.reset();
  }
  this->exchange = std::move(next);
  this->carried_requests.Add(this->exchange->request);
  this->state = State::kBusy;
  if (this->exchange->on_begin) {
    this->exchange->on_begin();
  }
  this->is_written = false;
  this->skipped_replies = 0;
  this->BeginReply();
  this->Write();
  this->AwaitBytes();
}

void BackendLink::Write() {
  ErrorCode error;
  const std::string& request_bytes = this->exchange->request_bytes;
  const std::string* const body = this->exchange->request_body.get();
  const std::size_t sent =
      body != nullptr
          ? this->socket.write_some(BuffersOf(request_bytes, *body, 0), error)
          : this->socket.write_some(asio::buffer(request_bytes), error);
  const std::size_t total =
      request_bytes.size() + (body != nullptr ? body->size() : 0);
  if (!error && sent == total) {
    this->is_written = true;
    return;
  }
  if (error && error != asio::error::would_block) {
    // The pending read reports the end of the connection.
    return;
  }
  this->WriteRest(sent);
}

// The exchange may end before the write does, so the bytes are kept apart.
void BackendLink::WriteRest(std::size_t sent) {
  const std::string& request_bytes = this->exchange->request_bytes;
  const auto body = this->exchange->request_body
                        ? this->exchange->request_body
                        : std::make_shared<const std::string>();
  const std::size_t head_sent = std::min(sent, request_bytes.size());
  const auto head =
      std::make_shared<const std::string>(request_bytes.substr(head_sent));
  asio::async_write(this->socket, BuffersOf(*head, *body, sent - head_sent),
                    [self = this->shared_from_this(), head, body](
                        const ErrorCode& failed, std::size_t /*size*/) {
                      self->OnWritten(failed);
                    });
}

void BackendLink::OnWritten(const ErrorCode& error) {
  if (!error) {
    this->is_written = true;
  }
}

void BackendLink::Abandon(std::function<void(bool)> on_end) {
  if (this->state == State::kConnecting) {
    // Keep connecting: the next exchange can use the connection.
    this->on_abandoned_end = std::move(on_end);
    this->exchange->on_outcome = nullptr;
    return;
  }
  if (this->state != State::kBusy) {
    return;
  }
  this->state = State::kAbandoned;
  this->on_abandoned_end = std::move(on_end);
  this->exchange->on_outcome = nullptr;
  this->SetTimer(kAbandonedReplyTimeout);
}

void BackendLink::SetTimer(Duration delay) {
  this->timer = this->strand->RunAt(
      this->strand->Now() + delay, [weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) {
          self->timer.reset();
          self->Fail(self->state == State::kConnecting
                         ? SendFailure::kUnreachable
                         : SendFailure::kTimeout);
        }
      });
}

void BackendLink::Fail(SendFailure failure) {
  std::function<void(LinkOutcome)> done;
  if (this->exchange && this->state != State::kAbandoned) {
    done = std::move(this->exchange->on_outcome);
  }
  this->exchange.reset();
  this->ReportAbandoned(false);
  this->Close();
  if (done) {
    done(failure);
  }
}

void BackendLink::Close() {
  if (this->state == State::kClosed) {
    return;
  }
  this->state = State::kClosed;
  if (this->timer) {
    this->strand->Cancel(*this->timer);
    this->timer.reset();
  }
  this->exchange.reset();
  this->on_abandoned_end = nullptr;
  this->parser.reset();
  this->ReleaseReplyBytes();
  ErrorCode ignored;
  this->socket.close(ignored);
  this->events.on_closed(this->shared_from_this());
}

bool BackendLink::IsUsable(MonotonicTime now, Duration max_idle) const {
  return this->state == State::kFree &&
         now - this->free_since < std::min(this->idle_limit, max_idle);
}

}  // namespace marigold
