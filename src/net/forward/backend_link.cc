#include "src/net/forward/backend_link.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <utility>

#include "src/core/settings_values.h"

namespace marigold {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr std::size_t kReadBufferBytes = 4 * 1024;
// The bytes that are read before they are parsed. A server that sends faster
// than they are read must not keep the strand busy.
constexpr std::size_t kMaxReceiveBytes = 64 * 1024;
constexpr std::uint32_t kMaxHeaderBytes = 64 * 1024;

// A server sends a late copy of an answer now and then. One that sends more
// replies to other requests than this has lost the order of its replies.
constexpr std::size_t kMaxSkippedReplies = 4;

// A connect takes a few milliseconds. The kernel resends a lost SYN packet only
// after a second, and no request waits that long.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(250);

// An abandoned reply that arrives within this time frees the link. Pauses of a
// backend server are shorter.
constexpr Duration kAbandonedReplyTimeout = std::chrono::milliseconds(300);

// A link that has been free for this fraction of the server's idle timeout is
// no longer used.
constexpr double kIdleTimeoutFraction = 0.8;

// Returns the seconds of a Keep-Alive field such as "timeout=5", or nothing if
// the field states no timeout.
std::optional<std::int64_t> ParseKeepAliveTimeout(std::string_view field) {
  const std::string_view prefix = "timeout=";
  const std::size_t at = field.find(prefix);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view rest = field.substr(at + prefix.size());
  return ParseWholeNumber(rest.substr(0, rest.find_first_of(", ;")));
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

void BackendLink::BeginReply() {
  this->ReleaseReplyBytes();
  this->parser.emplace();
  this->parser->eager(true);
  this->parser->body_limit(this->max_body_bytes);
  this->parser->header_limit(kMaxHeaderBytes);
  this->parser->skip(this->exchange->is_head);
}

bool BackendLink::CountReplyBytes(std::size_t bytes) {
  if (!this->reply_memory->TryAdd(bytes)) {
    this->Fail(SendFailure::kBadAnswer);
    return false;
  }
  this->counted_bytes += bytes;
  return true;
}

void BackendLink::ReleaseReplyBytes() {
  this->reply_memory->Release(std::exchange(this->counted_bytes, 0));
}

void BackendLink::Write() {
  ErrorCode error;
  const std::string& request_bytes = this->exchange->request_bytes;
  const std::size_t sent =
      this->socket.write_some(asio::buffer(request_bytes), error);
  if (!error && sent == request_bytes.size()) {
    this->is_written = true;
    return;
  }
  if (error && error != asio::error::would_block) {
    // The pending read reports the end of the connection.
    return;
  }
  auto rest = std::make_shared<std::string>(request_bytes.substr(sent));
  asio::async_write(this->socket, asio::buffer(*rest),
                    [self = this->shared_from_this(), rest](
                        const ErrorCode& failed, std::size_t /*size*/) {
                      self->OnWritten(failed);
                    });
}

void BackendLink::OnWritten(const ErrorCode& error) {
  if (!error) {
    this->is_written = true;
  }
}

void BackendLink::AwaitBytes() {
  if (this->is_wait_pending || this->state == State::kClosed) {
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

void BackendLink::OnReadable(const ErrorCode& error) {
  if (this->state == State::kClosed) {
    return;
  }
  if (error) {
    this->OnReadError(error);
    return;
  }
  if (this->Receive()) {
    this->Parse();
  }
}

bool BackendLink::Receive() {
  std::size_t received = 0;
  while (received < kMaxReceiveBytes) {
    ErrorCode error;
    const std::size_t size =
        this->socket.read_some(this->buffer.prepare(kReadBufferBytes), error);
    this->buffer.commit(size);
    received += size;
    if (error == asio::error::would_block) {
      return true;
    }
    if (error) {
      this->OnReadError(error);
      return false;
    }
    if (size < kReadBufferBytes) {
      return true;
    }
  }
  return true;
}

void BackendLink::Parse() {
  if (this->state == State::kFree || !this->parser) {
    // Bytes that arrive on a free link belong to no request.
    if (this->buffer.size() > 0) {
      this->Close();
    } else {
      this->AwaitBytes();
    }
    return;
  }
  ErrorCode error;
  while (this->buffer.size() > 0 && !this->parser->is_done()) {
    const std::size_t size = this->parser->put(this->buffer.data(), error);
    this->buffer.consume(size);
    if (!this->CountReplyBytes(size)) {
      return;
    }
    if (error == http::error::need_more) {
      break;
    }
    if (error) {
      this->Fail(SendFailure::kBadAnswer);
      return;
    }
  }
  if (this->parser->is_done()) {
    this->OnReply();
  } else {
    this->AwaitBytes();
  }
}

void BackendLink::OnReadError(const ErrorCode& error) {
  const bool was_free = this->state == State::kFree;
  if (!was_free && error == asio::error::eof && this->parser) {
    // Bytes that arrived before the end of the stream belong to the reply.
    ErrorCode parse_error;
    while (this->buffer.size() > 0 && !this->parser->is_done()) {
      this->buffer.consume(this->parser->put(this->buffer.data(), parse_error));
      if (parse_error) {
        break;
      }
    }
    if (!parse_error && this->parser->is_header_done() &&
        !this->parser->is_done()) {
      this->parser->put_eof(parse_error);
    }
    if (!parse_error && this->parser->is_done()) {
      this->must_close = true;
      this->OnReply();
      return;
    }
  }
  this->Fail(SendFailure::kConnectionLost);
}

void BackendLink::OnReply() {
  BackendReply reply = this->parser->release();
  this->parser.reset();
  this->ReleaseReplyBytes();
  const bool is_interim = reply.result_int() < 200;
  const bool is_expected =
      !is_interim && this->exchange && this->exchange->is_expected(reply);
  if (!is_expected && this->socket.is_open()) {
    // An interim (1xx) reply leaves the connection usable.
    this->must_close = this->must_close || !is_interim;
    if (++this->skipped_replies > kMaxSkippedReplies) {
      this->Fail(SendFailure::kBadAnswer);
      return;
    }
    this->BeginReply();
    this->Parse();
    return;
  }
  const bool is_reusable = is_expected && reply.keep_alive() &&
                           this->buffer.size() == 0 && this->is_written &&
                           !this->must_close &&
                           (reply.has_content_length() || reply.chunked() ||
                            this->exchange->is_head);
  this->UpdateIdleLimit(reply);
  const bool was_abandoned = this->state == State::kAbandoned;
  auto done = std::move(this->exchange->on_outcome);
  this->exchange.reset();
  const auto self = this->shared_from_this();
  this->ReportAbandoned(true);
  if (is_reusable) {
    this->MarkFree();
  } else {
    this->Close();
  }
  if (!was_abandoned && done) {
    done(is_expected ? LinkOutcome(std::move(reply))
                     : LinkOutcome(SendFailure::kBadAnswer));
  }
}

void BackendLink::UpdateIdleLimit(const BackendReply& reply) {
  const auto field = reply[http::field::keep_alive];
  if (const auto seconds =
          ParseKeepAliveTimeout(std::string_view(field.data(), field.size()))) {
    this->idle_limit = Duration(static_cast<Duration::rep>(
        static_cast<double>(Duration(std::chrono::seconds(*seconds)).count()) *
        kIdleTimeoutFraction));
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
