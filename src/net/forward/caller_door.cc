#include "src/net/forward/caller_door.h"

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

// Timeouts of connections are seconds long and checked this often.
constexpr Duration kCheckInterval = std::chrono::milliseconds(500);

// File descriptors may be used up for a while.
constexpr Duration kAcceptPause = std::chrono::milliseconds(100);

struct DoorLane {
  std::shared_ptr<Lane> lane;
  std::shared_ptr<CallerHandlers> handlers;
  // Used only on the lane.
  std::unordered_map<CallerSession*, std::shared_ptr<CallerSession>> sessions;
};

}  // namespace

struct CallerDoor::Impl : std::enable_shared_from_this<CallerDoor::Impl> {
  Impl(WorkerPool& pool, std::size_t limit)
      : acceptor(asio::make_strand(pool.context())),
        most_connections(limit),
        flags(std::make_shared<LeavingFlags>()) {}

  void AddLane(const std::shared_ptr<Lane>& lane, CallerHandlers handlers) {
    auto entry = std::make_shared<DoorLane>();
    entry->lane = lane;
    handlers.on_closed = [weak = this->weak_from_this(),
                          raw = entry.get()](CallerSession* session) {
      if (const auto self = weak.lock()) {
        raw->sessions.erase(session);
        self->OnClosed();
      }
    };
    entry->handlers = std::make_shared<CallerHandlers>(std::move(handlers));
    this->lanes.push_back(entry);
    lane->Post(
        [self = this->shared_from_this(), entry] { self->ArmCheck(entry); });
  }

  void ArmCheck(const std::shared_ptr<DoorLane>& entry) {
    entry->lane->At(entry->lane->Now() + kCheckInterval,
                    [weak = this->weak_from_this(), entry] {
                      const auto self = weak.lock();
                      if (!self) {
                        return;
                      }
                      const MonotonicTime now = entry->lane->Now();
                      const auto sessions = entry->sessions;
                      for (const auto& [raw, session] : sessions) {
                        session->CheckTimeouts(now);
                      }
                      self->ArmCheck(entry);
                    });
  }

  void Accept() {
    const std::shared_ptr<DoorLane>& entry =
        this->lanes[this->next_lane++ % this->lanes.size()];
    this->acceptor.async_accept(
        entry->lane->executor(),
        [self = this->shared_from_this(), entry](
            const boost::system::error_code& error, tcp::socket socket) {
          self->OnAccepted(entry, error, std::move(socket));
        });
  }

  void OnAccepted(const std::shared_ptr<DoorLane>& entry,
                  const boost::system::error_code& error,
                  tcp::socket socket) {
    if (!error) {
      this->Admit(entry, std::move(socket));
    }
    if (!this->acceptor.is_open()) {
      return;
    }
    if (!error) {
      this->Accept();
      return;
    }
    LogEvent(LogLevel::kWarning, "accept_failed", {{"error", error.message()}});
    this->pause.expires_after(kAcceptPause);
    this->pause.async_wait(
        [self = this->shared_from_this()](const boost::system::error_code&) {
          if (self->acceptor.is_open()) {
            self->Accept();
          }
        });
  }

  void Admit(const std::shared_ptr<DoorLane>& entry, tcp::socket socket) {
    if (this->connections >= this->most_connections) {
      LogEvent(LogLevel::kWarning, "connection_refused",
               {{"connections", this->connections.load()}});
      return;
    }
    ++this->connections;
    auto session = std::make_shared<CallerSession>(
        entry->lane, std::move(socket), entry->handlers, this->flags);
    asio::dispatch(entry->lane->executor(), [entry, session] {
      entry->sessions.emplace(session.get(), session);
      session->Start();
    });
  }

  void OnClosed() {
    if (--this->connections == 0 && this->flags->is_draining) {
      this->ReportDrained();
    }
  }

  // Takes the connections that the kernel has accepted; runs on the acceptor's
  // strand.
  void CloseAcceptor() {
    boost::system::error_code error;
    this->acceptor.cancel(error);
    this->acceptor.non_blocking(true, error);
    while (!error) {
      const std::shared_ptr<DoorLane>& entry =
          this->lanes[this->next_lane++ % this->lanes.size()];
      tcp::socket socket(entry->lane->executor());
      this->acceptor.accept(socket, error);
      if (!error) {
        this->Admit(entry, std::move(socket));
      }
    }
    this->acceptor.close(error);
    this->flags->is_draining = true;
    for (const auto& entry : this->lanes) {
      entry->lane->Post([entry] {
        const auto sessions = entry->sessions;
        for (const auto& [raw, session] : sessions) {
          session->CloseIfIdle();
        }
      });
    }
    if (this->connections == 0) {
      this->ReportDrained();
    }
  }

  void ReportDrained() {
    std::function<void()> drained;
    {
      const RankedLock lock(this->mutex);
      drained.swap(this->on_drained);
    }
    if (drained) {
      drained();
    }
  }

  tcp::acceptor acceptor;
  asio::steady_timer pause{acceptor.get_executor()};
  std::size_t most_connections;
  std::shared_ptr<LeavingFlags> flags;
  std::vector<std::shared_ptr<DoorLane>> lanes;
  std::size_t next_lane = 0;
  std::atomic<std::size_t> connections = 0;
  RankedMutex<LockRank::kConnections> mutex;
  std::function<void()> on_drained;
};

Result<std::unique_ptr<CallerDoor>> CallerDoor::Listen(
    WorkerPool& pool,
    const Endpoint& endpoint,
    const std::vector<std::shared_ptr<Lane>>& lanes,
    std::size_t most_connections,
    const MakeHandlers& make_handlers) {
  auto impl = std::make_shared<Impl>(pool, most_connections);
  for (const std::shared_ptr<Lane>& lane : lanes) {
    impl->AddLane(lane, make_handlers(lane));
  }
  BOOST_LEAF_CHECK(OpenAcceptor(impl->acceptor, endpoint));
  impl->Accept();
  return std::unique_ptr<CallerDoor>(new CallerDoor(std::move(impl)));
}

CallerDoor::CallerDoor(std::shared_ptr<Impl> door_impl)
    : impl(std::move(door_impl)) {}

CallerDoor::~CallerDoor() {
  asio::post(this->impl->acceptor.get_executor(), [impl = this->impl] {
    boost::system::error_code ignored;
    impl->acceptor.close(ignored);
  });
}

void CallerDoor::Leave() {
  this->impl->flags->is_leaving = true;
}

void CallerDoor::Drain(std::function<void()> on_drained) {
  this->Leave();
  {
    const RankedLock lock(this->impl->mutex);
    this->impl->on_drained = std::move(on_drained);
  }
  asio::post(this->impl->acceptor.get_executor(),
             [impl = this->impl] { impl->CloseAcceptor(); });
}

std::size_t CallerDoor::open_connections() const {
  return this->impl->connections;
}

}  // namespace marigold
