#include "src/net/http/http_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <unordered_map>
#include <utility>
#include <vector>

#include "src/core/log.h"
#include "src/core/ranked_mutex.h"
#include "src/net/http/http_session.h"
#include "src/net/open_acceptor.h"

namespace marigold {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// Number of connections beyond the limit that get a 503 response. Further ones
// are closed at once.
constexpr std::size_t kMaxRefusingSessions = 64;

}  // namespace

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
  Impl(WorkerPool& pool, HttpServerLimits limits, HttpHandler handler)
      : context(pool.context()),
        acceptor(asio::make_strand(pool.context())),
        shared(std::make_shared<detail::HttpServerShared>()) {
    this->shared->limits = limits;
    this->shared->handler = std::move(handler);
  }

  void Accept() {
    this->acceptor.async_accept(
        asio::make_strand(this->context),
        [self = this->shared_from_this()](
            const boost::system::error_code& error, tcp::socket socket) {
          self->OnAccepted(error, std::move(socket));
        });
  }

  void OnAccepted(const boost::system::error_code& error, tcp::socket socket) {
    if (!error) {
      this->StartSession(std::move(socket));
    }
    if (error == asio::error::operation_aborted || !this->acceptor.is_open()) {
      return;
    }
    if (!error) {
      this->Accept();
      return;
    }
    LogEvent(LogLevel::kWarning, "accept_failed", {{"error", error.message()}});
    // The process may be out of file descriptors for a while.
    this->accept_retry_timer.expires_after(std::chrono::milliseconds(100));
    this->accept_retry_timer.async_wait(
        [self = this->shared_from_this()](const boost::system::error_code&) {
          if (self->acceptor.is_open()) {
            self->Accept();
          }
        });
  }

  void StartSession(tcp::socket socket) {
    auto session = std::make_shared<detail::HttpSession>(
        std::move(socket), this->shared,
        [self = this->shared_from_this()](detail::HttpSession* closed) {
          self->OnClosed(closed);
        });
    std::size_t open_sessions = 0;
    {
      const RankedLock lock(this->mutex);
      open_sessions = this->sessions.size();
      if (open_sessions <
          this->shared->limits.connections + kMaxRefusingSessions) {
        this->sessions.emplace(session.get(), session);
      }
    }
    if (open_sessions < this->shared->limits.connections) {
      session->Start();
    } else if (open_sessions <
               this->shared->limits.connections + kMaxRefusingSessions) {
      session->StartRefusing();
    }
  }

  void OnClosed(detail::HttpSession* session) {
    std::function<void()> drained_handler;
    {
      const RankedLock lock(this->mutex);
      this->sessions.erase(session);
      if (this->is_acceptor_closed && this->sessions.empty()) {
        drained_handler.swap(this->on_drained);
      }
    }
    if (drained_handler) {
      drained_handler();
    }
  }

  // Takes the connections that the kernel has already accepted, then closes the
  // acceptor and the idle connections. Runs on the acceptor's strand.
  void CloseAcceptor() {
    boost::system::error_code error;
    this->acceptor.cancel(error);
    this->acceptor.non_blocking(true, error);
    while (!error) {
      tcp::socket socket(asio::make_strand(this->context));
      this->acceptor.accept(socket, error);
      if (!error) {
        this->StartSession(std::move(socket));
      }
    }
    this->acceptor.close(error);
    std::vector<std::shared_ptr<detail::HttpSession>> open_sessions;
    std::function<void()> drained_handler;
    {
      const RankedLock lock(this->mutex);
      this->is_acceptor_closed = true;
      for (const auto& [session, weak] : this->sessions) {
        if (auto strong = weak.lock()) {
          open_sessions.push_back(std::move(strong));
        }
      }
      if (this->sessions.empty()) {
        drained_handler.swap(this->on_drained);
      }
    }
    for (const auto& session : open_sessions) {
      session->Drain();
    }
    if (drained_handler) {
      drained_handler();
    }
  }

  asio::io_context& context;
  tcp::acceptor acceptor;
  asio::steady_timer accept_retry_timer{acceptor.get_executor()};
  std::shared_ptr<detail::HttpServerShared> shared;
  mutable RankedMutex<LockRank::kConnections> mutex;
  std::unordered_map<detail::HttpSession*, std::weak_ptr<detail::HttpSession>>
      sessions;
  bool is_acceptor_closed = false;
  std::function<void()> on_drained;
};

Result<std::unique_ptr<HttpServer>> HttpServer::Listen(WorkerPool& pool,
                                                       const Endpoint& endpoint,
                                                       HttpServerLimits limits,
                                                       HttpHandler handler) {
  auto impl = std::make_shared<Impl>(pool, limits, std::move(handler));
  BOOST_LEAF_CHECK(OpenAcceptor(impl->acceptor, endpoint));
  impl->Accept();
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(impl)));
}

HttpServer::HttpServer(std::shared_ptr<Impl> server_impl)
    : impl(std::move(server_impl)) {}

HttpServer::~HttpServer() {
  this->Drain();
}

void HttpServer::DisableKeepAlive() {
  this->impl->shared->is_keep_alive_disabled = true;
}

void HttpServer::Drain(std::function<void()> on_drained) {
  this->DisableKeepAlive();
  this->impl->shared->is_draining = true;
  {
    const RankedLock lock(this->impl->mutex);
    this->impl->on_drained = std::move(on_drained);
  }
  asio::post(this->impl->acceptor.get_executor(),
             [impl = this->impl] { impl->CloseAcceptor(); });
}

std::size_t HttpServer::open_connections() const {
  const RankedLock lock(this->impl->mutex);
  return this->impl->sessions.size();
}

}  // namespace marigold
