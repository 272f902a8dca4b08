#include <fmt/format.h>

#include <boost/asio/write.hpp>
#include <utility>

#include "src/net/forward/caller_session.h"

namespace marigold {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

// Sessions that hold less than this are not counted. The number of connections
// bounds what they hold together.
constexpr std::size_t kUncountedBytes = 8 * 1024;

// Memory and connections are taken from callers that make no progress, so that
// there is room again soon.
constexpr std::string_view kRetryAfter = "Retry-After: 1\r\n";

// Returns the size of the header of a response, with the empty line after it.
std::size_t HeaderSize(std::string_view response) {
  constexpr std::string_view kHeaderEnd = "\r\n\r\n";
  const std::size_t end = response.find(kHeaderEnd);
  return end == std::string_view::npos ? response.size()
                                       : end + kHeaderEnd.size();
}

}  // namespace

void CallerSession::Refuse(int status, std::string_view detail) {
  const auto reason = http::obsolete_reason(static_cast<http::status>(status));
  this->state = State::kHandling;
  this->Answer(
      fmt::format("HTTP/1.1 {} {}\r\nContent-Type: text/plain\r\n{}"
                  "Content-Length: {}\r\nConnection: close\r\n\r\n{}",
                  status, std::string_view(reason.data(), reason.size()),
                  status == kRoomShortStatus ? kRetryAfter : "", detail.size(),
                  detail),
      true);
}

std::size_t CallerSession::RequestBytes() const {
  return this->parser->get().body().size() + this->buffer.capacity();
}

bool CallerSession::HoldMemory(std::size_t bytes, bool is_evictable) {
  CallerSessionMemory& memory = *this->handlers->memory;
  if (bytes < kUncountedBytes) {
    memory.Release(this);
    return true;
  }
  memory.Hold(this, bytes, is_evictable);
  while (!memory.Fits(this)) {
    const auto victim = memory.NextVictim(this);
    if (!victim) {
      return false;
    }
    (*victim)->Evict();
  }
  return true;
}

void CallerSession::Evict() {
  if (this->state == State::kReading) {
    this->RefuseIncomplete("other requests need the room of this one");
  } else {
    this->Close();
  }
}

void CallerSession::RefuseIncomplete(std::string_view detail) {
  this->handlers->on_room_short(this->parser->get());
  this->handlers->memory->Release(this);
  this->parser.emplace();
  this->buffer = {};
  this->Refuse(kRoomShortStatus, detail);
}

void CallerSession::Answer(std::string bytes, bool closes_connection) {
  if (this->state != State::kHandling) {
    return;
  }
  this->state = State::kWriting;
  this->state_began_at = this->strand->Now();
  this->closes_after_write = closes_connection;
  this->outgoing = std::move(bytes);
  if (this->is_head) {
    this->outgoing.resize(HeaderSize(this->outgoing));
  }
  this->handlers->memory->Release(this);
  ErrorCode error;
  const std::size_t sent =
      this->socket.write_some(asio::buffer(this->outgoing), error);
  if (!error && sent == this->outgoing.size()) {
    this->OnWritten({});
    return;
  }
  if (error && error != asio::error::would_block) {
    this->Close();
    return;
  }
  if (!this->HoldMemory(this->outgoing.size(), true)) {
    this->Close();
    return;
  }
  asio::async_write(this->socket, asio::buffer(this->outgoing) + sent,
                    [self = this->shared_from_this()](const ErrorCode& failed,
                                                      std::size_t /*size*/) {
                      self->OnWritten(failed);
                    });
}

void CallerSession::OnWritten(const ErrorCode& error) {
  if (this->state == State::kClosed) {
    return;
  }
  if (error) {
    this->Close();
  } else if (this->closes_after_write) {
    this->Linger();
  } else {
    this->BeginRequest();
  }
}

void CallerSession::Linger() {
  ErrorCode ignored;
  this->socket.shutdown(tcp::socket::shutdown_send, ignored);
  if (this->is_read_closed) {
    this->Close();
    return;
  }
  this->state = State::kLingering;
  this->state_began_at = this->strand->Now();
  this->buffer.clear();
  this->AwaitBytes();
}

void CallerSession::StopLingering() {
  if (this->state == State::kLingering) {
    this->Close();
  }
}

}  // namespace marigold
