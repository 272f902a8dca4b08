#include "tools/tcp/tcp_listener.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <mutex>
#include <utility>

#include "src/core/log.h"
#include "tools/tcp/tcp_stream_impl.h"

namespace marigold {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

struct TcpListener::Impl : std::enable_shared_from_this<TcpListener::Impl> {
  Impl(WorkerPool& pool, OnAccept handler)
      : context(pool.context()),
        acceptor(pool.context()),
        on_accept(std::move(handler)) {}

  error_code Open(const Endpoint& endpoint) {
    error_code error;
    const auto address = asio::ip::make_address(endpoint.address, error);
    if (error) {
      return error;
    }
    const tcp::endpoint local(address, endpoint.port);
    this->acceptor.open(local.protocol(), error);
    if (!error) {
      this->acceptor.set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
      this->acceptor.bind(local, error);
    }
    if (!error) {
      this->acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    return error;
  }

  void Accept() {
    const std::lock_guard lock(this->mutex);
    if (!this->acceptor.is_open()) {
      return;
    }
    this->acceptor.async_accept(
        asio::make_strand(this->context),
        [self = this->shared_from_this()](const error_code& error,
                                          tcp::socket socket) {
          if (error == asio::error::operation_aborted) {
            return;
          }
          self->OnAccepted(error, std::move(socket));
          self->Accept();
        });
  }

  void OnAccepted(const error_code& error, tcp::socket socket) {
    if (error) {
      LogEvent(LogLevel::kWarning, "accept_failed",
               {{"error", error.message()}});
      return;
    }
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    this->on_accept(std::make_shared<TcpStream>(
        std::make_shared<TcpStream::Impl>(std::move(socket))));
  }

  void Close() {
    const std::lock_guard lock(this->mutex);
    error_code ignored;
    this->acceptor.close(ignored);
  }

  asio::io_context& context;
  // Protects `acceptor`, which may be closed on any thread.
  std::mutex mutex;
  tcp::acceptor acceptor;
  OnAccept on_accept;
};

TcpListener::TcpListener(std::shared_ptr<Impl> listener_impl)
    : impl(std::move(listener_impl)) {}

TcpListener::~TcpListener() {
  this->impl->Close();
}

Result<std::unique_ptr<TcpListener>> TcpListener::Listen(
    WorkerPool& pool,
    const Endpoint& endpoint,
    OnAccept on_accept) {
  auto impl = std::make_shared<Impl>(pool, std::move(on_accept));
  if (const error_code error = impl->Open(endpoint)) {
    return boost::leaf::new_error(
        IoError{"listen", ToString(endpoint), error.value()});
  }
  impl->Accept();
  return std::unique_ptr<TcpListener>(new TcpListener(std::move(impl)));
}

}  // namespace marigold
