#include "src/net/control/aggregator_sharing.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "src/core/clock.h"
#include "src/core/log.h"
#include "src/core/ranked_mutex.h"
#include "src/policy/fan_out/aggregator_registry.h"

namespace marigold {

namespace {

// Changes within this interval are sent in one message. When the system starts,
// all entry VMs announce themselves within about a second.
constexpr Duration kFlushInterval = std::chrono::milliseconds(200);

// The other control VMs get the set this often even if it has not changed, so
// that they notice when this one stops.
constexpr Duration kRefreshInterval = std::chrono::seconds(4);

struct Follower {
  std::shared_ptr<FramedConnection> connection;
  AggregatorRegistry::StreamId stream;
  bool has_full_set = false;
};

struct PendingMessage {
  std::shared_ptr<FramedConnection> connection;
  bool is_full = false;
};

}  // namespace

struct AggregatorSharing::Impl
    : std::enable_shared_from_this<AggregatorSharing::Impl> {
  Impl(WorkerPool& worker_pool, Endpoint address, Sender peers_sender)
      : pool(worker_pool),
        own_address(std::move(address)),
        send_to_peers(std::move(peers_sender)) {}

  // Must be called with the mutex held.
  bool MarkFlushScheduled() {
    return !std::exchange(this->is_flush_scheduled, true);
  }

  void ScheduleFlush() {
    this->pool.PostAfter(kFlushInterval, [weak = this->weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->Flush();
      }
    });
  }

  // `is_flush_scheduled` ensures that only one worker runs this at a time, so
  // that each follower receives the changes in order.
  void Flush() {
    std::vector<PendingMessage> messages;
    std::vector<Aggregator> all;
    AggregatorUpdate change;
    std::optional<AggregatorSet> own_set;
    {
      const RankedLock lock(this->mutex);
      this->registry.DropExpired(this->clock.Now());
      all = this->registry.All();
      change = DifferenceOf(this->sent_set, all);
      this->sent_set = all;
      const bool has_changed = !change.added.empty() || !change.removed.empty();
      for (auto& [key, follower] : this->followers) {
        const bool is_full = !std::exchange(follower.has_full_set, true);
        if (is_full || has_changed) {
          messages.push_back({follower.connection, is_full});
        }
      }
      if (std::exchange(this->is_local_set_changed, false)) {
        own_set = AggregatorSet{this->own_address, this->registry.Local()};
      }
    }
    const std::string full_body =
        EncodeControlMessage(AggregatorUpdate{true, all, std::vector<VmId>()});
    const std::string change_body = EncodeControlMessage(change);
    for (const PendingMessage& message : messages) {
      message.connection->Send(message.is_full ? full_body : change_body);
    }
    if (own_set) {
      this->send_to_peers(*own_set);
    }
    bool must_flush_again = false;
    {
      const RankedLock lock(this->mutex);
      this->is_flush_scheduled =
          std::exchange(this->has_changed_since_flush, false);
      must_flush_again = this->is_flush_scheduled;
    }
    if (must_flush_again) {
      this->ScheduleFlush();
    }
  }

  void RefreshPeriodically() {
    {
      const RankedLock lock(this->mutex);
      this->is_local_set_changed = true;
    }
    this->OnChanged();
    this->pool.PostAfter(kRefreshInterval, [weak = this->weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->RefreshPeriodically();
      }
    });
  }

  void OnChanged() {
    bool must_schedule = false;
    {
      const RankedLock lock(this->mutex);
      must_schedule = this->MarkFlushScheduled();
      this->has_changed_since_flush = !must_schedule;
    }
    if (must_schedule) {
      this->ScheduleFlush();
    }
  }

  WorkerPool& pool;
  const Endpoint own_address;
  const Sender send_to_peers;
  SystemClock clock;
  RankedMutex<LockRank::kSubscribers> mutex;
  AggregatorRegistry registry;
  std::map<const FramedConnection*, Follower> followers;
  std::uint64_t last_stream = 0;
  // The set that the followers have after the last flush.
  std::vector<Aggregator> sent_set;
  bool is_local_set_changed = false;
  bool is_flush_scheduled = false;
  bool has_changed_since_flush = false;
};

AggregatorSharing::AggregatorSharing(WorkerPool& pool,
                                     Endpoint own_address,
                                     Sender send_to_peers)
    : impl(std::make_shared<Impl>(pool,
                                  std::move(own_address),
                                  std::move(send_to_peers))) {}

AggregatorSharing::~AggregatorSharing() = default;

void AggregatorSharing::Start() {
  this->impl->RefreshPeriodically();
}

void AggregatorSharing::Announce(
    const std::shared_ptr<FramedConnection>& connection,
    const AnnounceAggregator& announced) {
  {
    const RankedLock lock(this->impl->mutex);
    const auto [position, added] =
        this->impl->followers.try_emplace(connection.get());
    Follower& follower = position->second;
    if (added) {
      follower = {connection,
                  AggregatorRegistry::StreamId(++this->impl->last_stream),
                  false};
    }
    if (announced.is_leaving) {
      this->impl->registry.Withdraw(follower.stream);
    } else {
      this->impl->registry.Announce(follower.stream, announced.aggregator);
    }
    this->impl->is_local_set_changed = true;
  }
  LogEvent(LogLevel::kInfo, "aggregator_announced",
           {{"vm", announced.aggregator.vm.value()},
            {"endpoint", ToString(announced.aggregator.endpoint)},
            {"leaving", announced.is_leaving}});
  this->impl->OnChanged();
}

void AggregatorSharing::OnClosed(const FramedConnection& connection) {
  {
    std::optional<Follower> removed;
    const RankedLock lock(this->impl->mutex);
    const auto position = this->impl->followers.find(&connection);
    if (position == this->impl->followers.end()) {
      return;
    }
    this->impl->registry.Withdraw(position->second.stream);
    this->impl->is_local_set_changed = true;
    removed = std::move(position->second);
    this->impl->followers.erase(position);
  }
  this->impl->OnChanged();
}

std::vector<DataCentreId> AggregatorSharing::DataCentres() const {
  const RankedLock lock(this->impl->mutex);
  std::vector<DataCentreId> data_centres;
  for (const Aggregator& aggregator : this->impl->registry.All()) {
    data_centres.push_back(aggregator.data_centre);
  }
  return data_centres;
}

void AggregatorSharing::OnPeerSet(const AggregatorSet& received) {
  {
    const RankedLock lock(this->impl->mutex);
    this->impl->registry.ApplyPeerSet(
        this->impl->clock.Now(), received.control_vm, received.aggregators);
  }
  this->impl->OnChanged();
}

}  // namespace marigold
