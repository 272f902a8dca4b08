#include "src/net/http/http_session.h"

#include <fmt/format.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "src/net/http/buffered_parse.h"
#include "src/net/http/http_text.h"

namespace marigold::detail {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t kReadBufferBytes = 4 * 1024;
// A client that is refused before its whole request arrived may still send this
// many bytes, which are dropped. Closing earlier would reset the connection
// before the client has read the response.
constexpr std::size_t kMaxDroppedBytes = 1024 * 1024;
constexpr Duration kLingerTimeout = std::chrono::seconds(1);

}  // namespace

HttpSession::HttpSession(asio::ip::tcp::socket accepted,
                         std::shared_ptr<HttpServerShared> server_shared,
                         std::function<void(HttpSession*)> on_closed)
    : socket(std::move(accepted)),
      shared(std::move(server_shared)),
      closed_handler(std::move(on_closed)),
      timer(socket.get_executor()),
      buffer(shared->limits.header_bytes + kReadBufferBytes) {}

HttpSession::~HttpSession() {
  this->ReleaseBody();
  this->NotifyClosed();
}

void HttpSession::Start() {
  asio::dispatch(
      this->socket.get_executor(), [self = this->shared_from_this()] {
        ErrorCode ignored;
        self->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        self->AwaitRequest();
      });
}

void HttpSession::StartRefusing() {
  asio::dispatch(this->socket.get_executor(), [self =
                                                   this->shared_from_this()] {
    self->is_request_complete = false;
    self->Refuse(kHttpUnavailable, Reason::kOverloaded, "too many connections");
  });
}

void HttpSession::Drain() {
  asio::post(this->socket.get_executor(), [self = this->shared_from_this()] {
    if (self->state == State::kIdle && !self->has_bytes_to_read()) {
      self->Close();
    }
  });
}

void HttpSession::AwaitRequest() {
  this->state = State::kIdle;
  this->is_request_complete = false;
  this->parser.emplace();
  this->parser->header_limit(
      static_cast<std::uint32_t>(this->shared->limits.header_bytes));
  this->parser->body_limit(this->shared->limits.body_bytes);
  if (this->buffer.size() > 0) {
    this->state = State::kReading;
    this->timer.Set(*this, this->shared->limits.read_timeout);
    this->Parse();
    return;
  }
  if (this->shared->is_draining && !this->has_bytes_to_read()) {
    this->Close();
    return;
  }
  this->timer.Set(*this, this->shared->limits.idle_timeout);
  this->Read();
}

void HttpSession::Read() {
  this->socket.async_read_some(this->buffer.prepare(kReadBufferBytes),
                               [self = this->shared_from_this()](
                                   const ErrorCode& error, std::size_t size) {
                                 self->OnRead(error, size);
                               });
}

void HttpSession::OnRead(const ErrorCode& error, std::size_t size) {
  if (this->state == State::kLingering) {
    this->dropped_bytes += size;
    if (error || this->dropped_bytes > kMaxDroppedBytes) {
      this->Close();
    } else {
      this->Read();
    }
    return;
  }
  if (this->state != State::kIdle && this->state != State::kReading) {
    return;
  }
  if (error) {
    // The client has closed the connection, possibly in the middle of a
    // request.
    this->Close();
    return;
  }
  this->buffer.commit(size);
  if (this->state == State::kIdle) {
    this->state = State::kReading;
    this->timer.Set(*this, this->shared->limits.read_timeout);
  }
  this->Parse();
}

void HttpSession::Parse() {
  bool is_refused = false;
  const ErrorCode error =
      ParseBuffered(*this->parser, this->buffer,
                    this->shared->limits.header_bytes, [&is_refused, this] {
                      is_refused = !this->AcceptHeader();
                      return !is_refused;
                    });
  if (is_refused) {
    return;
  }
  if (error) {
    this->RefuseMalformed(error);
  } else if (this->parser->is_done()) {
    this->Handle();
  } else {
    this->Read();
  }
}

bool HttpSession::AcceptHeader() {
  if (!this->ReserveBody()) {
    this->Refuse(kHttpUnavailable, Reason::kOverloaded,
                 "too many requests arrive at the same time");
    return false;
  }
  this->SendContinue();
  return true;
}

// The send buffer is empty at this point, so the write does not block.
void HttpSession::SendContinue() {
  if (this->parser->get()[http::field::expect] == "100-continue") {
    ErrorCode ignored;
    asio::write(this->socket,
                asio::buffer(std::string_view("HTTP/1.1 100 Continue\r\n\r\n")),
                ignored);
  }
}

bool HttpSession::ReserveBody() {
  const auto length = this->parser->content_length();
  const std::size_t assumed_length =
      this->parser->chunked() ? this->shared->limits.body_bytes : 0;
  this->reserved_body_bytes =
      length ? static_cast<std::size_t>(*length) : assumed_length;
  const std::size_t reserved_before =
      this->shared->body_bytes.fetch_add(this->reserved_body_bytes);
  return this->reserved_body_bytes == 0 ||
         reserved_before + this->reserved_body_bytes <=
             this->shared->limits.total_body_bytes;
}

void HttpSession::ReleaseBody() {
  this->shared->body_bytes -= std::exchange(this->reserved_body_bytes, 0);
}

void HttpSession::Handle() {
  this->state = State::kHandling;
  this->is_request_complete = true;
  const bool keep_alive = this->parser->get().keep_alive();
  HttpRequest request = ToHttpRequest(this->parser->release());
  this->ReleaseBody();
  this->shared->handler(
      std::move(request),
      [self = this->shared_from_this(), keep_alive](HttpResponse response) {
        asio::dispatch(
            self->socket.get_executor(),
            [self, keep_alive, response = std::move(response)]() mutable {
              self->OnResponse(std::move(response), keep_alive);
            });
      });
}

void HttpSession::OnResponse(HttpResponse response, bool keep_alive) {
  if (this->state == State::kHandling) {
    this->Write(response, keep_alive && !response.must_close &&
                              !this->shared->is_keep_alive_disabled);
  }
}

void HttpSession::Refuse(int status, Reason reason, const std::string& detail) {
  this->Write(MakeRefusal(status, reason, detail), false);
}

void HttpSession::RefuseMalformed(const ErrorCode& error) {
  if (error == http::error::header_limit) {
    this->Refuse(kHttpHeaderTooLarge, Reason::kTooLarge, "the header");
  } else if (error == http::error::body_limit) {
    this->Refuse(kHttpBodyTooLarge, Reason::kTooLarge, "the body");
  } else {
    this->Refuse(kHttpBadRequest, Reason::kBadRequest, error.message());
  }
}

void HttpSession::Write(const HttpResponse& response, bool keep_alive) {
  this->state = State::kWriting;
  this->outgoing = EncodeResponse(response, keep_alive);
  this->timer.Set(*this, this->shared->limits.write_timeout);
  asio::async_write(this->socket, asio::buffer(this->outgoing),
                    [self = this->shared_from_this(), keep_alive](
                        const ErrorCode& error, std::size_t /*size*/) {
                      self->OnWritten(error, keep_alive);
                    });
}

void HttpSession::OnWritten(const ErrorCode& error, bool keep_alive) {
  if (error || this->state != State::kWriting) {
    this->Close();
  } else if (keep_alive) {
    this->AwaitRequest();
  } else {
    this->Linger();
  }
}

void HttpSession::Linger() {
  ErrorCode ignored;
  this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  if (this->is_request_complete) {
    this->Close();
    return;
  }
  this->state = State::kLingering;
  this->buffer.clear();
  this->timer.Set(*this, kLingerTimeout);
  this->Read();
}

bool HttpSession::has_deadline() const {
  // The handler enforces its own deadline.
  return this->state != State::kHandling && this->state != State::kClosed;
}

void HttpSession::OnDeadline() {
  if (this->state == State::kReading) {
    this->Refuse(kHttpTimeout, Reason::kBadRequest,
                 "the request did not arrive in time");
  } else {
    this->Close();
  }
}

bool HttpSession::has_bytes_to_read() {
  ErrorCode error;
  return this->buffer.size() > 0 ||
         (this->socket.available(error) > 0 && !error);
}

void HttpSession::Close() {
  this->state = State::kClosed;
  this->timer.Cancel();
  ErrorCode ignored;
  this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  this->socket.close(ignored);
  this->NotifyClosed();
}

void HttpSession::NotifyClosed() {
  if (auto notify = std::exchange(this->closed_handler, nullptr)) {
    notify(this);
  }
}

}  // namespace marigold::detail
