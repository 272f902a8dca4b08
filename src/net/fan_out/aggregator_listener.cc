#include "src/net/fan_out/aggregator_listener.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <cstddef>
#include <utility>

#include "src/core/log.h"
#include "src/net/open_acceptor.h"

namespace marigold {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// Delay before the next accept after a failed one. The process may be out of
// file descriptors for a while.
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(100);

}  // namespace

struct AggregatorListener::Impl
    : std::enable_shared_from_this<AggregatorListener::Impl> {
  Impl(WorkerPool& pool,
       std::vector<std::shared_ptr<Strand>> serving_strands,
       AcceptHandler accepted)
      : acceptor(asio::make_strand(pool.context())),
        retry_timer(acceptor.get_executor()),
        strands(std::move(serving_strands)),
        on_accepted(std::move(accepted)) {}

  void Accept() {
    const std::shared_ptr<Strand>& strand =
        this->strands[this->next_strand++ % this->strands.size()];
    this->acceptor.async_accept(
        strand->executor(),
        [self = this->shared_from_this(), strand](
            const boost::system::error_code& error, tcp::socket socket) {
          self->OnAccepted(strand, error, std::move(socket));
        });
  }

  void OnAccepted(const std::shared_ptr<Strand>& strand,
                  const boost::system::error_code& error,
                  tcp::socket socket) {
    if (!this->acceptor.is_open()) {
      return;
    }
    if (!error) {
      asio::dispatch(strand->executor(),
                     [self = this->shared_from_this(), strand,
                      socket = std::move(socket)]() mutable {
                       self->on_accepted(strand, std::move(socket));
                     });
      this->Accept();
      return;
    }
    LogEvent(LogLevel::kWarning, "accept_failed", {{"error", error.message()}});
    this->retry_timer.expires_after(kAcceptRetryDelay);
    this->retry_timer.async_wait(
        [self = this->shared_from_this()](const boost::system::error_code&) {
          if (self->acceptor.is_open()) {
            self->Accept();
          }
        });
  }

  // Used only on the acceptor's strand, like the members below.
  tcp::acceptor acceptor;
  asio::steady_timer retry_timer;
  const std::vector<std::shared_ptr<Strand>> strands;
  const AcceptHandler on_accepted;
  std::size_t next_strand = 0;
};

Result<std::unique_ptr<AggregatorListener>> AggregatorListener::Listen(
    WorkerPool& pool,
    const Endpoint& endpoint,
    std::vector<std::shared_ptr<Strand>> strands,
    AcceptHandler on_accepted) {
  auto impl =
      std::make_shared<Impl>(pool, std::move(strands), std::move(on_accepted));
  BOOST_LEAF_CHECK(OpenAcceptor(impl->acceptor, endpoint));
  asio::post(impl->acceptor.get_executor(), [impl] { impl->Accept(); });
  return std::unique_ptr<AggregatorListener>(
      new AggregatorListener(std::move(impl)));
}

AggregatorListener::AggregatorListener(std::shared_ptr<Impl> listener_impl)
    : impl(std::move(listener_impl)) {}

AggregatorListener::~AggregatorListener() {
  asio::post(this->impl->acceptor.get_executor(), [impl = this->impl] {
    boost::system::error_code ignored;
    impl->acceptor.close(ignored);
  });
}

}  // namespace marigold
