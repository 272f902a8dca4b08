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
#include "src/wire/frame.h"

namespace marigold {

namespace {

// Changes within this time are sent together, so that a burst of edits costs
// each entry VM a bounded number of messages.
constexpr Duration kPushInterval = std::chrono::milliseconds(10);

struct Subscriber {
  std::shared_ptr<FramedConnection> connection;
  VmId vm;
  DataCentreId data_centre;
  // The index that it has once everything sent has arrived.
  LogIndex sent;
  bool wants_whole = false;
  // The rows that were sent last.
  ListingHash listing;
  // Counts its requests to subscribe.
  std::uint64_t request = 0;
  // What it said last, and when.
  LogIndex index;
  MonotonicTime heard_at;
  // When it was first seen to lack the newest lists.
  std::optional<MonotonicTime> behind_since;
};

// An update that a subscriber is due.
struct Push {
  std::shared_ptr<FramedConnection> connection;
  std::uint64_t request = 0;
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
       Duration interval)
      : pool(worker_pool),
        table(control_table),
        listing(listing_table),
        heartbeat_interval(interval) {}

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

  // One worker at a time runs this, so that updates to one subscriber are made
  // in order.
  void PushUpdates() {
    std::map<LogIndex, EncodedUpdate> updates;
    for (const Push& push : this->DuePushes(this->table.lists_index())) {
      auto update = updates.find(push.from);
      if (update == updates.end()) {
        update = updates.emplace(push.from, this->Encode(push.from)).first;
      }
      if (push.connection->Send(update->second.body)) {
        this->NoteSent(push, update->second.to);
      } else {
        push.connection->Close();
      }
    }
    this->is_push_scheduled = false;
    this->AnnounceQuorum();
    if (this->HasPushes(this->table.lists_index())) {
      this->SchedulePush(kPushInterval);
    }
  }

  std::vector<Push> DuePushes(LogIndex newest) {
    const RankedLock lock(this->mutex);
    const MonotonicTime now = this->clock.Now();
    std::vector<Push> pushes;
    for (auto& [key, subscriber] : this->subscribers) {
      if (subscriber.index < newest && !subscriber.behind_since) {
        subscriber.behind_since = now;
      }
      if (IsDue(subscriber, newest)) {
        const LogIndex from =
            subscriber.wants_whole ? LogIndex() : subscriber.sent;
        pushes.push_back({subscriber.connection, subscriber.request, from});
      }
    }
    return pushes;
  }

  // The lists may have changed since the push was found due, so the update says
  // what was sent. A request that came meanwhile is served by another push.
  void NoteSent(const Push& push, LogIndex to) {
    const RankedLock lock(this->mutex);
    const auto position = this->subscribers.find(push.connection.get());
    if (position != this->subscribers.end() &&
        position->second.request == push.request) {
      position->second.sent = to;
      position->second.wants_whole = false;
    }
  }

  EncodedUpdate Encode(LogIndex from) const {
    ListUpdate update = this->table.UpdateAfter(from);
    std::string body = EncodeControlMessage(update);
    if (body.size() > kMostFrameBytes) {
      update = this->table.FullUpdate();
      body = EncodeControlMessage(update);
    }
    return {update.to, std::move(body)};
  }

  static bool IsDue(const Subscriber& subscriber, LogIndex newest) {
    return subscriber.sent < newest || subscriber.wants_whole;
  }

  bool HasPushes(LogIndex newest) const {
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
    const ListingSummary listed = this->listing.Summary();
    StreamHeartbeat heartbeat{status.lists_index, status.has_quorum};
    heartbeat.listing = listed.hash;
    if (listed.observed_at) {
      heartbeat.listing_age = this->clock.Now() - *listed.observed_at;
    }
    for (const Member& member : status.membership.members) {
      heartbeat.controls.push_back({member.address, member.data_centre});
    }
    const RankedLock lock(this->mutex);
    const std::size_t parts =
        std::max<std::size_t>(heartbeat.controls.size(), 1) *
        std::max<std::size_t>(this->subscribers.size(), 1);
    heartbeat.share = 1.0 / static_cast<double>(parts);
    return heartbeat;
  }

  // Sends the rows to those that were sent others, or none.
  void PushListing() {
    const ListingSummary listed = this->listing.Summary();
    if (!listed.observed_at) {
      return;
    }
    std::vector<std::shared_ptr<FramedConnection>> behind;
    {
      const RankedLock lock(this->mutex);
      for (auto& [key, subscriber] : this->subscribers) {
        if (subscriber.listing != listed.hash) {
          subscriber.listing = listed.hash;
          behind.push_back(subscriber.connection);
        }
      }
    }
    if (behind.empty()) {
      return;
    }
    const std::string body = EncodeControlMessage(ListingUpdate{
        *this->listing.Servers(), this->clock.Now() - *listed.observed_at});
    for (const auto& connection : behind) {
      connection->Send(body);
    }
  }

  // Entry VMs that start wait for a control VM with a quorum, and others leave
  // one that has lost it.
  void AnnounceQuorum() {
    const bool has_quorum = this->table.Status().has_quorum;
    if (this->announced_quorum.exchange(has_quorum) != has_quorum) {
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

  void SendHeartbeats() {
    this->SendHeartbeat();
    auto again = [weak = this->weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->SendHeartbeats();
      }
    };
    const RankedLock lock(this->mutex);
    this->heartbeat_timer =
        this->pool.After(this->heartbeat_interval, std::move(again));
  }

  WorkerPool& pool;
  const ControlTable& table;
  const ListingTable& listing;
  const Duration heartbeat_interval;
  SystemClock clock;
  std::atomic<bool> is_push_scheduled = false;
  std::atomic<bool> announced_quorum = false;
  mutable RankedMutex<LockRank::kSubscribers> mutex;
  std::map<const FramedConnection*, Subscriber> subscribers;
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
  this->impl->SendHeartbeats();
}

void SubscriberHub::Subscribe(
    const std::shared_ptr<FramedConnection>& connection,
    const marigold::Subscribe& request) {
  {
    const RankedLock lock(this->impl->mutex);
    Subscriber& subscriber = this->impl->subscribers[connection.get()];
    subscriber.connection = connection;
    subscriber.vm = request.vm;
    subscriber.data_centre = request.data_centre;
    subscriber.sent = request.have;
    subscriber.index = request.have;
    subscriber.wants_whole = request.have == LogIndex();
    subscriber.listing = request.listing;
    ++subscriber.request;
    subscriber.heard_at = this->impl->clock.Now();
  }
  LogEvent(LogLevel::kInfo, "subscribed",
           {{"vm", request.vm.value()}, {"have", request.have.value()}});
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
  Subscriber& subscriber = position->second;
  subscriber.index = heartbeat.index;
  subscriber.heard_at = this->impl->clock.Now();
  if (subscriber.index >= newest) {
    subscriber.behind_since.reset();
  }
}

void SubscriberHub::OnClosed(const FramedConnection& connection) {
  std::optional<Subscriber> dropped;
  const RankedLock lock(this->impl->mutex);
  const auto position = this->impl->subscribers.find(&connection);
  if (position != this->impl->subscribers.end()) {
    dropped = std::move(position->second);
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
    const Duration behind = subscriber.behind_since
                                ? now - *subscriber.behind_since
                                : Duration::zero();
    statuses.push_back({subscriber.vm, subscriber.data_centre, subscriber.index,
                        now - subscriber.heard_at, behind});
  }
  return statuses;
}

}  // namespace marigold
