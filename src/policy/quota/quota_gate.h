#ifndef SRC_POLICY_QUOTA_QUOTA_GATE_H_
#define SRC_POLICY_QUOTA_QUOTA_GATE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "src/core/random.h"
#include "src/policy/decaying_count.h"
#include "src/policy/quota/quota_types.h"
#include "src/policy/routes.h"
#include "src/policy/token_bucket.h"

namespace marigold {

// What a gate decided about a request, and why.
enum class QuotaVerdict {
  kAdmitted,
  // Refused because the coordinator's ratio does not allow the request.
  kOverRatio,
  // Refused because this VM alone has used the whole quota.
  kOverQuota,
  // Refused because no fresh state is known and the local limit is used up.
  kOverLocalLimit,
};

inline constexpr std::size_t kQuotaVerdictCount = 4;

// Stable text for metrics, such as "over_ratio".
std::string_view ToString(QuotaVerdict verdict);

struct QuotaDecision {
  QuotaVerdict verdict = QuotaVerdict::kAdmitted;
  // For a refused request: the time after which another attempt is likely to be
  // admitted.
  Duration retry_after{};

  bool is_admitted() const { return this->verdict == QuotaVerdict::kAdmitted; }
};

// How much a gate knows of the use on the other entry VMs.
enum class QuotaPhase {
  // No state has arrived since the start.
  kUnknown,
  kFresh,
  // The last state is no longer fresh, and the local limits apply.
  kLocal,
  // The local limits have ended. The fallback share applies.
  kFallback,
};

// Stable text for logs, such as "fresh".
std::string_view ToString(QuotaPhase phase);

// What `/state` and the metrics of an entry VM show.
struct QuotaGateSummary {
  QuotaPhase phase = QuotaPhase::kUnknown;
  std::size_t customers = 0;
  // The customers with a ratio below 1, and the lowest ratio.
  std::size_t limited_customers = 0;
  Fraction lowest_ratio{1};
  // Absent before the first state.
  std::optional<Duration> state_age;
};

// Decides on one entry VM which requests of customers with a quota are
// admitted, and reports their use. Not synchronised.
class QuotaGate {
 public:
  QuotaGate(VmId own_vm, EntryProcessId own_process, std::uint64_t seed);

  // Commands.

  // Replaces the customers. Those without a quota are ignored.
  void SetCustomers(MonotonicTime now,
                    const std::vector<RoutedCustomer>& routed);
  // The fraction of each limit that this VM may use while it knows nothing of
  // the other VMs. The fractions of all entry VMs never sum to more than 1.
  void SetLimitShare(Fraction share) { this->limit_share = share; }
  // Takes a state into use. Returns false for a state that is not newer.
  bool Apply(MonotonicTime now, const QuotaState& state);
  // Decides on a request. Admits the requests of customers without a quota.
  QuotaDecision Admit(MonotonicTime now, const CustomerId& customer);
  // Takes back the admission of a request that was sent nowhere.
  void GiveBack(const CustomerId& customer);
  // Returns the report that is due, if any.
  std::optional<QuotaUsageReport> TakeReport(MonotonicTime now);

  // Queries.

  // When the next report is due. Nothing while there is nothing to report.
  std::optional<MonotonicTime> NextReportAt() const;
  QuotaPhase PhaseAt(MonotonicTime now) const;
  std::size_t customer_count() const { return this->customers.size(); }
  // How old the newest state is. Absent before the first one.
  std::optional<Duration> StateAge(MonotonicTime now) const;
  QuotaGateSummary Summary(MonotonicTime now) const;

 private:
  struct Customer {
    QuotaLimit limit;
    // The whole quota of the customer. One VM alone never admits more.
    TokenBucket quota_bucket;
    Fraction ratio{1};
    // Fraction of a request that the ratio allows beyond those admitted.
    double credit = 0;
    DecayingCount admitted_average{kQuotaAverageHalfLife};
    DecayingCount recent_admitted{kQuotaRecentHalfLife};
    // The admitted rate when the last state arrived.
    double rate_before = 0;
    // The phase for which `local_bucket` is configured.
    QuotaPhase phase = QuotaPhase::kFresh;
    TokenBucket local_bucket;
    std::uint32_t offered = 0;
    std::uint32_t admitted = 0;
    std::uint32_t reported_offered = 0;
    std::uint32_t reported_admitted = 0;
  };
  using Customers = std::unordered_map<CustomerId, Customer>;

  void ConfigureLocalLimit(MonotonicTime now,
                           QuotaPhase phase,
                           Customer& customer) const;
  QuotaDecision Decide(MonotonicTime now, Customer& customer) const;
  std::vector<Customers::iterator> FindUnreported();

  VmId vm;
  EntryProcessId process;
  SeededRandom random;
  Customers customers;
  Fraction limit_share;
  // True after the first `SetCustomers`.
  bool is_configured = false;
  // When the first quota came into force while the process was running.
  std::optional<MonotonicTime> introduced_at;
  std::optional<QuotaState> newest_state;
  // When the newest state was current.
  MonotonicTime state_at;
  UsageReportNumber last_report;
  std::optional<MonotonicTime> last_request_at;
  MonotonicTime reported_at;
  // The minimum interval between the last report and the next one.
  Duration report_interval{};
  bool has_unreported = false;
};

}  // namespace marigold

#endif  // SRC_POLICY_QUOTA_QUOTA_GATE_H_
