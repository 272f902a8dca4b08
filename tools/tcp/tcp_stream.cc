#include "tools/tcp/tcp_stream.h"

#include <array>
#include <atomic>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <utility>

#include "tools/tcp/tcp_stream_impl.h"

namespace marigold {

namespace asio = boost::asio;
using boost::system::error_code;

void TcpStream::Impl::Start(Handlers new_handlers) {
  this->handlers = std::move(new_handlers);
  this->started = true;
  this->Read();
}

void TcpStream::Impl::Read() {
  if (!this->open || !this->started || this->read_pending ||
      !this->reading_enabled) {
    return;
  }
  this->read_pending = true;
  this->socket.async_read_some(asio::buffer(this->input),
                               [self = this->shared_from_this()](
                                   const error_code& error, std::size_t size) {
                                 self->read_pending = false;
                                 self->OnRead(error, size);
                               });
}

void TcpStream::Impl::OnRead(const error_code& error, std::size_t size) {
  if (!this->open) {
    return;
  }
  if (error) {
    this->CloseAndNotify();
    return;
  }
  // The handler is copied, because it may close the stream, which destroys the
  // stored handler.
  const auto on_bytes = this->handlers.on_bytes;
  if (!on_bytes) {
    return;
  }
  on_bytes(std::string_view(this->input.data(), size));
  this->Read();
}

void TcpStream::Impl::Write(std::string bytes) {
  if (!this->open || this->closing) {
    return;
  }
  this->unsent += bytes.size();
  this->output.push_back(std::move(bytes));
  if (this->output.size() == 1) {
    this->WriteFront();
  }
}

void TcpStream::Impl::WriteFront() {
  asio::async_write(this->socket, asio::buffer(this->output.front()),
                    [self = this->shared_from_this()](const error_code& error,
                                                      std::size_t /*size*/) {
                      self->OnWritten(error);
                    });
}

void TcpStream::Impl::OnWritten(const error_code& error) {
  if (!this->open) {
    return;
  }
  if (error) {
    this->CloseAndNotify();
    return;
  }
  this->unsent -= this->output.front().size();
  this->output.pop_front();
  if (!this->output.empty()) {
    this->WriteFront();
  } else if (this->closing) {
    this->CloseSocket();
  }
}

void TcpStream::Impl::Close() {
  this->closing = true;
  const Handlers dropped = std::exchange(this->handlers, {});
  if (this->output.empty()) {
    this->CloseSocket();
  }
}

void TcpStream::Impl::Reset() {
  error_code ignored;
  this->socket.set_option(asio::socket_base::linger(true, 0), ignored);
  this->CloseSocket();
}

void TcpStream::Impl::CloseAndNotify() {
  const Handlers dropped = std::exchange(this->handlers, {});
  this->CloseSocket();
  if (dropped.on_closed) {
    dropped.on_closed();
  }
}

// The handlers may own this stream, so they are destroyed last.
void TcpStream::Impl::CloseSocket() {
  const Handlers dropped = std::exchange(this->handlers, {});
  this->open = false;
  error_code ignored;
  this->socket.close(ignored);
}

TcpStream::TcpStream(std::shared_ptr<Impl> stream_impl)
    : impl(std::move(stream_impl)) {}

TcpStream::~TcpStream() {
  this->Close();
}

void TcpStream::Connect(
    WorkerPool& pool,
    const Endpoint& endpoint,
    Duration timeout,
    std::function<void(std::shared_ptr<TcpStream>)> on_connected) {
  auto impl = std::make_shared<Impl>(
      asio::ip::tcp::socket(make_strand(pool.context())));
  auto timer = std::make_shared<TimerHandle>(pool.After(timeout, [impl] {
    asio::dispatch(impl->socket.get_executor(),
                   [impl] { impl->CloseSocket(); });
  }));
  const asio::ip::tcp::endpoint remote(asio::ip::make_address(endpoint.address),
                                       endpoint.port);
  impl->socket.async_connect(
      remote,
      [impl, timer, done = std::move(on_connected)](const error_code& error) {
        timer->Cancel();
        if (error || !impl->open) {
          done(nullptr);
          return;
        }
        error_code ignored;
        impl->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        done(std::make_shared<TcpStream>(impl));
      });
}

void TcpStream::Start(Handlers handlers) {
  asio::dispatch(this->impl->socket.get_executor(),
                 [impl = this->impl, moved = std::move(handlers)]() mutable {
                   impl->Start(std::move(moved));
                 });
}

void TcpStream::Post(std::function<void()> task) {
  asio::post(this->impl->socket.get_executor(), std::move(task));
}

void TcpStream::Write(std::string bytes) {
  asio::dispatch(this->impl->socket.get_executor(),
                 [impl = this->impl, moved = std::move(bytes)]() mutable {
                   impl->Write(std::move(moved));
                 });
}

void TcpStream::SetReading(bool reading_enabled) {
  asio::dispatch(this->impl->socket.get_executor(),
                 [impl = this->impl, reading_enabled] {
                   impl->reading_enabled = reading_enabled;
                   impl->Read();
                 });
}

void TcpStream::Close() {
  asio::dispatch(this->impl->socket.get_executor(),
                 [impl = this->impl] { impl->Close(); });
}

void TcpStream::Reset() {
  asio::dispatch(this->impl->socket.get_executor(),
                 [impl = this->impl] { impl->Reset(); });
}

std::size_t TcpStream::unsent_bytes() const {
  return this->impl->unsent;
}

}  // namespace marigold
