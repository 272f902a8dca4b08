#ifndef SRC_NET_LISTING_LISTING_POLLER_H_
#define SRC_NET_LISTING_LISTING_POLLER_H_

#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include "src/net/listing/listing_reader.h"
#include "src/tables/listing_table.h"

namespace marigold {

// Reads the platform's list of backend servers into the listing table whenever
// `is_due` returns true. Calls `is_due` every 100 ms, except while a read is in
// progress.
template <ListingCodec Codec>
class ListingPoller
    : public std::enable_shared_from_this<ListingPoller<Codec>> {
 public:
  // Returns true if the list should be read now. `last_attempt` is the time at
  // which this process last tried to read it.
  using IsDue =
      std::function<bool(MonotonicTime now, MonotonicTime last_attempt)>;
  // Called after each successful read with whether the rows changed.
  using OnUpdated = std::function<void(bool changed)>;

  ListingPoller(WorkerPool& pool,
                const Endpoint& platform,
                ListingTable& listing_table,
                IsDue due_decision,
                OnUpdated updated_handler)
      : queue(pool),
        reader(std::make_shared<ListingReader<Codec>>(pool, queue, platform)),
        table(listing_table),
        is_due(std::move(due_decision)),
        on_updated(std::move(updated_handler)) {}

  ListingPoller(const ListingPoller&) = delete;
  ListingPoller& operator=(const ListingPoller&) = delete;

  void Start() {
    this->queue.Post([self = this->shared_from_this()] { self->CheckIfDue(); });
  }

 private:
  static constexpr Duration kCheckInterval = std::chrono::milliseconds(100);

  void CheckIfDue() {
    const MonotonicTime now = this->clock.Now();
    if (!this->reader->is_reading() && this->is_due(now, this->last_attempt)) {
      this->last_attempt = now;
      this->reader->Read(
          [weak = this->weak_from_this()](std::optional<Listing> listing) {
            const auto self = weak.lock();
            if (self && listing) {
              self->on_updated(self->table.Store(std::move(listing->servers),
                                                 listing->observed_at));
            }
          });
    }
    this->timer =
        this->queue.After(kCheckInterval, [weak = this->weak_from_this()] {
          if (const auto self = weak.lock()) {
            self->CheckIfDue();
          }
        });
  }

  SerialQueue queue;
  std::shared_ptr<ListingReader<Codec>> reader;
  ListingTable& table;
  IsDue is_due;
  OnUpdated on_updated;
  SystemClock clock;
  MonotonicTime last_attempt{};
  TimerHandle timer;
};

}  // namespace marigold

#endif  // SRC_NET_LISTING_LISTING_POLLER_H_
