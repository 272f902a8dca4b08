#include "src/policy/quota/quota_coordinator.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "src/policy/decaying_count.h"
#include "src/policy/quota/limited_customers.h"

namespace marigold {

namespace {

// Time constant of the average offered rate.
constexpr double kOfferedMeanSeconds = 0.15;

// A level above or below zero is used up or repaid in about this time.
constexpr double kLevelSeconds = 1;

// A VM that reports nothing for this long uses its local limits.
constexpr Duration kSilence = std::chrono::seconds(1);

// A new coordinator learns the use before its start from the first report of
// each VM in this time.
constexpr Duration kLearningTime = std::chrono::seconds(2);

// The part of the rate that a customer may have used before the start without
// debt. It is above the usual use of 62 %, and below what a surge uses.
constexpr double kPastRate = 0.75;

// Bounds the memory that reports can take.
constexpr std::size_t kMaxVms = 8'192;

constexpr Duration kPruneInterval = std::chrono::seconds(1);

// A change of a ratio by more than this is sent at once.
constexpr double kRatioChange = 0.05;

// How much of an average rate is left after a time without requests.
double Decay(Duration elapsed) {
  return std::exp2(-ToSeconds(elapsed) / ToSeconds(kQuotaAverageHalfLife));
}

// The size of a customer's bucket.
double MaxLevel(const QuotaLimit& limit) {
  return limit.burst + kQuotaBurstMargin;
}

// The difference of two counts that wrap around. It is negative if admissions
// were given back.
double Difference(std::uint32_t after, std::uint32_t before) {
  return static_cast<double>(static_cast<std::int32_t>(after - before));
}

}  // namespace

void QuotaCoordinator::SetCustomers(MonotonicTime now,
                                    const std::vector<RoutedCustomer>& routed) {
  detail::ReplaceLimitedCustomers(
      routed, this->customers,
      [&](Customer& customer, const RoutedCustomer& row, bool is_new) {
        customer.limit = row.quota;
        const double initial_level =
            this->is_starting(now) ? kQuotaBurstMargin : MaxLevel(row.quota);
        customer.level = is_new ? initial_level
                                : std::min(customer.level, MaxLevel(row.quota));
      });
}

void QuotaCoordinator::OnReport(MonotonicTime now,
                                const QuotaUsageReport& report) {
  if (!this->vms.contains(report.vm) && this->vms.size() >= kMaxVms) {
    return;
  }
  Vm& vm = this->vms[report.vm];
  if (vm.process != report.process) {
    vm = Vm{report.process, {}, now, {}};
  } else if (report.number <= vm.last_report) {
    return;
  }
  this->RefundCharges(vm);
  vm.reported_at = now;
  vm.last_report = report.number;
  for (const QuotaUsage& usage : report.usages) {
    const auto found = this->customers.find(usage.customer);
    if (found != this->customers.end()) {
      const Increase increase = this->Count(now, usage, vm);
      found->second.level -= increase.admitted;
      found->second.offered_count += increase.offered;
      if (increase.is_first) {
        this->ChargePast(now, usage, found->second);
      }
    }
  }
}

void QuotaCoordinator::RefundCharges(Vm& vm) {
  for (auto& [id, use] : vm.uses) {
    const auto found = this->customers.find(id);
    if (found != this->customers.end()) {
      found->second.level += std::exchange(use.charged, 0);
    }
  }
}

QuotaCoordinator::Increase QuotaCoordinator::Count(MonotonicTime now,
                                                   const QuotaUsage& usage,
                                                   Vm& vm) const {
  const auto [position, is_new] = vm.uses.try_emplace(usage.customer);
  Use& use = position->second;
  Increase increase;
  if (!is_new) {
    increase.offered = std::max(Difference(usage.offered, use.offered), 0.0);
    increase.admitted = Difference(usage.admitted, use.admitted);
    // Requests of a long silence do not show the present rate.
    const double silence = ToSeconds(now - use.changed_at);
    if (usage.new_offered < increase.offered && silence > 1) {
      increase.offered =
          std::max<double>(increase.offered / silence, usage.new_offered);
    }
  } else {
    increase = {static_cast<double>(usage.new_offered),
                Difference(usage.new_admitted, 0), true};
  }
  use.offered = usage.offered;
  use.admitted = usage.admitted;
  use.admitted_rate = std::max(usage.admitted_rate, 0.0F);
  use.changed_at = now;
  return increase;
}

// The use of the last seconds before the start, as far as it exceeds the
// usual use, may have used up the burst and becomes debt.
void QuotaCoordinator::ChargePast(MonotonicTime now,
                                  const QuotaUsage& usage,
                                  Customer& customer) const {
  if (now - this->started_at > kLearningTime) {
    return;
  }
  const double allowed = customer.limit.rate.value() * kPastRate *
                         DecayingCount::MeanSeconds(kQuotaRecentHalfLife);
  const double past = usage.recent_admitted - Difference(usage.new_admitted, 0);
  const double known_excess = std::max(customer.past_use - allowed, 0.0);
  customer.past_use += std::max(past, 0.0);
  customer.level -= std::max(customer.past_use - allowed, 0.0) - known_excess;
}

std::optional<QuotaState> QuotaCoordinator::Round(MonotonicTime now) {
  const Duration elapsed = std::max(now - this->round_at, Duration::zero());
  this->round_at = now;
  this->Refill(elapsed);
  this->Reserve(now, elapsed);
  this->ComputeRatios(now);
  if (now - this->pruned_at >= kPruneInterval) {
    this->pruned_at = now;
    this->DropSilent(now);
  }
  if (this->is_starting(now)) {
    return std::nullopt;
  }
  const bool has_changed =
      std::ranges::any_of(this->customers, [](const auto& row) {
        return std::abs(row.second.ratio - row.second.sent_ratio) >
               kRatioChange;
      });
  if (!has_changed && this->sent_at &&
      now - *this->sent_at < kQuotaStateInterval) {
    return std::nullopt;
  }
  this->sent_at = now;
  return this->MakeState();
}

void QuotaCoordinator::Refill(Duration elapsed) {
  for (auto& [id, customer] : this->customers) {
    customer.level =
        std::min(customer.level + customer.limit.rate.value() *
                                      kQuotaUsableRate * ToSeconds(elapsed),
                 MaxLevel(customer.limit));
    customer.offered_count *=
        std::exp(-ToSeconds(elapsed) / kOfferedMeanSeconds);
    customer.reserved_rate = 0;
  }
}

void QuotaCoordinator::Reserve(MonotonicTime now, Duration elapsed) {
  for (auto& [vm_id, vm] : this->vms) {
    const Duration silence = now - vm.reported_at;
    if (silence < kSilence || silence > kQuotaLocalTime) {
      continue;
    }
    for (auto& [id, use] : vm.uses) {
      const auto found = this->customers.find(id);
      if (found == this->customers.end()) {
        continue;
      }
      const double rate = kQuotaLocalFactor * use.admitted_rate *
                          Decay(vm.reported_at - use.changed_at);
      found->second.reserved_rate += rate;
      found->second.level -= rate * ToSeconds(elapsed);
      use.charged += rate * ToSeconds(elapsed);
    }
  }
}

void QuotaCoordinator::ComputeRatios(MonotonicTime now) {
  const double age = ToSeconds(now - this->started_at);
  // The average covers only the time since the start.
  const double mean_seconds =
      kOfferedMeanSeconds *
      std::max(1 - std::exp(-age / kOfferedMeanSeconds), 0.1);
  for (auto& [id, customer] : this->customers) {
    const double offered_rate = customer.offered_count / mean_seconds;
    const double rate =
        customer.limit.rate.value() * kQuotaUsableRate - customer.reserved_rate;
    const double allowed_rate =
        std::max(rate + customer.level / kLevelSeconds, 0.0);
    customer.ratio =
        offered_rate <= allowed_rate ? 1 : allowed_rate / offered_rate;
  }
}

void QuotaCoordinator::DropSilent(MonotonicTime now) {
  std::erase_if(this->vms, [&](const auto& row) {
    return now - row.second.reported_at > kQuotaLocalTime;
  });
  for (auto& [vm_id, vm] : this->vms) {
    std::erase_if(vm.uses, [&](const auto& row) {
      return row.second.charged == 0 &&
             (now - row.second.changed_at > kQuotaLocalTime ||
              !this->customers.contains(row.first));
    });
  }
}

QuotaState QuotaCoordinator::MakeState() {
  this->last_state = Next(this->last_state);
  QuotaState state{this->term, this->last_state, Duration::zero(), {}};
  for (auto& [id, customer] : this->customers) {
    customer.sent_ratio = customer.ratio;
    if (customer.ratio < 1) {
      state.ratios.push_back({id, Fraction(customer.ratio)});
    }
  }
  return state;
}

std::vector<QuotaCustomerStatus> QuotaCoordinator::Limited() const {
  std::vector<QuotaCustomerStatus> limited;
  for (const auto& [id, customer] : this->customers) {
    if (customer.ratio < 1) {
      limited.push_back(
          {id, customer.limit, Fraction(customer.ratio), customer.level,
           RatePerSecond(customer.offered_count / kOfferedMeanSeconds),
           RatePerSecond(customer.reserved_rate)});
    }
  }
  return limited;
}

}  // namespace marigold
