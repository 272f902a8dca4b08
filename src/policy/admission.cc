#include "src/policy/admission.h"

#include <algorithm>
#include <iterator>

namespace marigold {

namespace {

// The inverse weight of the newest run time in the moving average.
constexpr int kRunTimeMeanDivisor = 20;
// The number of offers between two removals of idle customers.
constexpr std::uint64_t kOffersPerIdleCheck = 4096;
// The minimum retry delay that a refusal for overload or for the concurrency
// limit tells the caller.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(50);
// A request is refused for its deadline only if the time left is less than the
// median run time divided by this, because many requests run for less than the
// median.
constexpr int kRequiredRunTimeDivisor = 2;

Refusal MakeRefusal(Reason reason, std::optional<Duration> retry_after) {
  return {Execution::kDidNotRun, reason, "", retry_after};
}

}  // namespace

Admission::Admission(AdmissionSettings admission_settings)
    : settings(admission_settings),
      adaptive_capacity(admission_settings.max_capacity) {}

AdmissionDecision Admission::Offer(MonotonicTime now,
                                   const AdmissionOffer& offer) {
  if (++this->offer_count % kOffersPerIdleCheck == 0) {
    this->RemoveIdleCustomers(now);
  }
  Customer& customer = this->customers[offer.customer];
  if (auto refusal = this->CheckLimits(now, offer, customer)) {
    return *std::move(refusal);
  }
  Request request{offer.customer, offer.service, offer.deadline, 0, {}};
  request.start_tag = std::max(this->virtual_time, customer.last_finish_tag);
  this->fair_share_limiter.OnOffer(now, offer.customer, offer.limits.weight);
  if (this->fair_share_limiter.ExceedsAllowance(now, offer.customer)) {
    customer.bucket.Refund();
    return MakeRefusal(Reason::kOverloaded, kMinRetryAfter);
  }
  const bool can_run = this->queue.empty() &&
                       this->running_count < this->adaptive_capacity.capacity();
  if (!can_run) {
    if (auto refusal = this->CheckQueue(now, offer, request.start_tag)) {
      customer.bucket.Refund();
      return *std::move(refusal);
    }
  }
  customer.last_finish_tag =
      request.start_tag + 1.0 / std::max(offer.limits.weight, 1U);
  Request& stored_request = this->requests[offer.ticket] = std::move(request);
  if (can_run) {
    this->Start(now, stored_request);
    return AdmissionGranted();
  }
  this->Enqueue(now, offer.ticket, stored_request);
  return AdmissionQueued();
}

std::optional<Refusal> Admission::CheckLimits(MonotonicTime now,
                                              const AdmissionOffer& offer,
                                              Customer& customer) {
  const AdmissionLimits& limits = offer.limits;
  if (now > this->LatestStart(offer.service, offer.deadline)) {
    return MakeRefusal(Reason::kDeadlineTooShort, std::nullopt);
  }
  customer.bucket.Configure(now, limits.rate, limits.burst);
  if (customer.running + customer.waiting >= limits.concurrency) {
    return MakeRefusal(Reason::kConcurrencyLimited,
                       std::max(this->mean_run_time, kMinRetryAfter));
  }
  if (limits.rate.value() <= 0 || !customer.bucket.TryTake(now)) {
    return MakeRefusal(Reason::kRateLimited, customer.bucket.TimeToNextToken());
  }
  return std::nullopt;
}

std::optional<Refusal> Admission::CheckQueue(MonotonicTime now,
                                             const AdmissionOffer& offer,
                                             double start_tag) const {
  const Duration wait = this->ExpectedWait(start_tag);
  const bool queue_rejects_offer =
      this->queue.size() >= this->settings.max_queue_length &&
      (this->queue.empty() || this->queue.rbegin()->first <= start_tag);
  if (queue_rejects_offer || wait > this->settings.max_wait ||
      now + wait > this->LatestStart(offer.service, offer.deadline)) {
    return MakeRefusal(Reason::kOverloaded, std::max(wait, kMinRetryAfter));
  }
  return std::nullopt;
}

Duration Admission::ExpectedWait(double start_tag) const {
  const auto first_behind = this->queue.lower_bound({start_tag, TicketId()});
  const auto requests_ahead =
      std::distance(this->queue.begin(), first_behind) + 1;
  return this->mean_run_time * requests_ahead /
         static_cast<std::int64_t>(
             std::max(this->adaptive_capacity.capacity(), 1U));
}

MonotonicTime Admission::LatestStart(const ServiceId& service,
                                     MonotonicTime deadline) const {
  return deadline - this->adaptive_capacity.MedianRunTime(service) /
                        kRequiredRunTimeDivisor;
}

void Admission::Start(MonotonicTime now, const Request& request) {
  Customer& customer = this->customers[request.customer];
  this->virtual_time = std::max(this->virtual_time, request.start_tag);
  this->fair_share_limiter.OnStart(now, request.customer);
  ++customer.running;
  ++this->running_count;
}

void Admission::Enqueue(MonotonicTime now, TicketId ticket, Request& request) {
  if (this->queue.size() >= this->settings.max_queue_length) {
    // Evicts the request with the highest start tag. It belongs to the customer
    // that is furthest ahead of its share.
    const TicketId last_ticket = this->queue.rbegin()->second;
    this->Dequeue(last_ticket, this->requests.at(last_ticket));
    this->requests.erase(last_ticket);
    this->evicted_tickets.push_back(last_ticket);
  }
  request.expires_at =
      std::min(now + this->settings.max_wait,
               this->LatestStart(request.service, request.deadline));
  this->queue.emplace(request.start_tag, ticket);
  this->tickets_by_expiry.emplace(request.expires_at, ticket);
  ++this->customers[request.customer].waiting;
}

void Admission::Dequeue(TicketId ticket, const Request& request) {
  this->queue.erase({request.start_tag, ticket});
  this->tickets_by_expiry.erase({request.expires_at, ticket});
  --this->customers[request.customer].waiting;
}

EndedWaits Admission::Complete(MonotonicTime now,
                               TicketId ticket,
                               Duration run_time,
                               Congestion congestion) {
  EndedWaits ended_waits;
  const auto position = this->requests.find(ticket);
  if (position == this->requests.end()) {
    return ended_waits;
  }
  const Request request = std::move(position->second);
  this->requests.erase(position);
  if (this->mean_run_time == Duration::zero()) {
    this->mean_run_time = run_time;
  }
  this->mean_run_time += (run_time - this->mean_run_time) / kRunTimeMeanDivisor;
  this->fair_share_limiter.OnCongestion(now, congestion);
  this->adaptive_capacity.OnComplete(
      now, {request.service, run_time, congestion == Congestion::kOverload,
            this->running_count});
  --this->customers[request.customer].running;
  --this->running_count;
  this->StartWaitingRequests(now, ended_waits);
  return ended_waits;
}

EndedWaits Admission::Expire(MonotonicTime now) {
  EndedWaits ended_waits;
  ended_waits.expired = std::exchange(this->evicted_tickets, {});
  while (!this->tickets_by_expiry.empty() &&
         this->tickets_by_expiry.begin()->first <= now) {
    this->ExpireTicket(this->tickets_by_expiry.begin()->second, ended_waits);
  }
  return ended_waits;
}

void Admission::ExpireTicket(TicketId ticket, EndedWaits& ended_waits) {
  const auto position = this->requests.find(ticket);
  this->Dequeue(ticket, position->second);
  this->requests.erase(position);
  ended_waits.expired.push_back(ticket);
}

void Admission::StartWaitingRequests(MonotonicTime now,
                                     EndedWaits& ended_waits) {
  while (!this->queue.empty() &&
         this->running_count < this->adaptive_capacity.capacity()) {
    const TicketId ticket = this->queue.begin()->second;
    Request& request = this->requests.at(ticket);
    if (request.expires_at <= now) {
      this->ExpireTicket(ticket, ended_waits);
      continue;
    }
    this->Dequeue(ticket, request);
    this->Start(now, request);
    ended_waits.ready.push_back(ticket);
  }
}

void Admission::RemoveIdleCustomers(MonotonicTime now) {
  this->fair_share_limiter.RemoveIdle(now);
  std::erase_if(this->customers, [this, now](const auto& item) {
    const Customer& customer = item.second;
    return customer.running == 0 && customer.waiting == 0 &&
           customer.last_finish_tag <= this->virtual_time &&
           customer.bucket.IsFull(now);
  });
}

MonotonicTime Admission::NextExpiry() const {
  if (!this->evicted_tickets.empty()) {
    return MonotonicTime();
  }
  return this->tickets_by_expiry.empty()
             ? MonotonicTime::max()
             : this->tickets_by_expiry.begin()->first;
}

}  // namespace marigold
