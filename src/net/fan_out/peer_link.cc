#include "src/net/fan_out/peer_link.h"

#include <boost/asio/write.hpp>
#include <optional>
#include <utility>
#include <variant>

#include "src/core/result.h"

namespace marigold {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::size_t kReadBufferBytes = 8 * 1024;
constexpr std::size_t kMaxUnsentBytes = 1024 * 1024;
constexpr Duration kConnectTimeout = std::chrono::milliseconds(250);

}  // namespace

PeerLink::PeerLink(std::shared_ptr<Strand> owning_strand)
    : strand(std::move(owning_strand)), socket(strand->executor()) {}

PeerLink::PeerLink(std::shared_ptr<Strand> owning_strand, tcp::socket accepted)
    : strand(std::move(owning_strand)), socket(std::move(accepted)) {}

void PeerLink::Connect(const Endpoint& endpoint,
                       PeerLinkHandlers link_handlers) {
  this->handlers = std::move(link_handlers);
  ErrorCode error;
  const auto address = asio::ip::make_address(endpoint.address, error);
  if (error) {
    this->strand->Post(
        [self = this->shared_from_this()] { self->Close("bad_address"); });
    return;
  }
  this->connect_timer = this->strand->RunAt(
      this->strand->Now() + kConnectTimeout, [weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) {
          self->connect_timer.reset();
          self->Close("connect_timeout");
        }
      });
  this->socket.async_connect(
      tcp::endpoint(address, endpoint.port),
      [self = this->shared_from_this()](const ErrorCode& failure) {
        self->OnConnected(failure);
      });
}

void PeerLink::Start(PeerLinkHandlers link_handlers) {
  this->handlers = std::move(link_handlers);
  this->BeginReading();
}

void PeerLink::OnConnected(const ErrorCode& error) {
  if (this->state == State::kClosed) {
    return;
  }
  if (error) {
    this->Close("connect_failed");
    return;
  }
  if (this->connect_timer) {
    this->strand->Cancel(*this->connect_timer);
    this->connect_timer.reset();
  }
  this->BeginReading();
  this->Write();
}

void PeerLink::BeginReading() {
  ErrorCode ignored;
  this->socket.set_option(tcp::no_delay(true), ignored);
  this->socket.non_blocking(true, ignored);
  this->state = State::kOpen;
  this->was_open = true;
  this->received_at = this->strand->Now();
  this->read_buffer.resize(kReadBufferBytes);
  this->AwaitBytes();
}

bool PeerLink::Send(std::string_view body) {
  if (this->state == State::kClosed || !AppendFrame(body, this->unsent)) {
    return false;
  }
  if (this->unsent.size() > kMaxUnsentBytes) {
    this->Close("slow_receiver");
    return false;
  }
  if (this->state == State::kOpen) {
    this->Write();
  }
  return true;
}

void PeerLink::Write() {
  if (this->is_write_pending || this->unsent.empty()) {
    return;
  }
  ErrorCode error;
  const std::size_t sent =
      this->socket.write_some(asio::buffer(this->unsent), error);
  this->unsent.erase(0, sent);
  if (this->unsent.empty() || (error && error != asio::error::would_block)) {
    // The pending read reports a broken connection.
    return;
  }
  this->is_write_pending = true;
  this->socket.async_wait(
      tcp::socket::wait_write,
      [self = this->shared_from_this()](const ErrorCode& failure) {
        self->is_write_pending = false;
        if (!failure && self->state == State::kOpen) {
          self->Write();
        }
      });
}

void PeerLink::AwaitBytes() {
  this->socket.async_wait(
      tcp::socket::wait_read,
      [self = this->shared_from_this()](const ErrorCode& error) {
        self->OnReadable(error);
      });
}

void PeerLink::OnReadable(const ErrorCode& error) {
  if (this->state == State::kClosed) {
    return;
  }
  ErrorCode read_error = error;
  std::size_t size = 0;
  if (!read_error) {
    size = this->socket.read_some(asio::buffer(this->read_buffer), read_error);
  }
  if (read_error == asio::error::would_block) {
    this->AwaitBytes();
    return;
  }
  if (read_error) {
    this->Close(read_error == asio::error::eof ? "closed_by_peer" : "lost");
    return;
  }
  this->reader.Add({this->read_buffer.data(), size});
  const auto self = this->shared_from_this();
  while (this->state == State::kOpen) {
    auto next = Capture<std::optional<std::string>>(
        [this] { return this->reader.Next(); });
    auto* body = std::get_if<std::optional<std::string>>(&next);
    if (body == nullptr) {
      this->Close("bad_frame");
      return;
    }
    if (!body->has_value()) {
      break;
    }
    this->received_at = this->strand->Now();
    this->handlers.on_body(**body);
  }
  if (this->state == State::kOpen) {
    this->AwaitBytes();
  }
}

std::string PeerLink::remote_address() const {
  ErrorCode error;
  const auto remote = this->socket.remote_endpoint(error);
  return error ? std::string("unknown") : remote.address().to_string();
}

void PeerLink::Close(std::string_view reason) {
  if (this->state == State::kClosed) {
    return;
  }
  this->state = State::kClosed;
  if (this->connect_timer) {
    this->strand->Cancel(*this->connect_timer);
    this->connect_timer.reset();
  }
  ErrorCode ignored;
  this->socket.close(ignored);
  // Handlers may hold references to this link, and one of them may be running.
  // They are released once it has returned.
  PeerLinkHandlers last_handlers = std::exchange(this->handlers, {});
  if (last_handlers.on_closed) {
    last_handlers.on_closed(this->was_open, reason);
  }
  this->strand->Post([released = std::move(last_handlers)] {});
}

}  // namespace marigold
