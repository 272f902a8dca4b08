#include "src/policy/service_traffic.h"

#include <algorithm>

namespace marigold {

namespace {

// Each sample moves the estimate of the median by the estimate divided by this.
// The estimate then follows a sudden doubling of the latency within about 100
// samples.
constexpr int kMedianStepDivisor = 64;
// The weight of the newest attempt in the share of shed attempts.
constexpr double kShedWeight = 0.02;
constexpr double kOverloadShedShare = 0.05;
// The weight of the newest load report in the mean load.
constexpr double kLoadWeight = 0.02;
// In requests per slot. A server at 95% load has about this many requests.
constexpr double kOverloadLoadPerSlot = 4;
// The weight of the newest load report in the mean share of busy slots. It is
// lower than `kLoadWeight`, so that only lasting queues count.
constexpr double kBusyShareWeight = 0.005;
constexpr double kQueueingBusyShare = 0.75;
// The share of the maximum number of tokens that a new process starts with.
constexpr double kInitialTokenShare = 0.25;

}  // namespace

std::string_view ToString(Congestion congestion) {
  switch (congestion) {
    case Congestion::kNone:
      return "none";
    case Congestion::kQueueing:
      return "queueing";
    case Congestion::kOverload:
      return "overload";
  }
  return "unknown";
}

ServiceTraffic::ServiceTraffic(const TrafficSettings& traffic_settings)
    : settings(traffic_settings),
      hedge_token_budget(
          traffic_settings.hedge_share,
          traffic_settings.max_hedge_tokens,
          traffic_settings.max_hedge_tokens * kInitialTokenShare),
      retry_token_budget(
          traffic_settings.retry_share,
          traffic_settings.max_retry_tokens,
          traffic_settings.max_retry_tokens * kInitialTokenShare) {}

void ServiceTraffic::OnPrimary() {
  this->hedge_token_budget.OnPrimary();
  this->retry_token_budget.OnPrimary();
}

void ServiceTraffic::OnAttemptLatency(Duration latency) {
  this->attempt_latencies.Add(latency);
  // Moves the estimate by one step for each sample. It converges to the value
  // that as many samples raise as lower, which is the median.
  if (!this->median_latency) {
    this->median_latency = latency;
  }
  const Duration step =
      *this->median_latency / kMedianStepDivisor + Duration(1);
  *this->median_latency += latency > *this->median_latency ? step : -step;
}

void ServiceTraffic::OnShardLatency(Duration latency) {
  this->shard_latencies.Add(latency);
}

void ServiceTraffic::OnOutcome(MonotonicTime now, bool was_shed) {
  this->shed_share += kShedWeight * ((was_shed ? 1 : 0) - this->shed_share);
  if (was_shed) {
    this->last_shed = now;
  }
}

void ServiceTraffic::OnReportedLoad(double load, Fraction trust) {
  this->mean_load += kLoadWeight * trust.value() * (load - this->mean_load);
  this->mean_busy_share += kBusyShareWeight * trust.value() *
                           (std::min(load, 1.0) - this->mean_busy_share);
}

bool ServiceTraffic::TryHedge(MonotonicTime now) {
  return !this->IsShedding(now) &&
         this->congestion() != Congestion::kOverload &&
         this->hedge_token_budget.TrySpend(1);
}

void ServiceTraffic::ReturnHedge() {
  this->hedge_token_budget.Refund(1);
}

bool ServiceTraffic::TryRetry(double cost) {
  return this->retry_token_budget.TrySpend(cost);
}

void ServiceTraffic::ReturnRetry(double cost) {
  this->retry_token_budget.Refund(cost);
}

Congestion ServiceTraffic::congestion() const {
  if (this->shed_share > kOverloadShedShare ||
      this->mean_load > kOverloadLoadPerSlot) {
    return Congestion::kOverload;
  }
  return this->mean_busy_share > kQueueingBusyShare ? Congestion::kQueueing
                                                    : Congestion::kNone;
}

bool ServiceTraffic::IsShedding(MonotonicTime now) const {
  return this->last_shed &&
         now - *this->last_shed < this->settings.hedge_pause_after_shed;
}

}  // namespace marigold
