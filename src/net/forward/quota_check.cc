#include "src/net/forward/quota_check.h"

namespace marigold {

namespace {

constexpr int kStatusTooManyRequests = 429;

}  // namespace

std::optional<LocalAnswer> CheckQuota(QuotaTable& quotas,
                                      const ForwardPlan& plan,
                                      MonotonicTime now) {
  if (!plan.customer) {
    return std::nullopt;
  }
  const QuotaDecision decision = quotas.Admit(now, *plan.customer);
  if (decision.is_admitted()) {
    return std::nullopt;
  }
  return LocalAnswer{kStatusTooManyRequests,
                     "the quota of the customer is used up",
                     decision.retry_after};
}

std::function<void()> QuotaRefund(QuotaTable& quotas, const ForwardPlan& plan) {
  if (!plan.customer) {
    return [] {};
  }
  return [&quotas, customer = *plan.customer] { quotas.GiveBack(customer); };
}

}  // namespace marigold
