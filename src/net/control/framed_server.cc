#include "src/net/control/framed_server.h"

#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <utility>
#include <vector>

#include "src/core/log.h"
#include "src/net/open_acceptor.h"

namespace marigold {

namespace asio = boost::asio;
using asio::ip::tcp;

// All members are used only on the acceptor's strand.
struct FramedServer::Impl : std::enable_shared_from_this<FramedServer::Impl> {
  Impl(WorkerPool& pool,
       FramedLimits framed_limits,
       std::size_t connection_limit,
       AcceptHandler accepted)
      : context(pool.context()),
        acceptor(asio::make_strand(pool.context())),
        limits(framed_limits),
        max_connections(connection_limit),
        on_accepted(std::move(accepted)) {}

  void Accept() {
    this->acceptor.async_accept(
        asio::make_strand(this->context),
        [self = this->shared_from_this()](
            const boost::system::error_code& error, tcp::socket socket) {
          self->OnAccepted(error, std::move(socket));
        });
  }

  void OnAccepted(const boost::system::error_code& error, tcp::socket socket) {
    if (!this->acceptor.is_open()) {
      return;
    }
    if (error) {
      LogEvent(LogLevel::kWarning, "accept_failed",
               {{"error", error.message()}});
    } else {
      this->Admit(std::move(socket));
    }
    this->Accept();
  }

  void Admit(tcp::socket socket) {
    std::erase_if(this->connections,
                  [](const auto& connection) { return connection.expired(); });
    if (this->connections.size() >= this->max_connections) {
      LogEvent(LogLevel::kWarning, "connection_refused",
               {{"connections", this->connections.size()}});
      return;
    }
    auto connection =
        std::make_shared<FramedConnection>(std::move(socket), this->limits);
    this->connections.push_back(connection);
    this->on_accepted(std::move(connection));
  }

  void Stop() {
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
    for (const auto& weak : this->connections) {
      if (const auto connection = weak.lock()) {
        connection->Close();
      }
    }
    this->on_accepted = nullptr;
  }

  asio::io_context& context;
  tcp::acceptor acceptor;
  FramedLimits limits;
  std::size_t max_connections;
  AcceptHandler on_accepted;
  std::vector<std::weak_ptr<FramedConnection>> connections;
};

Result<std::unique_ptr<FramedServer>> FramedServer::Listen(
    WorkerPool& pool,
    const Endpoint& endpoint,
    FramedLimits limits,
    std::size_t max_connections,
    AcceptHandler on_accepted) {
  auto impl = std::make_shared<Impl>(pool, limits, max_connections,
                                     std::move(on_accepted));
  BOOST_LEAF_CHECK(OpenAcceptor(impl->acceptor, endpoint));
  impl->Accept();
  return std::unique_ptr<FramedServer>(new FramedServer(std::move(impl)));
}

FramedServer::FramedServer(std::shared_ptr<Impl> server_impl)
    : impl(std::move(server_impl)) {}

FramedServer::~FramedServer() {
  asio::post(this->impl->acceptor.get_executor(),
             [impl = this->impl] { impl->Stop(); });
}

}  // namespace marigold
