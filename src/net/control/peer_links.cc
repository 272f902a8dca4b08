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

constexpr Duration kMinBackoff = std::chrono::milliseconds(20);
constexpr Duration kMaxBackoff = std::chrono::milliseconds(500);

// A connect that takes longer than this is assumed to have begun while the peer
// was down, or to have lost packets.
constexpr Duration kUsualConnectTime = std::chrono::milliseconds(20);

struct Link {
  std::shared_ptr<FramedConnection> connection;
  // Absent once the connection is open.
  std::optional<MonotonicTime> connecting_since;
  // No connection is attempted before this time.
  MonotonicTime next_connect_at;
  Duration backoff = kMinBackoff;
};

}  // namespace

struct PeerLinks::Impl : std::enable_shared_from_this<Impl> {
  Impl(WorkerPool& worker_pool, Duration silence_timeout, OnBody body_handler)
      : pool(worker_pool),
        on_body(std::move(body_handler)),
        random(SystemSeed()) {
    this->limits.silence_timeout = silence_timeout;
    // With a short timeout, a peer is reached sooner after its power returns.
    // The peer accepts a new attempt immediately, whereas a pending attempt
    // waits for the kernel to retransmit its SYN packet.
    this->limits.connect_timeout = silence_timeout / 2;
  }

  std::shared_ptr<FramedConnection> FindOrConnect(const Endpoint& peer) {
    const RankedLock lock(this->mutex);
    Link& link = this->links[peer];
    if (!link.connection && !this->is_closed &&
        this->clock.Now() >= link.next_connect_at) {
      link.connection = FramedConnection::Create(this->pool, this->limits);
      link.connecting_since = this->clock.Now();
      link.connection->Connect(peer,
                               this->MakeHandlers(peer, link.connection.get()));
    }
    return link.connection;
  }

  // `connection` is only compared and never dereferenced, because the link may
  // have been given another connection when a handler runs.
  FramedHandlers MakeHandlers(const Endpoint& peer,
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
      link.backoff = kMinBackoff;
      link.connecting_since.reset();
    }
  }

  void OnPeerReachable(const Endpoint& peer) {
    std::shared_ptr<FramedConnection> abandoned_connection;
    {
      const RankedLock lock(this->mutex);
      const auto position = this->links.find(peer);
      if (position == this->links.end()) {
        return;
      }
      Link& link = position->second;
      const MonotonicTime now = this->clock.Now();
      if (!link.connection) {
        link.next_connect_at = now;
      } else if (link.connecting_since &&
                 now - *link.connecting_since > kUsualConnectTime) {
        abandoned_connection = std::exchange(link.connection, nullptr);
        link.next_connect_at = now;
      }
    }
    if (abandoned_connection) {
      abandoned_connection->Close();
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
    link.next_connect_at = this->clock.Now() + link.backoff / 2 + jitter / 2;
    link.backoff = std::min(link.backoff * 2, kMaxBackoff);
  }

  void Close() {
    std::vector<std::shared_ptr<FramedConnection>> open_connections;
    {
      const RankedLock lock(this->mutex);
      this->is_closed = true;
      for (auto& [peer, link] : this->links) {
        if (link.connection) {
          open_connections.push_back(std::move(link.connection));
        }
      }
    }
    for (const auto& connection : open_connections) {
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
  if (const auto connection = this->impl->FindOrConnect(peer)) {
    connection->Send(body);
  }
}

void PeerLinks::OnPeerReachable(const Endpoint& peer) {
  this->impl->OnPeerReachable(peer);
}

}  // namespace marigold
