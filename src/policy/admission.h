#ifndef SRC_POLICY_ADMISSION_H_
#define SRC_POLICY_ADMISSION_H_

#include <cstdint>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "src/core/ids.h"
#include "src/core/units.h"
#include "src/core/verdict.h"
#include "src/policy/adaptive_capacity.h"
#include "src/policy/fair_share_limiter.h"
#include "src/policy/request_priority.h"
#include "src/policy/service_traffic.h"
#include "src/policy/token_bucket.h"

namespace marigold {

// Identifies one request from its offer until it completes, expires or is
// refused.
using TicketId = detail::NumericId<struct TicketTag>;

// The limits that this entry VM applies to one customer: its part of the
// customer's limits across all entry VMs. `burst` and `concurrency` are numbers
// of requests.
struct AdmissionLimits {
  RatePerSecond rate;
  std::uint32_t burst = 0;
  std::uint32_t concurrency = 0;
  std::uint32_t weight = 1;
};

// A request that asks for admission.
struct AdmissionOffer {
  TicketId ticket;
  CustomerId customer;
  ServiceId service;
  // Absent if neither the rate nor the concurrency of the customer is limited
  // here.
  std::optional<AdmissionLimits> limits;
  // The time at which the caller stops waiting.
  MonotonicTime deadline;
  RequestPriority priority{};

  // The weight of the request's share.
  std::uint32_t weight() const {
    return (this->limits ? this->limits->weight : 1) * this->priority.weight;
  }
};

struct AdmissionSettings {
  // The maximum number of requests that run at the same time. The adaptive
  // capacity stays below it while the backend servers are overloaded.
  std::uint32_t max_capacity = 256;
  // The maximum number of requests of all customers that wait for capacity.
  std::uint32_t max_queue_length = 1024;
  // A request that has not started within this time is refused, so that its
  // caller learns early that it did not run.
  Duration max_wait = std::chrono::milliseconds(15);
  // The adaptive capacity never falls below this number of requests.
  std::uint32_t min_capacity = 1;
  // The capacity is `max_capacity` once no overload was found for this time,
  // however few requests run. If absent, it follows the number of requests.
  std::optional<Duration> capacity_lift_after{};
  // The fraction of the median run time that has to be left before the deadline
  // when a request starts.
  Fraction required_run_time{0.5};
  // The shortest retry delay that a refusal for overload or for the concurrency
  // limit tells the caller.
  Duration min_retry_after = std::chrono::milliseconds(50);
  FairShareSettings fair_share{};
};

// The request may start now.
struct AdmissionGranted {};

// The request waits for capacity. A later call returns its ticket in
// `EndedWaits`, as ready or as expired.
struct AdmissionQueued {};

using AdmissionDecision =
    std::variant<AdmissionGranted, AdmissionQueued, Refusal>;

// The tickets of waiting requests that may start now or that are refused.
struct EndedWaits {
  std::vector<TicketId> ready;
  // Requests that could not start in time, or that were evicted from a full
  // queue. They are refused as did-not-run.
  std::vector<TicketId> expired;
};

// Decides which requests run. Token buckets limit the request rate of each
// customer, and a counter limits its concurrency. Start-time fair queueing
// divides contended capacity between customers by weight. The requests of one
// customer and priority form a flow. Not synchronised.
class Admission {
 public:
  explicit Admission(AdmissionSettings admission_settings);

  // Commands.

  // Decides whether a request may start, has to wait or is refused.
  AdmissionDecision Offer(MonotonicTime now, const AdmissionOffer& offer);

  // Ends a request that ran for `run_time` and assigns the freed capacity to
  // waiting requests. `congestion` is the state of the backend servers of the
  // request's service. An unknown ticket is ignored.
  EndedWaits Complete(MonotonicTime now,
                      TicketId ticket,
                      Duration run_time,
                      Congestion congestion = Congestion::kNone);

  // Ends a request whose caller is gone, whether it waits or runs. Assigns
  // capacity that this frees to waiting requests. An unknown ticket is ignored.
  EndedWaits Withdraw(MonotonicTime now, TicketId ticket);

  // Removes waiting requests that have expired or were evicted, and returns
  // them. The caller calls this at `NextExpiry`.
  EndedWaits Expire(MonotonicTime now);

  // Queries.

  // The time of the next `Expire` call; `MonotonicTime::max()` if no request
  // waits.
  MonotonicTime NextExpiry() const;
  // The number of requests that run.
  std::uint32_t running() const { return this->running_count; }
  // The number of requests in the queue.
  std::uint32_t waiting() const {
    return static_cast<std::uint32_t>(this->queue.size());
  }
  // The number of requests that may currently run at the same time.
  std::uint32_t capacity() const { return this->adaptive_capacity.capacity(); }
  // True if flows that exceed their share are refused because of queues at the
  // backend servers.
  bool is_limiting_shares() const {
    return this->fair_share_limiter.is_limiting();
  }

 private:
  struct Flow {
    TokenBucket bucket;
    bool has_rate_limit = false;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    // The finish tag of the flow's newest request, in virtual time.
    double last_finish_tag = 0;
  };

  struct Request {
    FlowKey flow;
    ServiceId service;
    MonotonicTime deadline;
    // The start tag, in virtual time. Requests start in order of their tags.
    double start_tag = 0;
    // The time at which the request is refused if it has not started.
    MonotonicTime expires_at;
    bool is_waiting = false;
  };

  // The start tag, the priority level and the ticket of a request. Of requests
  // with equal tags, the one of the highest priority starts first.
  using QueueKey = std::tuple<double, std::uint32_t, TicketId>;

  // Returns a refusal if the deadline or the customer's limits do not permit
  // the request. Otherwise takes a token from the flow's bucket.
  std::optional<Refusal> CheckLimits(MonotonicTime now,
                                     const AdmissionOffer& offer,
                                     Flow& flow);
  // Returns a refusal if the request cannot be queued or would wait too long.
  std::optional<Refusal> CheckQueue(MonotonicTime now,
                                    const AdmissionOffer& offer,
                                    double start_tag) const;
  // True if the offer goes before the last request of the queue, which must not
  // be empty.
  bool GoesBeforeLast(double start_tag, const AdmissionOffer& offer) const;
  // The expected time in the queue of a request with this start tag.
  Duration ExpectedWait(double start_tag, std::uint32_t priority_level) const;
  // The latest time at which a request of the service has to start to meet its
  // deadline.
  MonotonicTime LatestStart(const ServiceId& service,
                            MonotonicTime deadline) const;
  // Counts the request as running.
  void Start(MonotonicTime now, const Request& request);
  // Adds the request to the queue. Evicts another one if the queue is full.
  void Enqueue(MonotonicTime now, TicketId ticket, Request& request);
  void Dequeue(TicketId ticket, const Request& request);
  void ExpireTicket(TicketId ticket, EndedWaits& ended_waits);
  // Starts waiting requests while capacity is free.
  void StartWaitingRequests(MonotonicTime now, EndedWaits& ended_waits);
  void RemoveIdleFlows(MonotonicTime now);

  AdmissionSettings settings;
  AdaptiveCapacity adaptive_capacity;
  FairShareLimiter fair_share_limiter;
  std::unordered_map<FlowKey, Flow, FlowKeyHash> flows;
  std::unordered_map<TicketId, Request> requests;
  std::set<QueueKey> queue;
  std::set<std::pair<MonotonicTime, TicketId>> tickets_by_expiry;
  // Waiting requests that were removed from a full queue in favour of others.
  // The next `Expire` call returns them.
  std::vector<TicketId> evicted_tickets;
  std::uint32_t running_count = 0;
  // The highest start tag of a request that has started.
  double virtual_time = 0;
  // Moving average of the run times of all requests.
  Duration mean_run_time{};
  std::uint64_t offer_count = 0;
};

}  // namespace marigold

#endif  // SRC_POLICY_ADMISSION_H_
