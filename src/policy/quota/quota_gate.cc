#include "src/policy/quota/quota_gate.h"

#include <algorithm>
#include <utility>

#include "src/policy/quota/limited_customers.h"

namespace marigold {

namespace {

constexpr Duration kMinReportInterval = std::chrono::milliseconds(100);

// Limits a VM that serves hundreds of customers to 17 reported customers per
// second, which is about 0.75 KB/s.
constexpr Duration kIntervalPerUsage = std::chrono::milliseconds(60);
// So many that the next report follows within 0.8 s, because the coordinator
// takes a VM for silent that has not reported for 1 s.
constexpr std::size_t kMaxUsagesPerReport = 13;

// While there are no requests, empty reports show that the VM is in contact,
// until the last request is this old.
constexpr Duration kIdleReportInterval = std::chrono::milliseconds(500);
constexpr Duration kIdleReportTime = std::chrono::seconds(10);

// The part of its share that a VM without contact uses. Its callers may have
// gone to other VMs, which do not know of its use.
constexpr double kFallbackPart = 0.25;

// Credit that other limits leave unused is kept for the next request only.
constexpr double kMaxCredit = 2;

// When the first quota comes into force, the coordinator starts and the first
// state arrives within this time. Use before that was not limited either.
constexpr Duration kIntroductionTime = std::chrono::seconds(2);

constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(3);

Duration ClampRetryAfter(Duration retry_after) {
  return std::clamp(retry_after, kMinRetryAfter, kMaxRetryAfter);
}

// What the ratio refuses in one second takes this long to serve at the rate of
// the quota.
Duration RetryAfterOf(Fraction ratio) {
  return ratio.value() <= 0 ? kMaxRetryAfter
                            : ClampRetryAfter(FromSeconds(
                                  std::min(1 / ratio.value() - 1, 10.0)));
}

Duration RetryAfterOf(const TokenBucket& bucket) {
  return ClampRetryAfter(bucket.TimeToNextToken().value_or(kMaxRetryAfter));
}

}  // namespace

std::string_view ToString(QuotaVerdict verdict) {
  switch (verdict) {
    case QuotaVerdict::kAdmitted:
      return "admitted";
    case QuotaVerdict::kOverRatio:
      return "over_ratio";
    case QuotaVerdict::kOverQuota:
      return "over_quota";
    case QuotaVerdict::kOverLocalLimit:
      return "over_local_limit";
  }
  return "unknown";
}

std::string_view ToString(QuotaPhase phase) {
  switch (phase) {
    case QuotaPhase::kUnknown:
      return "unknown";
    case QuotaPhase::kFresh:
      return "fresh";
    case QuotaPhase::kLocal:
      return "local";
    case QuotaPhase::kFallback:
      return "fallback";
  }
  return "unknown";
}

QuotaGate::QuotaGate(VmId own_vm,
                     EntryProcessId own_process,
                     std::uint64_t seed)
    : vm(std::move(own_vm)), process(own_process), random(seed) {}

void QuotaGate::SetCustomers(MonotonicTime now,
                             const std::vector<RoutedCustomer>& routed) {
  const bool had_no_quotas = this->is_configured && this->customers.empty();
  this->is_configured = true;
  detail::ReplaceLimitedCustomers(
      routed, this->customers,
      [&](Customer& customer, const RoutedCustomer& row, bool is_new) {
        if (is_new) {
          customer.credit = this->random.NextDouble();
        }
        customer.limit = row.quota;
        customer.quota_bucket.Configure(now, row.quota.rate,
                                        row.quota.burst + kQuotaBurstMargin);
      });
  if (had_no_quotas && !this->customers.empty()) {
    this->introduced_at = now;
  }
}

bool QuotaGate::Apply(MonotonicTime now, const QuotaState& state) {
  if (this->newest_state && !state.IsNewerThan(*this->newest_state)) {
    return false;
  }
  for (auto& [id, customer] : this->customers) {
    customer.ratio = Fraction(1);
    customer.rate_before = customer.admitted_average.RateAt(now).value();
  }
  for (const QuotaRatio& row : state.ratios) {
    const auto found = this->customers.find(row.customer);
    if (found != this->customers.end()) {
      found->second.ratio = row.ratio;
    }
  }
  this->newest_state = state;
  this->state_at = now - state.age;
  return true;
}

QuotaDecision QuotaGate::Admit(MonotonicTime now, const CustomerId& id) {
  const auto found = this->customers.find(id);
  if (found == this->customers.end()) {
    return {};
  }
  Customer& customer = found->second;
  ++customer.offered;
  this->has_unreported = true;
  this->last_request_at = now;
  const QuotaDecision decision = this->Decide(now, customer);
  if (decision.is_admitted()) {
    ++customer.admitted;
    customer.admitted_average.Add(now);
    customer.recent_admitted.Add(now);
  }
  return decision;
}

QuotaDecision QuotaGate::Decide(MonotonicTime now, Customer& customer) const {
  const QuotaPhase phase = this->PhaseAt(now);
  if (phase != customer.phase) {
    this->ConfigureLocalLimit(now, phase, customer);
  }
  const bool has_ratio =
      phase == QuotaPhase::kFresh || phase == QuotaPhase::kLocal;
  const bool uses_ratio = has_ratio && customer.ratio < Fraction(1);
  if (uses_ratio) {
    customer.credit =
        std::min(customer.credit + customer.ratio.value(), kMaxCredit);
    if (customer.credit < 1) {
      return {QuotaVerdict::kOverRatio, RetryAfterOf(customer.ratio)};
    }
  }
  const bool is_introduced = phase == QuotaPhase::kUnknown &&
                             this->introduced_at &&
                             now < *this->introduced_at + kIntroductionTime;
  const bool uses_local_limit = phase != QuotaPhase::kFresh && !is_introduced;
  if (uses_local_limit && !customer.local_bucket.TryTake(now)) {
    return {QuotaVerdict::kOverLocalLimit, RetryAfterOf(customer.local_bucket)};
  }
  if (!customer.quota_bucket.TryTake(now)) {
    if (uses_local_limit) {
      customer.local_bucket.Refund();
    }
    return {QuotaVerdict::kOverQuota, RetryAfterOf(customer.quota_bucket)};
  }
  // A refusal by another limit leaves the credit for the next request.
  customer.credit -= uses_ratio ? 1 : 0;
  return {};
}

void QuotaGate::ConfigureLocalLimit(MonotonicTime now,
                                    QuotaPhase phase,
                                    Customer& customer) const {
  const double fallback_rate =
      customer.limit.rate.value() * this->limit_share.value() * kFallbackPart;
  if (customer.phase == QuotaPhase::kFresh) {
    customer.local_bucket = TokenBucket();
  }
  if (phase == QuotaPhase::kLocal) {
    const double rate =
        std::max(kQuotaLocalFactor * customer.rate_before, fallback_rate);
    // All VMs may enter this phase at once, so the bucket does not start full.
    // A VM with a large share of a customer's use gets as much of the margin.
    const double share =
        std::min(customer.rate_before / customer.limit.rate.value(), 1.0);
    const double initial_tokens =
        1 + customer.rate_before + share * kQuotaBurstMargin;
    customer.local_bucket.Configure(now, RatePerSecond(rate),
                                    2 * initial_tokens);
    customer.local_bucket.DropAbove(initial_tokens);
  } else {
    customer.local_bucket.Configure(now, RatePerSecond(fallback_rate), 1);
  }
  customer.phase = phase;
}

void QuotaGate::GiveBack(const CustomerId& id) {
  const auto found = this->customers.find(id);
  if (found == this->customers.end()) {
    return;
  }
  --found->second.admitted;
  found->second.quota_bucket.Refund();
  found->second.local_bucket.Refund();
  this->has_unreported = true;
}

std::optional<MonotonicTime> QuotaGate::NextReportAt() const {
  if (!this->last_request_at || this->customers.empty()) {
    return std::nullopt;
  }
  if (this->has_unreported) {
    return this->reported_at + this->report_interval;
  }
  const MonotonicTime idle_report_at = this->reported_at + kIdleReportInterval;
  if (idle_report_at > *this->last_request_at + kIdleReportTime) {
    return std::nullopt;
  }
  return idle_report_at;
}

std::vector<QuotaGate::Customers::iterator> QuotaGate::FindUnreported() {
  std::vector<Customers::iterator> unreported;
  for (auto row = this->customers.begin(); row != this->customers.end();
       ++row) {
    const Customer& customer = row->second;
    if (customer.offered != customer.reported_offered ||
        customer.admitted != customer.reported_admitted) {
      unreported.push_back(row);
    }
  }
  if (unreported.size() > kMaxUsagesPerReport) {
    // The largest unreported use first.
    std::ranges::partial_sort(
        unreported, unreported.begin() + kMaxUsagesPerReport,
        std::ranges::greater(), [](const Customers::iterator& row) {
          return row->second.offered - row->second.reported_offered;
        });
  }
  return unreported;
}

std::optional<QuotaUsageReport> QuotaGate::TakeReport(MonotonicTime now) {
  const auto due_at = this->NextReportAt();
  if (!due_at || now < *due_at) {
    return std::nullopt;
  }
  auto rows = this->FindUnreported();
  this->has_unreported = rows.size() > kMaxUsagesPerReport;
  rows.resize(std::min(rows.size(), kMaxUsagesPerReport));
  this->last_report = Next(this->last_report);
  QuotaUsageReport report{this->vm, this->process, this->last_report, {}};
  for (const auto& row : rows) {
    Customer& customer = row->second;
    report.usages.push_back(
        {row->first, customer.offered, customer.admitted,
         customer.offered - customer.reported_offered,
         customer.admitted - customer.reported_admitted,
         static_cast<float>(customer.recent_admitted.ValueAt(now)),
         static_cast<float>(customer.admitted_average.RateAt(now).value())});
    customer.reported_offered = customer.offered;
    customer.reported_admitted = customer.admitted;
  }
  this->reported_at = now;
  this->report_interval = std::max(
      kMinReportInterval,
      kIntervalPerUsage * static_cast<std::int64_t>(report.usages.size()));
  return report;
}

QuotaPhase QuotaGate::PhaseAt(MonotonicTime now) const {
  if (!this->newest_state) {
    return QuotaPhase::kUnknown;
  }
  const Duration age = now - this->state_at;
  if (age <= kQuotaStateLifetime) {
    return QuotaPhase::kFresh;
  }
  return age <= kQuotaStateLifetime + kQuotaLocalTime ? QuotaPhase::kLocal
                                                      : QuotaPhase::kFallback;
}

QuotaGateSummary QuotaGate::Summary(MonotonicTime now) const {
  QuotaGateSummary summary;
  summary.phase = this->PhaseAt(now);
  summary.customers = this->customers.size();
  for (const auto& [id, customer] : this->customers) {
    summary.limited_customers += customer.ratio < Fraction(1) ? 1 : 0;
    summary.lowest_ratio = std::min(summary.lowest_ratio, customer.ratio);
  }
  summary.state_age = this->StateAge(now);
  return summary;
}

std::optional<Duration> QuotaGate::StateAge(MonotonicTime now) const {
  return this->newest_state ? std::optional(now - this->state_at)
                            : std::nullopt;
}

}  // namespace marigold
