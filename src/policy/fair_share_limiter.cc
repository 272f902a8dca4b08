#include "src/policy/fair_share_limiter.h"

#include <algorithm>
#include <utility>

namespace marigold {

namespace {

constexpr Duration kAllowanceAdjustInterval = std::chrono::milliseconds(100);
constexpr double kMinAllowance = 1.5;
// Factors applied to the allowance in each adjustment interval.
constexpr double kAllowanceIncrease = 1.002;
constexpr double kQueueingDecrease = 0.95;
constexpr double kOverloadDecrease = 0.7;
// A flow is limited only if it offers more than this many fair shares. The
// random variation of arrivals from equal customers stays below this factor.
constexpr double kOverShareFactor = 1.75;
// A flow is active while the decaying count of its offers is above this.
constexpr double kMinActiveCount = 0.5;
// The fair share while at most one flow is active. No flow reaches it, because
// a single flow takes no capacity from others.
constexpr double kUnlimitedShare = 1e9;

}  // namespace

FairShareLimiter::FairShareLimiter(const FairShareSettings& share_settings)
    : settings(share_settings),
      fair_share(kUnlimitedShare),
      allowance(kMaxAllowance) {}

void FairShareLimiter::OnOffer(MonotonicTime now,
                               const FlowKey& key,
                               std::uint32_t weight) {
  Flow& flow = this->flows[key];
  flow.priority_level = key.priority_level;
  flow.weight = std::max(weight, 1U);
  flow.offered.Add(now);
  if (this->settings.proportional_above > 0 &&
      now - this->means_updated_at >= kAllowanceAdjustInterval) {
    this->UpdateMeans(now);
  }
}

void FairShareLimiter::OnStart(MonotonicTime now, const FlowKey& key) {
  this->flows[key].started.Add(now);
}

void FairShareLimiter::UpdateMeans(MonotonicTime now) {
  struct Offers {
    double sum = 0;
    double flow_count = 0;
  };
  std::map<std::uint32_t, Offers> offers_by_level;
  Offers all_offers;
  for (const auto& [key, flow] : this->flows) {
    const double offered = flow.offered.ValueAt(now);
    if (offered > kMinActiveCount) {
      Offers& offers = offers_by_level[key.priority_level];
      offers.sum += offered;
      ++offers.flow_count;
      all_offers.sum += offered;
      ++all_offers.flow_count;
    }
  }
  this->mean_offered_by_level.clear();
  for (const auto& [level, offers] : offers_by_level) {
    this->mean_offered_by_level[level] = offers.sum / offers.flow_count;
  }
  this->mean_offered = all_offers.sum / std::max(all_offers.flow_count, 1.0);
  this->means_updated_at = now;
}

double FairShareLimiter::WeightOf(MonotonicTime now, const Flow& flow) const {
  const auto level_mean = this->mean_offered_by_level.find(flow.priority_level);
  if (this->mean_offered <= 0 ||
      level_mean == this->mean_offered_by_level.end()) {
    return flow.weight;
  }
  const double offered =
      flow.offered.ValueAt(now) / this->settings.proportional_above;
  return flow.weight * std::max(level_mean->second, offered) /
         this->mean_offered;
}

double FairShareLimiter::ShareWeight(MonotonicTime now,
                                     const FlowKey& key) const {
  const auto position = this->flows.find(key);
  return position == this->flows.end() ? 1
                                       : this->WeightOf(now, position->second);
}

void FairShareLimiter::OnCongestion(MonotonicTime now, Congestion congestion) {
  ++this->ended_count;
  this->overloaded_count += congestion == Congestion::kOverload ? 1 : 0;
  this->congested_count += congestion == Congestion::kNone ? 0 : 1;
  if (now - this->adjusted_at >= kAllowanceAdjustInterval) {
    this->AdjustAllowance(now);
  }
}

Congestion FairShareLimiter::TakeCongestion() {
  const auto ended = static_cast<double>(std::exchange(this->ended_count, 0));
  const std::uint32_t overloaded = std::exchange(this->overloaded_count, 0);
  const std::uint32_t congested = std::exchange(this->congested_count, 0);
  const bool is_congested =
      congested > 0 &&
      congested >= this->settings.congested_part.value() * ended;
  if (overloaded == 0 && !is_congested) {
    this->congested_adjustments = 0;
    return Congestion::kNone;
  }
  ++this->congested_adjustments;
  if (overloaded > 0) {
    return Congestion::kOverload;
  }
  return this->congested_adjustments >= this->settings.min_congested_adjustments
             ? Congestion::kQueueing
             : Congestion::kNone;
}

void FairShareLimiter::AdjustAllowance(MonotonicTime now) {
  double started_sum = 0;
  double weight_sum = 0;
  std::size_t active_count = 0;
  for (const auto& [key, flow] : this->flows) {
    if (flow.offered.ValueAt(now) > kMinActiveCount) {
      started_sum += flow.started.ValueAt(now);
      weight_sum += this->WeightOf(now, flow);
      ++active_count;
    }
  }
  const Congestion congestion = this->TakeCongestion();
  this->fair_share =
      active_count > 1 ? started_sum / weight_sum : kUnlimitedShare;
  if (congestion == Congestion::kNone) {
    const bool is_long_uncongested =
        now - this->congested_at >= this->settings.uncongested_period;
    this->allowance *= is_long_uncongested ? this->settings.uncongested_increase
                                           : kAllowanceIncrease;
  } else {
    double highest_usage = 0;
    for (const auto& [key, flow] : this->flows) {
      highest_usage = std::max(
          highest_usage, flow.started.ValueAt(now) / this->WeightOf(now, flow));
    }
    this->congested_at = now;
    // Any allowance above the highest usage limits nobody, so the reduction
    // starts from the highest usage.
    this->allowance =
        std::min(this->allowance,
                 highest_usage / std::max(this->fair_share, kMinActiveCount));
    this->allowance *= congestion == Congestion::kOverload ? kOverloadDecrease
                                                           : kQueueingDecrease;
  }
  this->allowance = std::clamp(this->allowance, kMinAllowance, kMaxAllowance);
  this->adjusted_at = now;
}

void FairShareLimiter::RemoveIdle(MonotonicTime now) {
  std::erase_if(this->flows, [now](const auto& item) {
    return item.second.offered.ValueAt(now) < kMinActiveCount;
  });
}

bool FairShareLimiter::ExceedsAllowance(MonotonicTime now,
                                        const FlowKey& key) const {
  const auto position = this->flows.find(key);
  if (position == this->flows.end()) {
    return false;
  }
  const Flow& flow = position->second;
  const double share = std::max(this->fair_share * this->WeightOf(now, flow),
                                this->settings.min_share);
  return flow.offered.ValueAt(now) > share * kOverShareFactor &&
         flow.started.ValueAt(now) > share * this->allowance;
}

}  // namespace marigold
