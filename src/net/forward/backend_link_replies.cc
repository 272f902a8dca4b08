#include <utility>

#include "src/core/settings_values.h"
#include "src/net/forward/backend_link.h"
#include "src/net/http/buffered_parse.h"

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

// A link that has been free for this fraction of the server's idle timeout is
// no longer used.
constexpr double kIdleTimeoutFraction = 0.8;

// The first status code that HTTP defines. A server in trouble may send a lower
// one, such as 000, which is no reply at all.
constexpr unsigned kMinStatus = 100;
// The server would speak another protocol from here on, which was not asked
// for.
constexpr unsigned kStatusSwitchingProtocols = 101;
constexpr unsigned kMinFinalStatus = 200;

bool IsValidStatus(unsigned status) {
  return status >= kMinStatus && status != kStatusSwitchingProtocols;
}

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

void BackendLink::BeginReply() {
  this->ReleaseReplyBytes();
  this->parser.emplace();
  this->parser->eager(true);
  this->parser->body_limit(this->max_body_bytes);
  this->parser->header_limit(kMaxHeaderBytes);
  this->parser->skip(this->exchange->is_head);
  this->CountReplyBytes(this->buffer.size());
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
    if (!this->CountReplyBytes(size)) {
      return false;
    }
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
  if (detail::ParseBuffered(*this->parser, this->buffer, kMaxHeaderBytes)) {
    this->Fail(SendFailure::kBadAnswer);
  } else if (this->parser->is_done()) {
    this->OnReply();
  } else {
    this->AwaitBytes();
  }
}

void BackendLink::OnReadError(const ErrorCode& error) {
  const bool was_free = this->state == State::kFree;
  if (!was_free && error == asio::error::eof && this->parser) {
    // Bytes that arrived before the end of the stream belong to the reply.
    ErrorCode parse_error =
        detail::ParseBuffered(*this->parser, this->buffer, kMaxHeaderBytes);
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
  if (!IsValidStatus(reply.result_int())) {
    this->Fail(SendFailure::kBadAnswer);
    return;
  }
  const bool is_interim = reply.result_int() < kMinFinalStatus;
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
  if (is_expected && this->exchange->on_reply) {
    this->exchange->on_reply(reply);
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

}  // namespace marigold
