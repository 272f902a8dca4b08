#ifndef SRC_POLICY_QUOTA_QUOTA_TYPES_H_
#define SRC_POLICY_QUOTA_QUOTA_TYPES_H_

#include <compare>
#include <cstdint>
#include <vector>

#include "src/core/ids.h"
#include "src/core/units.h"

namespace marigold {

// Random number that identifies one run of an entry process.
using EntryProcessId = detail::NumericId<struct EntryProcessTag>;
// Counts the usage reports of one entry process.
using UsageReportNumber = detail::NumericId<struct UsageReportTag>;
// Counts the quota states of one term.
using QuotaStateNumber = detail::NumericId<struct QuotaStateTag>;

// Requests beyond the burst that the quota of a customer allows at once. They
// let a customer of a low rate send several requests in quick succession. The
// bound on the use of a customer allows 20.
inline constexpr double kQuotaBurstMargin = 5;

// The part of the rate that is distributed. The rest makes up for use that is
// reported late.
inline constexpr double kQuotaUsableRate = 0.95;

// How long a state is fresh, and the longest interval between two states. A
// surge that begins when the coordinator is lost stays unnoticed until the
// state is no longer fresh.
inline constexpr Duration kQuotaStateLifetime = std::chrono::milliseconds(500);
inline constexpr Duration kQuotaStateInterval = std::chrono::milliseconds(150);

// How long after the last fresh state a gate applies its local limits. The
// coordinator reserves them for the same time after the last report.
inline constexpr Duration kQuotaLocalTime = std::chrono::seconds(12);

// A gate without a fresh state admits this times the rate that it admitted
// before.
inline constexpr double kQuotaLocalFactor = 1.25;

// Half-life of the count of recent requests, from which a new coordinator
// learns of the use of about two seconds before its start. A longer time would
// hide a surge that began when the previous coordinator was lost.
inline constexpr Duration kQuotaRecentHalfLife =
    std::chrono::milliseconds(1'400);

// Half-life of the average of the rate that a gate admits, which bounds its
// local limits.
inline constexpr Duration kQuotaAverageHalfLife = std::chrono::seconds(7);

// The use of one customer through one entry process. The counts begin at 0 with
// the process and wrap around.
struct QuotaUsage {
  CustomerId customer;
  std::uint32_t offered = 0;
  std::uint32_t admitted = 0;
  // The parts of the counts that were not in an earlier report of the process.
  std::uint32_t new_offered = 0;
  std::uint32_t new_admitted = 0;
  // The admitted requests of the last two seconds, weighed with
  // `kQuotaRecentHalfLife`.
  float recent_admitted = 0;
  // The admitted requests per second, averaged over several seconds.
  float admitted_rate = 0;

  bool operator==(const QuotaUsage&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->customer, this->offered, this->admitted, this->new_offered,
            this->new_admitted, this->recent_admitted, this->admitted_rate);
  }
};

// Sent by an entry VM to its control VM, which relays it to the leader. Lists
// the customers whose counts have changed; may be empty, which only shows that
// the entry VM is in contact.
struct QuotaUsageReport {
  VmId vm;
  EntryProcessId process;
  UsageReportNumber number;
  std::vector<QuotaUsage> usages;

  bool operator==(const QuotaUsageReport&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->vm, this->process, this->number, this->usages);
  }
};

// The reports that a control VM has collected for the leader.
struct QuotaUsageReports {
  std::vector<QuotaUsageReport> reports;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->reports);
  }
};

// The fraction of a customer's requests that each entry VM admits.
struct QuotaRatio {
  CustomerId customer;
  Fraction ratio;

  bool operator==(const QuotaRatio&) const = default;

  template <class Archive>
  void save(Archive& archive) const {
    archive(this->customer, static_cast<float>(this->ratio.value()));
  }

  template <class Archive>
  void load(Archive& archive) {
    float value = 0;
    archive(this->customer, value);
    this->ratio = Fraction(value);
  }
};

// Sent by the leader to the other control VMs, and by each control VM to its
// entry VMs. A customer that it does not list has the ratio 1.
struct QuotaState {
  Term term;
  QuotaStateNumber number;
  // How long the sender has held the state.
  Duration age{};
  std::vector<QuotaRatio> ratios;

  // True if this state replaces `other`.
  bool IsNewerThan(const QuotaState& other) const {
    return this->term != other.term ? this->term > other.term
                                    : this->number > other.number;
  }

  bool operator==(const QuotaState&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->term, this->number, this->age, this->ratios);
  }
};

}  // namespace marigold

#endif  // SRC_POLICY_QUOTA_QUOTA_TYPES_H_
