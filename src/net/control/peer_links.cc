#include "src/net/control/peer_links.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "src/core/clock.h"
#include "src/core/log.h"
#include "src/core/random.h"
#include "src/core/ranked_mutex.h"
#include "src/net/control/framed_connection.h"

namespace marigold {

namespace {

constexpr Duration kShortestBackoff = std::chrono::milliseconds(20);
constexpr Duration kLongestBackoff = std::chrono::milliseconds(500);

// A connect that takes longer began while the peer was down or is on a link
// that loses packets.
constexpr Duration kUsualConnect = std::chrono::milliseconds(20);

struct Link {
  std::shared_ptr<FramedConnection> connection;
  // Nothing once it is connected.
  std::optional<MonotonicTime> connecting_since;
  // No connection is tried before this.
  MonotonicTime retry_at;
  Duration backoff = kShortestBackoff;
};

}  // namespace

struct PeerLinks::Impl : std::enable_shared_from_this<Impl> {
  Impl(WorkerPool& worker_pool, Duration silence_timeout, OnBody body_handler)
      : pool(worker_pool),
        on_body(std::move(body_handler)),
        random(SystemSeed()) {
    this->limits.silence_timeout = silence_timeout;
    // A peer that has just got power back answers the next try at once.
    this->limits.connect_timeout = silence_timeout / 2;
  }

  std::shared_ptr<FramedConnection> Find(const Endpoint& peer) {
    const RankedLock lock(this->mutex);
    Link& link = this->links[peer];
    if (!link.connection && !this->is_closed &&
        this->clock.Now() >= link.retry_at) {
      link.connection = FramedConnection::Create(this->pool, this->limits);
      link.connecting_since = this->clock.Now();
      link.connection->Connect(peer,
                               this->HandlersOf(peer, link.connection.get()));
    }
    return link.connection;
  }

  // `connection` is only compared: the link may have another one by then.
  FramedHandlers HandlersOf(const Endpoint& peer,
                            const FramedConnection* connection) {
    FramedHandlers handlers;
    handlers.on_open = [weak = this->weak_from_this(), peer, connection] {
      if (const auto self = weak.lock()) {
        self->OnOpen(peer, connection);
      }
    };
    handlers.on_body = [weak = this->weak_from_this(), peer](std::string body) {
      if (const auto self = weak.lock()) {
        self->on_body(peer, std::move(body));
      }
    };
    handlers.on_closed = [weak = this->weak_from_this(), peer,
                          connection](CloseReason reason) {
      if (const auto self = weak.lock()) {
        self->OnClosed(peer, connection, reason);
      }
    };
    return handlers;
  }

  void OnOpen(const Endpoint& peer, const FramedConnection* connection) {
    const RankedLock lock(this->mutex);
    Link& link = this->links[peer];
    if (link.connection.get() == connection) {
      link.backoff = kShortestBackoff;
      link.connecting_since.reset();
    }
  }

  void OnHeard(const Endpoint& peer) {
    std::shared_ptr<FramedConnection> abandoned;
    {
      const RankedLock lock(this->mutex);
      const auto position = this->links.find(peer);
      if (position == this->links.end()) {
        return;
      }
      Link& link = position->second;
      const MonotonicTime now = this->clock.Now();
      if (!link.connection) {
        link.retry_at = now;
      } else if (link.connecting_since &&
                 now - *link.connecting_since > kUsualConnect) {
        abandoned = std::exchange(link.connection, nullptr);
        link.retry_at = now;
      }
    }
    if (abandoned) {
      abandoned->Close();
    }
  }

  void OnClosed(const Endpoint& peer,
                const FramedConnection* connection,
                CloseReason reason) {
    LogEvent(LogLevel::kDebug, "peer_link_closed",
             {{"peer", ToString(peer)}, {"reason", ToString(reason)}});
    const RankedLock lock(this->mutex);
    Link& link = this->links[peer];
    if (link.connection.get() != connection) {
      return;
    }
    link.connection.reset();
    const auto jitter =
        Duration(static_cast<Duration::rep>(this->random.NextBelow(
            static_cast<std::uint64_t>(link.backoff.count()))));
    link.retry_at = this->clock.Now() + link.backoff / 2 + jitter / 2;
    link.backoff = std::min(link.backoff * 2, kLongestBackoff);
  }

  void Close() {
    std::vector<std::shared_ptr<FramedConnection>> open;
    {
      const RankedLock lock(this->mutex);
      this->is_closed = true;
      for (auto& [peer, link] : this->links) {
        if (link.connection) {
          open.push_back(std::move(link.connection));
        }
      }
    }
    for (const auto& connection : open) {
      connection->Close();
    }
  }

  WorkerPool& pool;
  OnBody on_body;
  FramedLimits limits;
  SystemClock clock;
  RankedMutex<LockRank::kConnections> mutex;
  SeededRandom random;
  std::map<Endpoint, Link> links;
  bool is_closed = false;
};

PeerLinks::PeerLinks(WorkerPool& pool, Duration silence_timeout, OnBody on_body)
    : impl(std::make_shared<Impl>(pool, silence_timeout, std::move(on_body))) {}

PeerLinks::~PeerLinks() {
  this->impl->Close();
}

void PeerLinks::Send(const Endpoint& peer, std::string_view body) {
  if (const auto connection = this->impl->Find(peer)) {
    connection->Send(body);
  }
}

void PeerLinks::OnHeard(const Endpoint& peer) {
  this->impl->OnHeard(peer);
}

}  // namespace marigold
