#include "src/policy/admission.h"

#include <algorithm>
#include <iterator>

namespace marigold {

namespace {

// One over the weight of the newest run time in the mean.
constexpr int kMeanDivisor = 20;
// Offers between two searches for customers that can be forgotten.
constexpr std::uint64_t kForgetInterval = 4096;
// Callers that are refused for overload come back no sooner.
constexpr Duration kShortestRetryAfter = std::chrono::milliseconds(50);
// A request is refused for its deadline only if even half of the usual run time
// does not fit, since many requests take less than the usual time.
constexpr int kDeadlineTolerance = 2;

Refusal Refuse(Reason reason, std::optional<Duration> retry_after) {
  return {Execution::kDidNotRun, reason, "", retry_after};
}

}  // namespace

Admission::Admission(AdmissionSettings admission_settings)
    : settings(admission_settings), adaptive(admission_settings.capacity) {}

AdmissionDecision Admission::Offer(MonotonicTime now,
                                   const AdmissionOffer& offer) {
  if (++this->offers % kForgetInterval == 0) {
    this->ForgetIdleCustomers(now);
  }
  Customer& customer = this->customers[offer.customer];
  if (auto refusal = this->CheckLimits(now, offer, customer)) {
    return *std::move(refusal);
  }
  Request request{offer.customer, offer.service, offer.deadline, 0, {}};
  request.start_tag = std::max(this->virtual_time, customer.last_finish);
  this->shares.OnOffer(now, offer.customer, offer.limits.weight);
  if (this->shares.Exceeds(now, offer.customer)) {
    customer.bucket.Return();
    return Refuse(Reason::kOverloaded, kShortestRetryAfter);
  }
  const bool runs =
      this->queue.empty() && this->running_count < this->adaptive.capacity();
  if (!runs) {
    if (auto refusal = this->CheckQueue(now, offer, request.start_tag)) {
      customer.bucket.Return();
      return *std::move(refusal);
    }
  }
  customer.last_finish =
      request.start_tag + 1.0 / std::max(offer.limits.weight, 1U);
  Request& stored = this->requests[offer.ticket] = std::move(request);
  if (runs) {
    this->Begin(now, stored);
    return AdmissionRun();
  }
  this->Enqueue(now, offer.ticket, stored);
  return AdmissionQueued();
}

std::optional<Refusal> Admission::CheckLimits(MonotonicTime now,
                                              const AdmissionOffer& offer,
                                              Customer& customer) {
  const AdmissionLimits& limits = offer.limits;
  if (now > this->LatestStart(offer.service, offer.deadline)) {
    return Refuse(Reason::kDeadlineTooShort, std::nullopt);
  }
  customer.bucket.Configure(now, limits.rate, limits.burst);
  if (customer.running + customer.waiting >= limits.concurrency) {
    return Refuse(Reason::kConcurrencyLimited,
                  std::max(this->mean_run_time, kShortestRetryAfter));
  }
  if (limits.rate.value() <= 0 || !customer.bucket.TryTake(now)) {
    return Refuse(Reason::kRateLimited, customer.bucket.NextToken());
  }
  return std::nullopt;
}

std::optional<Refusal> Admission::CheckQueue(MonotonicTime now,
                                             const AdmissionOffer& offer,
                                             double start_tag) const {
  const Duration wait = this->ExpectedWait(start_tag);
  const bool is_full =
      this->queue.size() >= this->settings.queue_length &&
      (this->queue.empty() || this->queue.rbegin()->first <= start_tag);
  if (is_full || wait > this->settings.longest_wait ||
      now + wait > this->LatestStart(offer.service, offer.deadline)) {
    return Refuse(Reason::kOverloaded, std::max(wait, kShortestRetryAfter));
  }
  return std::nullopt;
}

Duration Admission::ExpectedWait(double start_tag) const {
  const auto behind = this->queue.lower_bound({start_tag, TicketId()});
  const auto before = std::distance(this->queue.begin(), behind) + 1;
  return this->mean_run_time * before /
         static_cast<std::int64_t>(std::max(this->adaptive.capacity(), 1U));
}

MonotonicTime Admission::LatestStart(const ServiceId& service,
                                     MonotonicTime deadline) const {
  return deadline - this->adaptive.MedianRunTime(service) / kDeadlineTolerance;
}

void Admission::Begin(MonotonicTime now, const Request& request) {
  Customer& customer = this->customers[request.customer];
  this->virtual_time = std::max(this->virtual_time, request.start_tag);
  this->shares.OnBegin(now, request.customer);
  ++customer.running;
  ++this->running_count;
}

void Admission::Enqueue(MonotonicTime now, TicketId ticket, Request& request) {
  if (this->queue.size() >= this->settings.queue_length) {
    // The newest request of the customer that is furthest ahead of its share.
    const TicketId last = this->queue.rbegin()->second;
    this->Dequeue(last, this->requests.at(last));
    this->requests.erase(last);
    this->displaced.push_back(last);
  }
  request.expires =
      std::min(now + this->settings.longest_wait,
               this->LatestStart(request.service, request.deadline));
  this->queue.emplace(request.start_tag, ticket);
  this->expiries.emplace(request.expires, ticket);
  ++this->customers[request.customer].waiting;
}

void Admission::Dequeue(TicketId ticket, const Request& request) {
  this->queue.erase({request.start_tag, ticket});
  this->expiries.erase({request.expires, ticket});
  --this->customers[request.customer].waiting;
}

AdmissionProgress Admission::Complete(MonotonicTime now,
                                      TicketId ticket,
                                      Duration run_time,
                                      Congestion congestion) {
  AdmissionProgress progress;
  const auto position = this->requests.find(ticket);
  if (position == this->requests.end()) {
    return progress;
  }
  const Request request = std::move(position->second);
  this->requests.erase(position);
  if (this->mean_run_time == Duration::zero()) {
    this->mean_run_time = run_time;
  }
  this->mean_run_time += (run_time - this->mean_run_time) / kMeanDivisor;
  this->shares.OnCongestion(now, congestion);
  this->adaptive.OnComplete(
      now, {request.service, run_time, congestion == Congestion::kOverload,
            this->running_count});
  --this->customers[request.customer].running;
  --this->running_count;
  this->Fill(now, progress);
  return progress;
}

AdmissionProgress Admission::Expire(MonotonicTime now) {
  AdmissionProgress progress;
  progress.expired = std::exchange(this->displaced, {});
  while (!this->expiries.empty() && this->expiries.begin()->first <= now) {
    this->Expire(this->expiries.begin()->second, progress);
  }
  return progress;
}

void Admission::Expire(TicketId ticket, AdmissionProgress& progress) {
  const auto position = this->requests.find(ticket);
  this->Dequeue(ticket, position->second);
  this->requests.erase(position);
  progress.expired.push_back(ticket);
}

void Admission::Fill(MonotonicTime now, AdmissionProgress& progress) {
  while (!this->queue.empty() &&
         this->running_count < this->adaptive.capacity()) {
    const TicketId ticket = this->queue.begin()->second;
    Request& request = this->requests.at(ticket);
    if (request.expires <= now) {
      this->Expire(ticket, progress);
      continue;
    }
    this->Dequeue(ticket, request);
    this->Begin(now, request);
    progress.ready.push_back(ticket);
  }
}

void Admission::ForgetIdleCustomers(MonotonicTime now) {
  this->shares.ForgetIdle(now);
  std::erase_if(this->customers, [this, now](const auto& item) {
    const Customer& customer = item.second;
    return customer.running == 0 && customer.waiting == 0 &&
           customer.last_finish <= this->virtual_time &&
           customer.bucket.IsFull(now);
  });
}

MonotonicTime Admission::NextExpiry() const {
  if (!this->displaced.empty()) {
    return MonotonicTime();
  }
  return this->expiries.empty() ? MonotonicTime::max()
                                : this->expiries.begin()->first;
}

}  // namespace marigold
