#ifndef SRC_POLICY_ADMISSION_H_
#define SRC_POLICY_ADMISSION_H_

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "src/core/ids.h"
#include "src/core/units.h"
#include "src/core/verdict.h"
#include "src/policy/adaptive_capacity.h"
#include "src/policy/fair_share_limiter.h"
#include "src/policy/service_traffic.h"
#include "src/policy/token_bucket.h"

namespace marigold {

// Identifies one request from its offer to its completion.
using TicketId = detail::NumericId<struct TicketTag>;

// This entry VM's part of a customer's limits.
struct AdmissionLimits {
  RatePerSecond rate;
  std::uint32_t burst = 0;
  std::uint32_t concurrency = 0;
  std::uint32_t weight = 1;
};

struct AdmissionOffer {
  TicketId ticket;
  CustomerId customer;
  ServiceId service;
  AdmissionLimits limits;
  // When the caller gives up.
  MonotonicTime deadline;
};

struct AdmissionSettings {
  // Most requests that run at the same time. Fewer run while the backend
  // servers are overloaded.
  std::uint32_t max_capacity = 256;
  // Requests that wait for capacity, over all customers.
  std::uint32_t max_queue_length = 1024;
  // A request that could not begin within this time is refused, so that its
  // caller knows soon that it did not run.
  Duration max_wait = std::chrono::milliseconds(15);
};

// The request may run now.
struct AdmissionGranted {};

// The request waits; a later call names its ticket as ready or expired.
struct AdmissionQueued {};

using AdmissionDecision =
    std::variant<AdmissionGranted, AdmissionQueued, Refusal>;

// Tickets whose wait ended.
struct EndedWaits {
  std::vector<TicketId> ready;
  // Could not begin within their deadlines; refused as did-not-run.
  std::vector<TicketId> expired;
};

// Decides which requests run: token buckets for rates, limits on concurrency,
// and weighted fair queueing between customers for contended capacity. Not
// synchronised.
class Admission {
 public:
  explicit Admission(AdmissionSettings admission_settings);

  // Commands.

  AdmissionDecision Offer(MonotonicTime now, const AdmissionOffer& offer);

  // Ends a request that ran for `run_time`, and gives its capacity to the next.
  // `congestion` is that of the service's backend servers.
  EndedWaits Complete(MonotonicTime now,
                      TicketId ticket,
                      Duration run_time,
                      Congestion congestion = Congestion::kNone);

  // Drops waiting requests whose deadlines can no longer be met; to be called
  // at `NextExpiry`.
  EndedWaits Expire(MonotonicTime now);

  // Queries.

  // `MonotonicTime::max()` if nothing waits.
  MonotonicTime NextExpiry() const;
  std::uint32_t running() const { return this->running_count; }
  std::uint32_t waiting() const {
    return static_cast<std::uint32_t>(this->queue.size());
  }
  // Requests that may run now.
  std::uint32_t capacity() const { return this->adaptive_capacity.capacity(); }

 private:
  struct Customer {
    TokenBucket bucket;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    // Virtual time at which its last request ends.
    double last_finish_tag = 0;
  };

  struct Request {
    CustomerId customer;
    ServiceId service;
    MonotonicTime deadline;
    // Virtual time at which it begins.
    double start_tag = 0;
    MonotonicTime expires_at;
  };

  // Orders waiting requests by their start tags.
  using QueueKey = std::pair<double, TicketId>;

  std::optional<Refusal> CheckLimits(MonotonicTime now,
                                     const AdmissionOffer& offer,
                                     Customer& customer);
  std::optional<Refusal> CheckQueue(MonotonicTime now,
                                    const AdmissionOffer& offer,
                                    double start_tag) const;
  Duration ExpectedWait(double start_tag) const;
  MonotonicTime LatestStart(const ServiceId& service,
                            MonotonicTime deadline) const;
  void Start(MonotonicTime now, const Request& request);
  void Enqueue(MonotonicTime now, TicketId ticket, Request& request);
  // Takes a waiting request out of the queue.
  void Dequeue(TicketId ticket, const Request& request);
  void ExpireTicket(TicketId ticket, EndedWaits& ended_waits);
  // Lets waiting requests begin while there is capacity.
  void StartWaiting(MonotonicTime now, EndedWaits& ended_waits);
  void RemoveIdleCustomers(MonotonicTime now);

  AdmissionSettings settings;
  AdaptiveCapacity adaptive_capacity;
  FairShareLimiter fair_share_limiter;
  std::unordered_map<CustomerId, Customer> customers;
  std::unordered_map<TicketId, Request> requests;
  std::set<QueueKey> queue;
  std::set<std::pair<MonotonicTime, TicketId>> tickets_by_expiry;
  // Waiting requests that had to make room for others.
  std::vector<TicketId> evicted;
  std::uint32_t running_count = 0;
  // Start tag of the request that began last.
  double virtual_time = 0;
  Duration mean_run_time{};
  std::uint64_t offer_count = 0;
};

}  // namespace marigold

#endif  // SRC_POLICY_ADMISSION_H_
