#include "src/net/forward/caller_listener.h"

#include <boost/asio/post.hpp>
#include <unordered_map>
#include <utility>

#include "src/core/log.h"
#include "src/core/ranked_mutex.h"
#include "src/net/open_acceptor.h"

namespace marigold {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// Interval between checks of the connections' timeouts, which are seconds long.
constexpr Duration kTimeoutCheckInterval = std::chrono::milliseconds(500);

// Delay before the next accept after a failed one. The process may be out of
// file descriptors for a while.
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(100);

// A caller that behaves sends its request and takes the answer within this
// time.
constexpr Duration kSlowTransfer = std::chrono::seconds(1);

struct StrandSessions {
  std::shared_ptr<Strand> strand;
  std::shared_ptr<CallerHandlers> handlers;
  // Used only on the strand.
  std::unordered_map<CallerSession*, std::shared_ptr<CallerSession>> sessions;
};

}  // namespace

struct CallerListener::Impl
    : std::enable_shared_from_this<CallerListener::Impl> {
  Impl(WorkerPool& pool, std::size_t limit)
      : acceptor(asio::make_strand(pool.context())),
        max_connections(limit),
        shutdown_state(std::make_shared<ShutdownState>()) {}

  void AddStrand(const std::shared_ptr<Strand>& strand,
                 CallerHandlers handlers) {
    auto strand_sessions = std::make_shared<StrandSessions>();
    strand_sessions->strand = strand;
    handlers.on_closed = [weak = this->weak_from_this(),
                          raw = strand_sessions.get()](CallerSession* session) {
      if (const auto self = weak.lock()) {
        raw->sessions.erase(session);
        self->OnSessionClosed();
      }
    };
    strand_sessions->handlers =
        std::make_shared<CallerHandlers>(std::move(handlers));
    this->strands.push_back(strand_sessions);
    strand->Post([self = this->shared_from_this(), strand_sessions] {
      self->ArmTimeoutCheck(strand_sessions);
    });
  }

  void ArmTimeoutCheck(const std::shared_ptr<StrandSessions>& strand_sessions) {
    strand_sessions->strand->RunAt(
        strand_sessions->strand->Now() + kTimeoutCheckInterval,
        [weak = this->weak_from_this(), strand_sessions] {
          const auto self = weak.lock();
          if (!self) {
            return;
          }
          const MonotonicTime now = strand_sessions->strand->Now();
          const auto sessions = strand_sessions->sessions;
          for (const auto& [raw, session] : sessions) {
            session->CheckTimeouts(now);
          }
          self->ArmTimeoutCheck(strand_sessions);
        });
  }

  void Accept() {
    const std::shared_ptr<StrandSessions>& strand_sessions =
        this->strands[this->next_strand++ % this->strands.size()];
    this->acceptor.async_accept(
        strand_sessions->strand->executor(),
        [self = this->shared_from_this(), strand_sessions](
            const boost::system::error_code& error, tcp::socket socket) {
          self->OnAccepted(strand_sessions, error, std::move(socket));
        });
  }

  void OnAccepted(const std::shared_ptr<StrandSessions>& strand_sessions,
                  const boost::system::error_code& error,
                  tcp::socket socket) {
    if (!error) {
      this->AddSession(strand_sessions, std::move(socket));
    }
    if (!this->acceptor.is_open()) {
      return;
    }
    if (!error) {
      this->Accept();
      return;
    }
    LogEvent(LogLevel::kWarning, "accept_failed", {{"error", error.message()}});
    this->accept_retry_timer.expires_after(kAcceptRetryDelay);
    this->accept_retry_timer.async_wait(
        [self = this->shared_from_this()](const boost::system::error_code&) {
          if (self->acceptor.is_open()) {
            self->Accept();
          }
        });
  }

  void AddSession(const std::shared_ptr<StrandSessions>& strand_sessions,
                  tcp::socket socket) {
    ++this->connection_count;
    auto session = std::make_shared<CallerSession>(
        strand_sessions->strand, std::move(socket), strand_sessions->handlers,
        this->shutdown_state);
    asio::dispatch(strand_sessions->strand->executor(),
                   [self = this->shared_from_this(), strand_sessions, session] {
                     self->StartSession(*strand_sessions, session);
                   });
  }

  // Starts a session, and evicts another one if there are too many. Closes the
  // new connection if all others have a request in progress.
  void StartSession(StrandSessions& strand_sessions,
                    const std::shared_ptr<CallerSession>& session) {
    if (this->connection_count > this->max_connections &&
        !EvictOne(strand_sessions)) {
      LogEvent(LogLevel::kWarning, "connection_refused",
               {{"connections", this->connection_count.load()}});
      this->OnSessionClosed();
      return;
    }
    strand_sessions.sessions.emplace(session.get(), session);
    session->Start();
  }

  // Evicts the session that others can spare most. Returns false if there is
  // none.
  static bool EvictOne(const StrandSessions& strand_sessions) {
    const MonotonicTime now = strand_sessions.strand->Now();
    std::shared_ptr<CallerSession> victim;
    for (const auto& [raw, session] : strand_sessions.sessions) {
      if (!session->has_request() &&
          (!victim ||
           EvictionRank(now, *session) > EvictionRank(now, *victim))) {
        victim = session;
      }
    }
    if (victim) {
      victim->Evict();
      // Its descriptor is needed now.
      victim->StopLingering();
    }
    return victim != nullptr;
  }

  // Callers that take long to send a request or to take an answer come first,
  // then idle connections, then requests that have just begun to arrive; among
  // equal ones the one that has not changed for the longest time.
  static std::pair<int, Duration> EvictionRank(MonotonicTime now,
                                               const CallerSession& session) {
    const Duration unchanged_time = now - session.unchanged_since();
    if (session.is_idle()) {
      return {1, unchanged_time};
    }
    return {unchanged_time >= kSlowTransfer ? 2 : 0, unchanged_time};
  }

  void OnSessionClosed() {
    if (--this->connection_count == 0 && this->shutdown_state->is_draining) {
      this->ReportDrained();
    }
  }

  // Takes the connections that the kernel has already accepted, then closes the
  // acceptor and the idle connections. Runs on the acceptor's strand.
  void CloseAcceptor() {
    boost::system::error_code error;
    this->acceptor.cancel(error);
    this->acceptor.non_blocking(true, error);
    while (!error) {
      const std::shared_ptr<StrandSessions>& strand_sessions =
          this->strands[this->next_strand++ % this->strands.size()];
      tcp::socket socket(strand_sessions->strand->executor());
      this->acceptor.accept(socket, error);
      if (!error) {
        this->AddSession(strand_sessions, std::move(socket));
      }
    }
    this->acceptor.close(error);
    this->shutdown_state->is_draining = true;
    for (const auto& strand_sessions : this->strands) {
      strand_sessions->strand->Post([strand_sessions] {
        const auto sessions = strand_sessions->sessions;
        for (const auto& [raw, session] : sessions) {
          session->CloseIfIdle();
        }
      });
    }
    if (this->connection_count == 0) {
      this->ReportDrained();
    }
  }

  void ReportDrained() {
    std::function<void()> drained_handler;
    {
      const RankedLock lock(this->mutex);
      drained_handler.swap(this->on_drained);
    }
    if (drained_handler) {
      drained_handler();
    }
  }

  tcp::acceptor acceptor;
  asio::steady_timer accept_retry_timer{acceptor.get_executor()};
  std::size_t max_connections;
  std::shared_ptr<ShutdownState> shutdown_state;
  std::vector<std::shared_ptr<StrandSessions>> strands;
  std::size_t next_strand = 0;
  std::atomic<std::size_t> connection_count = 0;
  RankedMutex<LockRank::kConnections> mutex;
  std::function<void()> on_drained;
};

Result<std::unique_ptr<CallerListener>> CallerListener::Listen(
    WorkerPool& pool,
    const Endpoint& endpoint,
    const std::vector<std::shared_ptr<Strand>>& strands,
    std::size_t max_connections,
    const MakeHandlers& make_handlers) {
  auto impl = std::make_shared<Impl>(pool, max_connections);
  for (const std::shared_ptr<Strand>& strand : strands) {
    impl->AddStrand(strand, make_handlers(strand));
  }
  BOOST_LEAF_CHECK(OpenAcceptor(impl->acceptor, endpoint));
  impl->Accept();
  return std::unique_ptr<CallerListener>(new CallerListener(std::move(impl)));
}

CallerListener::CallerListener(std::shared_ptr<Impl> listener_impl)
    : impl(std::move(listener_impl)) {}

CallerListener::~CallerListener() {
  asio::post(this->impl->acceptor.get_executor(), [impl = this->impl] {
    boost::system::error_code ignored;
    impl->acceptor.close(ignored);
  });
}

void CallerListener::DisableKeepAlive() {
  this->impl->shutdown_state->is_keep_alive_disabled = true;
}

void CallerListener::Drain(std::function<void()> on_drained) {
  this->DisableKeepAlive();
  {
    const RankedLock lock(this->impl->mutex);
    this->impl->on_drained = std::move(on_drained);
  }
  asio::post(this->impl->acceptor.get_executor(),
             [impl = this->impl] { impl->CloseAcceptor(); });
}

std::size_t CallerListener::open_connections() const {
  return this->impl->connection_count;
}

}  // namespace marigold
