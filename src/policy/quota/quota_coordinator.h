#ifndef SRC_POLICY_QUOTA_QUOTA_COORDINATOR_H_
#define SRC_POLICY_QUOTA_QUOTA_COORDINATOR_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "src/policy/quota/quota_types.h"
#include "src/policy/routes.h"

namespace marigold {

// The inputs and the result of the decision on one customer.
struct QuotaCustomerStatus {
  CustomerId customer;
  QuotaLimit limit;
  Fraction ratio{1};
  // The tokens in the customer's bucket; negative for debt.
  double level = 0;
  RatePerSecond offered;
  // What is reserved for entry VMs that are silent.
  RatePerSecond reserved;
};

// Measures the use of all customers with a quota over all entry VMs, and
// decides which fraction of their requests is admitted. Runs on the leader of
// the control group, for one term. Not synchronised.
class QuotaCoordinator {
 public:
  // A new coordinator sends no state for this long, so that it first hears of
  // the use.
  static constexpr Duration kStartTime = std::chrono::milliseconds(400);

  QuotaCoordinator(MonotonicTime now, Term own_term)
      : term(own_term), started_at(now), round_at(now), pruned_at(now) {}

  // Commands.

  // Replaces the customers. Those without a quota are ignored.
  void SetCustomers(MonotonicTime now,
                    const std::vector<RoutedCustomer>& routed);
  void OnReport(MonotonicTime now, const QuotaUsageReport& report);
  // Computes the ratios. Returns a state if one must be sent. Called at least
  // every `kQuotaStateInterval`, and soon after reports.
  std::optional<QuotaState> Round(MonotonicTime now);

  // Queries.

  // The customers with a ratio below 1, as of the last round.
  std::vector<QuotaCustomerStatus> Limited() const;
  std::size_t customer_count() const { return this->customers.size(); }
  std::size_t vm_count() const { return this->vms.size(); }

 private:
  struct Customer {
    QuotaLimit limit;
    double level = 0;
    // The recent use before the start that reports have shown.
    double past_use = 0;
    // The offered requests with exponential decay, as of the last round.
    double offered_count = 0;
    double reserved_rate = 0;
    double ratio = 1;
    double sent_ratio = 1;
  };

  // The use of one customer through one entry VM.
  struct Use {
    std::uint32_t offered = 0;
    std::uint32_t admitted = 0;
    double admitted_rate = 0;
    MonotonicTime changed_at;
    // The tokens taken for the use of a silent VM that it has not reported.
    double charged = 0;
  };

  struct Vm {
    EntryProcessId process;
    UsageReportNumber last_report;
    MonotonicTime reported_at;
    std::unordered_map<CustomerId, Use> uses;
  };

  // What the reports add to a customer.
  struct Increase {
    double offered = 0;
    double admitted = 0;
    bool is_first = false;
  };

  bool is_starting(MonotonicTime now) const {
    return now - this->started_at < kStartTime;
  }

  void RefundCharges(Vm& vm);
  Increase Count(MonotonicTime now, const QuotaUsage& usage, Vm& vm) const;
  void ChargePast(MonotonicTime now,
                  const QuotaUsage& usage,
                  Customer& customer) const;
  void Refill(Duration elapsed);
  void Reserve(MonotonicTime now, Duration elapsed);
  void ComputeRatios(MonotonicTime now);
  void DropSilent(MonotonicTime now);
  QuotaState MakeState();

  Term term;
  MonotonicTime started_at;
  MonotonicTime round_at;
  MonotonicTime pruned_at;
  std::optional<MonotonicTime> sent_at;
  QuotaStateNumber last_state;
  std::unordered_map<CustomerId, Customer> customers;
  std::unordered_map<VmId, Vm> vms;
};

}  // namespace marigold

#endif  // SRC_POLICY_QUOTA_QUOTA_COORDINATOR_H_
