#include "src/net/control/subscriber_hub.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "src/core/clock.h"
#include "src/core/log.h"
#include "src/core/ranked_mutex.h"
#include "src/net/control/detail/subscriber.h"
#include "src/wire/frame.h"

namespace marigold {

namespace {

// Changes within this interval are sent in one update, which bounds the number
// of messages to each entry VM during a burst of edits.
constexpr Duration kPushInterval = std::chrono::milliseconds(10);

// An update that has to be sent to a subscriber.
struct DueUpdate {
  std::shared_ptr<FramedConnection> connection;
  std::uint64_t subscription_number = 0;
  LogIndex from;
};

struct EncodedUpdate {
  LogIndex to;
  std::string body;
};

}  // namespace

struct SubscriberHub::Impl : std::enable_shared_from_this<Impl> {
  Impl(WorkerPool& worker_pool,
       const ControlTable& control_table,
       const ListingTable& listing_table,
       Duration heartbeat_period)
      : pool(worker_pool),
        table(control_table),
        listing(listing_table),
        heartbeat_interval(heartbeat_period) {}

  void SchedulePush(Duration delay) {
    if (this->is_push_scheduled.exchange(true)) {
      return;
    }
    auto push = [weak = this->weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->PushUpdates();
      }
    };
    const RankedLock lock(this->mutex);
    this->push_timer = this->pool.After(delay, std::move(push));
  }

  // `is_push_scheduled` ensures that only one worker runs this at a time, so
  // each subscriber receives its updates in order.
  void PushUpdates() {
    std::map<LogIndex, EncodedUpdate> updates;
    for (const DueUpdate& due :
         this->FindDueUpdates(this->table.lists_index())) {
      auto update = updates.find(due.from);
      if (update == updates.end()) {
        update =
            updates.emplace(due.from, this->EncodeUpdateAfter(due.from)).first;
      }
      if (due.connection->Send(update->second.body)) {
        this->MarkSent(due, update->second.to);
      } else {
        due.connection->Close();
      }
    }
    this->is_push_scheduled = false;
    this->AnnounceQuorumChange();
    if (this->HasDueUpdates(this->table.lists_index())) {
      this->SchedulePush(kPushInterval);
    }
  }

  std::vector<DueUpdate> FindDueUpdates(LogIndex newest) {
    const RankedLock lock(this->mutex);
    const MonotonicTime now = this->clock.Now();
    this->distribution_log.OnNewest(now, newest);
    std::vector<DueUpdate> due_updates;
    for (auto& [key, subscriber] : this->subscribers) {
      if (subscriber.acknowledged_index < newest && !subscriber.behind_since) {
        subscriber.behind_since = now;
      }
      if (IsDue(subscriber, newest)) {
        const LogIndex from =
            subscriber.needs_full_lists ? LogIndex() : subscriber.sent_index;
        due_updates.push_back(
            {subscriber.connection, subscriber.subscription_number, from});
      }
    }
    return due_updates;
  }

  // Records that a subscriber was sent the lists up to `to`, which may be newer
  // than the index for which the update was found to be due. Does nothing if
  // the subscriber has subscribed again in the meantime; the next push serves
  // that request.
  void MarkSent(const DueUpdate& due, LogIndex to) {
    const RankedLock lock(this->mutex);
    const auto position = this->subscribers.find(due.connection.get());
    if (position != this->subscribers.end() &&
        position->second.subscription_number == due.subscription_number) {
      position->second.sent_index = to;
      position->second.needs_full_lists = false;
    }
  }

  EncodedUpdate EncodeUpdateAfter(LogIndex from) const {
    ListUpdate update = this->table.UpdateAfter(from);
    std::string body = EncodeControlMessage(update);
    if (body.size() > kMaxFrameBodyBytes) {
      update = this->table.FullUpdate();
      body = EncodeControlMessage(update);
    }
    return {update.to, std::move(body)};
  }

  static bool IsDue(const detail::Subscriber& subscriber, LogIndex newest) {
    return subscriber.sent_index < newest || subscriber.needs_full_lists;
  }

  bool HasDueUpdates(LogIndex newest) const {
    const RankedLock lock(this->mutex);
    for (const auto& [key, subscriber] : this->subscribers) {
      if (IsDue(subscriber, newest)) {
        return true;
      }
    }
    return false;
  }

  StreamHeartbeat MakeHeartbeat() const {
    const ControlStatus status = this->table.Status();
    const ListingSummary listing_summary = this->listing.Summary();
    StreamHeartbeat heartbeat{status.lists_index, status.has_quorum};
    heartbeat.listing_hash = listing_summary.hash;
    if (listing_summary.observed_at) {
      heartbeat.listing_age = this->clock.Now() - *listing_summary.observed_at;
    }
    heartbeat.controls = LocationsOf(status.membership);
    const RankedLock lock(this->mutex);
    const std::size_t share_count =
        std::max<std::size_t>(heartbeat.controls.size(), 1) *
        std::max<std::size_t>(this->subscribers.size(), 1);
    heartbeat.limit_share = 1.0 / static_cast<double>(share_count);
    return heartbeat;
  }

  // Sends the listing to the subscribers that do not have its current rows.
  void PushListing() {
    const ListingSummary listing_summary = this->listing.Summary();
    if (!listing_summary.observed_at) {
      return;
    }
    std::vector<std::shared_ptr<FramedConnection>> outdated_connections;
    {
      const RankedLock lock(this->mutex);
      for (auto& [key, subscriber] : this->subscribers) {
        if (subscriber.listing != listing_summary.hash) {
          subscriber.listing = listing_summary.hash;
          outdated_connections.push_back(subscriber.connection);
        }
      }
    }
    if (outdated_connections.empty()) {
      return;
    }
    const std::string body = EncodeControlMessage(
        ListingUpdate{*this->listing.Servers(),
                      this->clock.Now() - *listing_summary.observed_at});
    for (const auto& connection : outdated_connections) {
      connection->Send(body);
    }
  }

  // Sends a heartbeat when the contact with a quorum is gained or lost. Entry
  // VMs that are starting wait for a control VM in contact with a quorum, and
  // the others leave one that has lost it.
  void AnnounceQuorumChange() {
    const bool has_quorum = this->table.Status().has_quorum;
    if (this->announced_has_quorum.exchange(has_quorum) != has_quorum) {
      this->SendHeartbeat();
    }
  }

  void SendHeartbeat() {
    this->SendToAll(EncodeControlMessage(this->MakeHeartbeat()));
  }

  void SendToAll(const std::string& body) {
    std::vector<std::shared_ptr<FramedConnection>> connections;
    {
      const RankedLock lock(this->mutex);
      for (const auto& [key, subscriber] : this->subscribers) {
        connections.push_back(subscriber.connection);
      }
    }
    for (const auto& connection : connections) {
      connection->Send(body);
    }
  }

  void SendHeartbeatsPeriodically() {
    this->SendHeartbeat();
    auto send_again = [weak = this->weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->SendHeartbeatsPeriodically();
      }
    };
    const RankedLock lock(this->mutex);
    this->distribution_log.LogLate(this->clock.Now(), this->subscribers);
    this->heartbeat_timer =
        this->pool.After(this->heartbeat_interval, std::move(send_again));
  }

  WorkerPool& pool;
  const ControlTable& table;
  const ListingTable& listing;
  const Duration heartbeat_interval;
  SystemClock clock;
  std::atomic<bool> is_push_scheduled = false;
  std::atomic<bool> announced_has_quorum = false;
  mutable RankedMutex<LockRank::kSubscribers> mutex;
  detail::Subscribers subscribers;
  detail::DistributionLog distribution_log;
  TimerHandle push_timer;
  TimerHandle heartbeat_timer;
};

SubscriberHub::SubscriberHub(WorkerPool& pool,
                             const ControlTable& table,
                             const ListingTable& listing,
                             Duration heartbeat_interval)
    : impl(std::make_shared<Impl>(pool, table, listing, heartbeat_interval)) {}

SubscriberHub::~SubscriberHub() = default;

void SubscriberHub::Start() {
  this->impl->SendHeartbeatsPeriodically();
}

void SubscriberHub::Subscribe(
    const std::shared_ptr<FramedConnection>& connection,
    const marigold::Subscribe& request) {
  {
    const RankedLock lock(this->impl->mutex);
    detail::Subscriber& subscriber = this->impl->subscribers[connection.get()];
    subscriber.connection = connection;
    subscriber.vm = request.vm;
    subscriber.data_centre = request.data_centre;
    subscriber.sent_index = request.known_index;
    subscriber.acknowledged_index = request.known_index;
    subscriber.needs_full_lists = request.known_index == LogIndex();
    subscriber.listing = request.listing_hash;
    ++subscriber.subscription_number;
    subscriber.last_message_at = this->impl->clock.Now();
  }
  LogEvent(LogLevel::kInfo, "subscribed",
           {{"vm", request.vm.value()}, {"have", request.known_index.value()}});
  connection->Send(EncodeControlMessage(this->impl->MakeHeartbeat()));
  this->impl->PushListing();
  this->impl->SchedulePush(Duration::zero());
}

void SubscriberHub::OnHeartbeat(const FramedConnection& connection,
                                const StreamHeartbeat& heartbeat) {
  const LogIndex newest = this->impl->table.lists_index();
  const RankedLock lock(this->impl->mutex);
  const auto position = this->impl->subscribers.find(&connection);
  if (position == this->impl->subscribers.end()) {
    return;
  }
  detail::Subscriber& subscriber = position->second;
  subscriber.acknowledged_index = heartbeat.index;
  subscriber.last_message_at = this->impl->clock.Now();
  if (subscriber.acknowledged_index >= newest) {
    subscriber.behind_since.reset();
    this->impl->distribution_log.OnConfirmed(subscriber.last_message_at, newest,
                                             subscriber,
                                             this->impl->subscribers);
  }
}

void SubscriberHub::OnClosed(const FramedConnection& connection) {
  std::optional<detail::Subscriber> removed_subscriber;
  const RankedLock lock(this->impl->mutex);
  const auto position = this->impl->subscribers.find(&connection);
  if (position != this->impl->subscribers.end()) {
    removed_subscriber = std::move(position->second);
    this->impl->subscribers.erase(position);
  }
}

void SubscriberHub::NotifyListingChanged() {
  this->impl->PushListing();
}

void SubscriberHub::SendToAll(const ControlMessage& message) {
  this->impl->SendToAll(EncodeControlMessage(message));
}

void SubscriberHub::NotifyListsChanged() {
  this->impl->SchedulePush(kPushInterval);
}

std::vector<SubscriberStatus> SubscriberHub::Subscribers() const {
  const RankedLock lock(this->impl->mutex);
  const MonotonicTime now = this->impl->clock.Now();
  std::vector<SubscriberStatus> statuses;
  for (const auto& [key, subscriber] : this->impl->subscribers) {
    const Duration time_behind = subscriber.behind_since
                                     ? now - *subscriber.behind_since
                                     : Duration::zero();
    statuses.push_back({subscriber.vm, subscriber.data_centre,
                        subscriber.acknowledged_index,
                        now - subscriber.last_message_at, time_behind});
  }
  return statuses;
}

}  // namespace marigold
