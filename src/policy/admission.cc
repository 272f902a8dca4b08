#include "src/policy/admission.h"

#include <algorithm>
#include <iterator>

namespace marigold {

namespace {

// The inverse weight of the newest run time in the moving average.
constexpr int kRunTimeMeanDivisor = 20;
// The number of offers between two removals of idle flows.
constexpr std::uint64_t kOffersPerIdleCheck = 4096;

Refusal MakeRefusal(Reason reason, std::optional<Duration> retry_after) {
  return {Execution::kDidNotRun, reason, "", retry_after};
}

}  // namespace

Admission::Admission(AdmissionSettings admission_settings)
    : settings(admission_settings),
      adaptive_capacity({admission_settings.max_capacity,
                         admission_settings.min_capacity,
                         admission_settings.capacity_lift_after}),
      fair_share_limiter(admission_settings.fair_share) {}

AdmissionDecision Admission::Offer(MonotonicTime now,
                                   const AdmissionOffer& offer) {
  if (++this->offer_count % kOffersPerIdleCheck == 0) {
    this->RemoveIdleFlows(now);
  }
  this->adaptive_capacity.LiftIfDue(now);
  Request request{{offer.customer, offer.priority.level},
                  offer.service,
                  offer.deadline,
                  0,
                  {}};
  Flow& flow = this->flows[request.flow];
  if (auto refusal = this->CheckLimits(now, offer, flow)) {
    return *std::move(refusal);
  }
  request.start_tag = std::max(this->virtual_time, flow.last_finish_tag);
  this->fair_share_limiter.OnOffer(now, request.flow, offer.weight());
  if (this->fair_share_limiter.ExceedsAllowance(now, request.flow)) {
    flow.bucket.Refund();
    return MakeRefusal(Reason::kOverloaded, this->settings.min_retry_after);
  }
  const bool can_run = this->queue.empty() &&
                       this->running_count < this->adaptive_capacity.capacity();
  if (!can_run) {
    if (auto refusal = this->CheckQueue(now, offer, request.start_tag)) {
      flow.bucket.Refund();
      return *std::move(refusal);
    }
  }
  flow.last_finish_tag =
      request.start_tag +
      1.0 / this->fair_share_limiter.ShareWeight(now, request.flow);
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
                                              Flow& flow) {
  if (now > this->LatestStart(offer.service, offer.deadline)) {
    return MakeRefusal(Reason::kDeadlineTooShort, std::nullopt);
  }
  flow.has_rate_limit = offer.limits.has_value();
  if (!offer.limits) {
    return std::nullopt;
  }
  const AdmissionLimits& limits = *offer.limits;
  flow.bucket.Configure(now, limits.rate, limits.burst);
  if (flow.running + flow.waiting >= limits.concurrency) {
    return MakeRefusal(
        Reason::kConcurrencyLimited,
        std::max(this->mean_run_time, this->settings.min_retry_after));
  }
  if (limits.rate.value() <= 0 || !flow.bucket.TryTake(now)) {
    return MakeRefusal(Reason::kRateLimited, flow.bucket.TimeToNextToken());
  }
  return std::nullopt;
}

std::optional<Refusal> Admission::CheckQueue(MonotonicTime now,
                                             const AdmissionOffer& offer,
                                             double start_tag) const {
  const Duration wait = this->ExpectedWait(start_tag, offer.priority.level);
  const bool queue_rejects_offer =
      this->queue.size() >= this->settings.max_queue_length &&
      (this->queue.empty() || !this->GoesBeforeLast(start_tag, offer));
  if (queue_rejects_offer || wait > this->settings.max_wait ||
      now + wait > this->LatestStart(offer.service, offer.deadline)) {
    return MakeRefusal(Reason::kOverloaded,
                       std::max(wait, this->settings.min_retry_after));
  }
  return std::nullopt;
}

bool Admission::GoesBeforeLast(double start_tag,
                               const AdmissionOffer& offer) const {
  const auto& [last_tag, last_level, last_ticket] = *this->queue.rbegin();
  return std::tie(start_tag, offer.priority.level) <
         std::tie(last_tag, last_level);
}

Duration Admission::ExpectedWait(double start_tag,
                                 std::uint32_t priority_level) const {
  const auto first_behind =
      this->queue.lower_bound({start_tag, priority_level, TicketId()});
  const auto requests_ahead =
      std::distance(this->queue.begin(), first_behind) + 1;
  return this->mean_run_time * requests_ahead /
         static_cast<std::int64_t>(
             std::max(this->adaptive_capacity.capacity(), 1U));
}

MonotonicTime Admission::LatestStart(const ServiceId& service,
                                     MonotonicTime deadline) const {
  const auto median = static_cast<double>(
      this->adaptive_capacity.MedianRunTime(service).count());
  return deadline - Duration(static_cast<Duration::rep>(
                        median * this->settings.required_run_time.value()));
}

void Admission::Start(MonotonicTime now, const Request& request) {
  this->virtual_time = std::max(this->virtual_time, request.start_tag);
  this->fair_share_limiter.OnStart(now, request.flow);
  ++this->flows[request.flow].running;
  ++this->running_count;
}

void Admission::Enqueue(MonotonicTime now, TicketId ticket, Request& request) {
  if (this->queue.size() >= this->settings.max_queue_length) {
    // Evicts the request with the highest start tag. It belongs to the flow
    // that is furthest ahead of its share.
    const TicketId last_ticket = std::get<TicketId>(*this->queue.rbegin());
    this->Dequeue(last_ticket, this->requests.at(last_ticket));
    this->requests.erase(last_ticket);
    this->evicted_tickets.push_back(last_ticket);
  }
  request.expires_at =
      std::min(now + this->settings.max_wait,
               this->LatestStart(request.service, request.deadline));
  request.is_waiting = true;
  this->queue.emplace(request.start_tag, request.flow.priority_level, ticket);
  this->tickets_by_expiry.emplace(request.expires_at, ticket);
  ++this->flows[request.flow].waiting;
}

void Admission::Dequeue(TicketId ticket, const Request& request) {
  this->queue.erase({request.start_tag, request.flow.priority_level, ticket});
  this->tickets_by_expiry.erase({request.expires_at, ticket});
  --this->flows[request.flow].waiting;
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
  --this->flows[request.flow].running;
  --this->running_count;
  this->StartWaitingRequests(now, ended_waits);
  return ended_waits;
}

EndedWaits Admission::Withdraw(MonotonicTime now, TicketId ticket) {
  EndedWaits ended_waits;
  const auto position = this->requests.find(ticket);
  if (position == this->requests.end()) {
    return ended_waits;
  }
  const Request request = std::move(position->second);
  this->requests.erase(position);
  if (request.is_waiting) {
    this->Dequeue(ticket, request);
    return ended_waits;
  }
  --this->flows[request.flow].running;
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
    const TicketId ticket = std::get<TicketId>(*this->queue.begin());
    Request& request = this->requests.at(ticket);
    if (request.expires_at <= now) {
      this->ExpireTicket(ticket, ended_waits);
      continue;
    }
    this->Dequeue(ticket, request);
    request.is_waiting = false;
    this->Start(now, request);
    ended_waits.ready.push_back(ticket);
  }
}

void Admission::RemoveIdleFlows(MonotonicTime now) {
  this->fair_share_limiter.RemoveIdle(now);
  std::erase_if(this->flows, [this, now](const auto& item) {
    const Flow& flow = item.second;
    return flow.running == 0 && flow.waiting == 0 &&
           flow.last_finish_tag <= this->virtual_time &&
           (!flow.has_rate_limit || flow.bucket.IsFull(now));
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
