#ifndef SRC_TABLES_QUOTA_TABLE_H_
#define SRC_TABLES_QUOTA_TABLE_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "src/core/ranked_mutex.h"
#include "src/policy/quota/quota_gate.h"
#include "src/tables/list_table.h"

namespace marigold {

// What `/state` and the metrics of an entry VM show about quotas.
struct QuotaTableSummary {
  QuotaGateSummary gate;
  // Decided requests of customers with a quota by `QuotaVerdict`.
  std::array<std::uint64_t, kQuotaVerdictCount> decided{};
};

// The quota gate of an entry VM, shared by all workers. Takes the quotas from
// the routes in force.
class QuotaTable {
 public:
  QuotaTable(VmId vm, const ListTable& list_table);

  // Commands.

  // Applies the customers of the routes in force. Must be called when the lists
  // have changed, so that the gate knows since when there are quotas.
  void FollowLists(MonotonicTime now);

  // Sets the callback that arranges for a call of `TakeReport` at the given
  // time. It runs on any worker. Must be called before the first request.
  void SetReportHandler(std::function<void(MonotonicTime at)> handler);
  // Decides on a request. Admits the requests of customers without a quota.
  QuotaDecision Admit(MonotonicTime now, const CustomerId& customer);
  // Takes back the admission of a request that was sent nowhere.
  void GiveBack(const CustomerId& customer);
  // Takes a state of the control group into use.
  void Apply(MonotonicTime now, const QuotaState& state);
  void SetLimitShare(Fraction share);
  // Returns the report that is due, if any, and asks for the next call.
  std::optional<QuotaUsageReport> TakeReport(MonotonicTime now);
  // Logs that the states have been missing for long.
  void LogMissingState(MonotonicTime now);

  // Queries.

  QuotaTableSummary Summary(MonotonicTime now) const;

 private:
  // Requires that the lock is held.
  void FollowRoutes(MonotonicTime now,
                    std::shared_ptr<const RouteIndex> routes);

  const ListTable& lists;
  std::function<void(MonotonicTime at)> on_report_due = [](MonotonicTime) {};
  mutable RankedMutex<LockRank::kQuotas> mutex;
  QuotaGate gate;
  // The routes whose quotas are in force.
  std::shared_ptr<const RouteIndex> routes_in_force;
  bool has_quotas = false;
  // True while a call of `TakeReport` is arranged.
  bool is_report_arranged = false;
  bool is_logged_missing = false;
  std::array<std::atomic<std::uint64_t>, kQuotaVerdictCount> decided{};
};

// Returns the metrics of an entry VM's quotas in the Prometheus text format.
std::string QuotaMetricsText(const QuotaTableSummary& summary);

}  // namespace marigold

#endif  // SRC_TABLES_QUOTA_TABLE_H_
