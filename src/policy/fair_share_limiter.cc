#include "src/policy/fair_share_limiter.h"

#include <algorithm>
#include <utility>

namespace marigold {

namespace {

constexpr Duration kAllowanceAdjustInterval = std::chrono::milliseconds(100);
constexpr double kMaxAllowance = 64;
constexpr double kMinAllowance = 1.5;
// Factors applied to the allowance in each adjustment interval.
constexpr double kAllowanceIncrease = 1.002;
// After this time without queues the allowance rises by `kUncongestedIncrease`
// per interval, which soon lifts the limit.
constexpr Duration kUncongestedPeriod = std::chrono::seconds(3);
constexpr double kUncongestedIncrease = 1.03;
constexpr double kQueueingDecrease = 0.95;
constexpr double kOverloadDecrease = 0.7;
// A customer is limited only if it offers more than this many fair shares. The
// random variation of arrivals from equal customers stays below this factor.
constexpr double kOverShareFactor = 1.75;
// The minimum share of a customer. A smaller one could not be estimated
// reliably from so few requests.
constexpr double kMinShare = 4;
// A customer is active while the decaying count of its offers is above this.
constexpr double kMinActiveCount = 0.5;
// The fair share while at most one customer is active. No customer reaches it,
// because a single customer takes no capacity from others.
constexpr double kUnlimitedShare = 1e9;

}  // namespace

FairShareLimiter::FairShareLimiter()
    : fair_share(kUnlimitedShare), allowance(kMaxAllowance) {}

void FairShareLimiter::OnOffer(MonotonicTime now,
                               const CustomerId& customer,
                               std::uint32_t weight) {
  Customer& customer_state = this->customers[customer];
  customer_state.weight = std::max(weight, 1U);
  customer_state.offered.Add(now);
}

void FairShareLimiter::OnStart(MonotonicTime now, const CustomerId& customer) {
  this->customers[customer].started.Add(now);
}

void FairShareLimiter::OnCongestion(MonotonicTime now, Congestion congestion) {
  this->worst_congestion = std::max(this->worst_congestion, congestion);
  if (now - this->adjusted_at >= kAllowanceAdjustInterval) {
    this->AdjustAllowance(now);
  }
}

void FairShareLimiter::AdjustAllowance(MonotonicTime now) {
  double started_sum = 0;
  double weight_sum = 0;
  std::size_t active_count = 0;
  for (const auto& [id, customer] : this->customers) {
    if (customer.offered.ValueAt(now) > kMinActiveCount) {
      started_sum += customer.started.ValueAt(now);
      weight_sum += customer.weight;
      ++active_count;
    }
  }
  const Congestion congestion =
      std::exchange(this->worst_congestion, Congestion::kNone);
  this->fair_share =
      active_count > 1 ? started_sum / weight_sum : kUnlimitedShare;
  if (congestion == Congestion::kNone) {
    const bool is_long_uncongested =
        now - this->congested_at >= kUncongestedPeriod;
    this->allowance *=
        is_long_uncongested ? kUncongestedIncrease : kAllowanceIncrease;
  } else {
    double highest_usage = 0;
    for (const auto& [id, customer] : this->customers) {
      highest_usage = std::max(highest_usage,
                               customer.started.ValueAt(now) / customer.weight);
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
  std::erase_if(this->customers, [now](const auto& item) {
    return item.second.offered.ValueAt(now) < kMinActiveCount;
  });
}

bool FairShareLimiter::ExceedsAllowance(MonotonicTime now,
                                        const CustomerId& customer) const {
  const auto position = this->customers.find(customer);
  if (position == this->customers.end()) {
    return false;
  }
  const Customer& customer_state = position->second;
  const double share =
      std::max(this->fair_share * customer_state.weight, kMinShare);
  return customer_state.offered.ValueAt(now) > share * kOverShareFactor &&
         customer_state.started.ValueAt(now) > share * this->allowance;
}

}  // namespace marigold
