#include <criterion/criterion.h>

#include "tests/quota_fleet.h"
#include "tests/row_indices.h"

namespace marigold {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const QuotaPeriod kSurge{seconds(15), seconds(21)};

const QuotaLoad kLoads[] = {
    {.description = "the usual load"},
    {.description = "usual load on all VMs", .uses_all_vms = true},
    {.description = "a surge", .surge = kSurge},
    {.description = "a surge of a small customer", .surge_customer = 30, .surge = kSurge},
    {.description = "a surge of the smallest customer", .surge_customer = 81, .surge = kSurge},
    {.description = "a surge on all VMs", .surge = kSurge, .uses_all_vms = true},
    {.description = "the leader dies",
     .surge = kSurge,
     .leaderless = {milliseconds(17'050), milliseconds(18'050)}},
    {.description = "the leader dies, usual load",
     .leaderless = {milliseconds(17'050), milliseconds(18'050)}},
    {.description = "the leader dies as the surge begins",
     .surge = kSurge,
     .leaderless = {milliseconds(15'000), milliseconds(16'000)}},
    {.description = "the leader dies, all VMs",
     .surge = kSurge,
     .uses_all_vms = true,
     .leaderless = {milliseconds(17'050), milliseconds(18'050)}},
    {.description = "the leader dies as the surge begins, all VMs",
     .surge = kSurge,
     .uses_all_vms = true,
     .leaderless = {milliseconds(15'000), milliseconds(16'000)}},
    {.description = "no leader for 4 s",
     .surge = kSurge,
     .leaderless = {milliseconds(16'000), milliseconds(20'000)}},
    {.description = "the leader is frozen and wakes",
     .surge = kSurge,
     .leaderless = {milliseconds(15'000), milliseconds(17'000)},
     .old_leader_wakes = seconds(18)},
    {.description = "cut off during the surge",
     .surge = kSurge,
     .cut_off = {seconds(14), seconds(20)}},
    {.description = "cut off in the surge",
     .surge = kSurge,
     .cut_off = {seconds(17), seconds(23)}},
    {.description = "cut off on all VMs",
     .surge = kSurge,
     .uses_all_vms = true,
     .cut_off = {seconds(14), seconds(20)}},
    {.description = "cut off for 20 s", .surge = kSurge, .cut_off = {seconds(5), seconds(25)}},
    {.description = "an entry VM is frozen",
     .surge = kSurge,
     .frozen = {seconds(17), seconds(21)}},
    {.description = "the quota is lowered", .surge = kSurge, .lowered = seconds(17)},
    {.description = "callers move", .surge = kSurge, .moved = seconds(18)},
    {.description = "all entry VMs restart", .surge = kSurge, .restarted = seconds(17)},
    {.description = "all entry VMs restart, all VMs",
     .surge = kSurge,
     .uses_all_vms = true,
     .restarted = seconds(17)},
};

constexpr Duration kWindow = seconds(5);

// The highest excess over the bound in any window that begins at `from` or
// later; negative if the bound holds.
double MaxExcess(const QuotaFleet::Outcome& outcome, Duration from) {
  const QuotaLimit& quota = outcome.customer.quota;
  const double bound =
      (quota.rate.value() * ToSeconds(kWindow) + quota.burst) * 1.1 + 20;
  double max_excess = -bound;
  auto first = std::ranges::lower_bound(outcome.admitted, from);
  for (auto last = first; last != outcome.admitted.end(); ++last) {
    while (*last - *first >= kWindow) {
      ++first;
    }
    max_excess = std::max(
        max_excess, static_cast<double>(last - first + 1) - bound);
  }
  return max_excess;
}

}  // namespace

ParameterizedTestParameters(QuotaFleet, KeepsTheBoundAndLosesLittle) {
  return RowIndices(kLoads);
}

// Guards against use beyond the quota when states are late, lost or stale, and
// against refusals of customers that stay below their quota.
ParameterizedTest(std::size_t* index, QuotaFleet, KeepsTheBoundAndLosesLittle) {
  const QuotaLoad& load = kLoads[*index];
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    QuotaFleet fleet(load, seed);
    fleet.Run();
    // A lowered quota binds one window after all VMs were in contact for 4 s.
    const Duration binding_from = load.lowered > Duration::zero()
                                      ? load.lowered + seconds(4) + kWindow
                                      : Duration::zero();
    std::size_t offered = 0;
    std::size_t refused = 0;
    std::size_t all_refused = 0;
    double excess = -1e9;
    for (std::size_t i = 0; i < fleet.outcomes().size(); ++i) {
      const QuotaFleet::Outcome& outcome = fleet.outcomes()[i];
      const bool is_over = i == load.surge_customer &&
                           (load.surge.to > Duration::zero() ||
                            load.lowered > Duration::zero());
      const double e = MaxExcess(outcome, is_over ? binding_from : Duration());
      excess = std::max(excess, e);
      if (is_over) {
        printf("  surge customer excess %.0f admitted %zu of %zu;", e,
               outcome.admitted.size(), outcome.offered);
      }
      if (!is_over) {
        offered += outcome.offered_in_contact;
        refused += outcome.refused_in_contact;
        all_refused += outcome.refused;
      }
    }
    printf("%s seed %lu: excess %.1f lost %.2f%% (%zu) all lost %zu\n",
           load.description, seed, excess, 100.0 * refused / offered, refused,
           all_refused);
    cr_expect(excess <= 0, "%s: %.0f above the bound", load.description,
              excess);
    cr_expect(static_cast<double>(refused) <=
                  0.01 * static_cast<double>(offered),
              "%s: %zu of %zu refused", load.description, refused, offered);
  }
}

}  // namespace marigold
