#include "src/net/control/framed_connection.h"

#include <algorithm>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <utility>
#include <variant>

namespace marigold {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t kReadBufferBytes = 64 * 1024;

}  // namespace

std::string_view ToString(CloseReason reason) {
  switch (reason) {
    case CloseReason::kClosedHere:
      return "closed_here";
    case CloseReason::kClosedByPeer:
      return "closed_by_peer";
    case CloseReason::kConnectFailed:
      return "connect_failed";
    case CloseReason::kSilent:
      return "silent";
    case CloseReason::kSlowReceiver:
      return "slow_receiver";
    case CloseReason::kBadFrame:
      return "bad_frame";
    case CloseReason::kLost:
      return "lost";
  }
  return "unknown";
}

std::shared_ptr<FramedConnection> FramedConnection::Create(
    WorkerPool& pool,
    FramedLimits limits) {
  return std::make_shared<FramedConnection>(
      tcp::socket(asio::make_strand(pool.context())), limits);
}

FramedConnection::FramedConnection(tcp::socket connected,
                                   FramedLimits framed_limits)
    : socket(std::move(connected)),
      timer(socket.get_executor()),
      limits(framed_limits),
      read_buffer(kReadBufferBytes) {}

void FramedConnection::Connect(const Endpoint& remote,
                               FramedHandlers framed_handlers) {
  this->handlers = std::move(framed_handlers);
  asio::post(this->socket.get_executor(),
             [self = this->shared_from_this(), remote] {
               self->BeginConnect(remote);
             });
}

void FramedConnection::Start(FramedHandlers framed_handlers) {
  this->handlers = std::move(framed_handlers);
  asio::post(this->socket.get_executor(),
             [self = this->shared_from_this()] { self->BeginReading(); });
}

bool FramedConnection::Send(std::string_view body) {
  const RankedLock lock(this->mutex);
  const std::size_t size_before = this->queued_frames.size();
  if (this->is_closing ||
      this->unsent_bytes + body.size() > this->limits.send_queue_bytes ||
      !AppendFrame(body, this->queued_frames)) {
    return false;
  }
  this->unsent_bytes += this->queued_frames.size() - size_before;
  if (!this->is_writing) {
    this->is_writing = true;
    asio::post(this->socket.get_executor(),
               [self = this->shared_from_this()] { self->WriteQueued(); });
  }
  return true;
}

void FramedConnection::Close() {
  this->is_closing = true;
  asio::post(this->socket.get_executor(), [self = this->shared_from_this()] {
    self->End(CloseReason::kClosedHere);
  });
}

void FramedConnection::BeginConnect(const Endpoint& remote) {
  error_code error;
  const auto address = asio::ip::make_address(remote.address, error);
  if (error || this->has_ended) {
    this->End(CloseReason::kConnectFailed);
    return;
  }
  this->timer.expires_after(this->limits.connect_timeout);
  this->timer.async_wait(
      [weak = this->weak_from_this()](const error_code& failure) {
        const auto self = weak.lock();
        if (self && !failure && !self->is_open) {
          self->End(CloseReason::kConnectFailed);
        }
      });
  this->socket.async_connect(
      tcp::endpoint(address, remote.port),
      [self = this->shared_from_this()](const error_code& failure) {
        self->OnConnected(failure);
      });
}

void FramedConnection::OnConnected(const error_code& error) {
  if (this->has_ended) {
    return;
  }
  if (error) {
    this->End(CloseReason::kConnectFailed);
    return;
  }
  this->timer.cancel();
  this->BeginReading();
  this->handlers.on_open();
}

void FramedConnection::BeginReading() {
  if (this->has_ended) {
    return;
  }
  error_code ignored;
  this->socket.set_option(tcp::no_delay(true), ignored);
  this->is_open = true;
  this->last_frame_at = this->clock.Now();
  this->write_began_at = this->last_frame_at;
  this->ArmTimeoutTimer();
  this->Read();
  this->WriteQueued();
}

void FramedConnection::Read() {
  this->socket.async_read_some(asio::buffer(this->read_buffer),
                               [self = this->shared_from_this()](
                                   const error_code& error, std::size_t size) {
                                 self->OnRead(error, size);
                               });
}

void FramedConnection::OnRead(const error_code& error, std::size_t size) {
  if (this->has_ended) {
    return;
  }
  if (error) {
    this->End(error == asio::error::eof ? CloseReason::kClosedByPeer
                                        : CloseReason::kLost);
    return;
  }
  this->reader.Add({this->read_buffer.data(), size});
  if (!this->DeliverBodies()) {
    this->End(CloseReason::kBadFrame);
    return;
  }
  this->Read();
}

bool FramedConnection::DeliverBodies() {
  while (!this->is_closing) {
    auto next = Capture<std::optional<std::string>>(
        [this] { return this->reader.Next(); });
    auto* body = std::get_if<std::optional<std::string>>(&next);
    if (body == nullptr) {
      return false;
    }
    if (!body->has_value()) {
      return true;
    }
    this->last_frame_at = this->clock.Now();
    this->has_received_frame = true;
    this->handlers.on_body(std::move(**body));
  }
  return true;
}

void FramedConnection::WriteQueued() {
  {
    const RankedLock lock(this->mutex);
    this->is_writing = !this->queued_frames.empty() && !this->has_ended;
    if (!this->is_writing) {
      return;
    }
    this->write_buffer.clear();
    this->write_buffer.swap(this->queued_frames);
  }
  this->write_began_at = this->clock.Now();
  asio::async_write(this->socket, asio::buffer(this->write_buffer),
                    [self = this->shared_from_this()](const error_code& error,
                                                      std::size_t /*size*/) {
                      self->OnWritten(error);
                    });
}

void FramedConnection::OnWritten(const error_code& error) {
  if (error) {
    this->End(CloseReason::kLost);
    return;
  }
  {
    const RankedLock lock(this->mutex);
    this->unsent_bytes -= this->write_buffer.size();
  }
  this->write_buffer.clear();
  this->WriteQueued();
}

// One timer serves all frames. When it expires, `CheckTimeouts` recomputes the
// deadlines, which may have moved in the meantime.
void FramedConnection::ArmTimeoutTimer() {
  Duration wait = this->limits.write_timeout;
  const Duration silence_timeout = this->SilenceTimeout();
  if (silence_timeout > Duration::zero()) {
    const Duration since_last_frame = this->clock.Now() - this->last_frame_at;
    wait = std::min(wait, silence_timeout - since_last_frame);
  }
  this->timer.expires_after(std::max(wait, Duration::zero()));
  this->timer.async_wait(
      [weak = this->weak_from_this()](const error_code& error) {
        const auto self = weak.lock();
        if (self && !error && !self->has_ended) {
          self->CheckTimeouts();
        }
      });
}

void FramedConnection::CheckTimeouts() {
  const MonotonicTime now = this->clock.Now();
  const Duration silence_timeout = this->SilenceTimeout();
  if (silence_timeout > Duration::zero() &&
      now - this->last_frame_at >= silence_timeout) {
    this->End(CloseReason::kSilent);
    return;
  }
  if (!this->write_buffer.empty() &&
      now - this->write_began_at >= this->limits.write_timeout) {
    this->End(CloseReason::kSlowReceiver);
    return;
  }
  this->ArmTimeoutTimer();
}

Duration FramedConnection::SilenceTimeout() const {
  return !this->has_received_frame &&
                 this->limits.first_frame_timeout > Duration::zero()
             ? this->limits.first_frame_timeout
             : this->limits.silence_timeout;
}

void FramedConnection::End(CloseReason reason) {
  if (this->has_ended) {
    return;
  }
  this->has_ended = true;
  this->is_closing = true;
  error_code ignored;
  this->socket.close(ignored);
  this->timer.cancel();
  // Handlers may hold references to this connection. Moving them out releases
  // these references when this function returns.
  const FramedHandlers last_handlers = std::exchange(this->handlers, {});
  last_handlers.on_closed(reason);
}

}  // namespace marigold
