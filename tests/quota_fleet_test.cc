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
    {.description = "states arrive late", .state_delay = milliseconds(700)},
    {.description = "states arrive late in a surge",
     .surge = kSurge,
     .state_delay = milliseconds(700)},
    {.description = "a surge", .surge = kSurge},
    {.description = "a surge of a small customer",
     .surge_customer = 30,
     .surge = kSurge},
    {.description = "a surge of the smallest customer",
     .surge_customer = 81,
     .surge = kSurge},
    {.description = "a surge on all VMs",
     .surge = kSurge,
     .uses_all_vms = true},
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
     .leaderless = {milliseconds(16'000), milliseconds(20'000)},
     .max_local_loss = 0.2},
    {.description = "the leader is frozen and wakes",
     .surge = kSurge,
     .leaderless = {milliseconds(15'000), milliseconds(17'000)},
     .old_leader_wakes = seconds(18)},
    {.description = "cut off during the surge",
     .surge = kSurge,
     .cut_off = {seconds(14), seconds(20)}},
    {.description = "cut off in the surge",
     .surge = kSurge,
     .cut_off = {seconds(17), seconds(23)},
     .max_local_loss = 0.25},
    {.description = "cut off on all VMs",
     .surge = kSurge,
     .uses_all_vms = true,
     .cut_off = {seconds(14), seconds(20)}},
    {.description = "cut off for 20 s",
     .surge = kSurge,
     .cut_off = {seconds(5), seconds(25)}},
    {.description = "an entry VM is frozen",
     .surge = kSurge,
     .frozen = {seconds(17), seconds(21)}},
    {.description = "the quota is lowered",
     .surge = kSurge,
     .lowered = seconds(17)},
    {.description = "callers move", .surge = kSurge, .moved = seconds(18)},
    {.description = "all entry VMs restart",
     .surge = kSurge,
     .restarted = seconds(17)},
    {.description = "all entry VMs restart, all VMs",
     .surge = kSurge,
     .uses_all_vms = true,
     .restarted = seconds(17)},
};

constexpr std::uint64_t kSeeds = 4;
constexpr double kMaxLoss = 0.01;
constexpr Duration kWindow = seconds(5);

bool IsOverQuota(const QuotaLoad& load) {
  return load.surge.to > Duration::zero() || load.lowered > Duration::zero();
}

// A lowered quota binds one window after all VMs were in contact for 4 s.
Duration BindingFrom(const QuotaLoad& load) {
  return load.lowered > Duration::zero() ? load.lowered + seconds(4) + kWindow
                                         : Duration::zero();
}

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
    max_excess =
        std::max(max_excess, static_cast<double>(last - first + 1) - bound);
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
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    QuotaFleet fleet(load, seed);
    fleet.Run();
    std::size_t offered = 0;
    std::size_t refused = 0;
    std::size_t offered_locally = 0;
    std::size_t refused_locally = 0;
    for (std::size_t i = 0; i < fleet.outcomes().size(); ++i) {
      const QuotaFleet::Outcome& outcome = fleet.outcomes()[i];
      const bool is_over = i == load.surge_customer && IsOverQuota(load);
      const double excess =
          MaxExcess(outcome, is_over ? BindingFrom(load) : Duration::zero());
      cr_expect(excess <= 0, "%s, seed %lu: %s is %.0f above the bound",
                load.description, seed,
                outcome.customer.customer.value().c_str(), excess);
      offered += is_over ? 0 : outcome.offered_in_contact;
      refused += is_over ? 0 : outcome.refused_in_contact;
      offered_locally +=
          is_over ? 0 : outcome.offered - outcome.offered_in_contact;
      refused_locally +=
          is_over ? 0 : outcome.refused - outcome.refused_in_contact;
    }
    cr_expect(static_cast<double>(refused_locally) <=
                  load.max_local_loss * static_cast<double>(offered_locally),
              "%s, seed %lu: %zu of %zu requests refused out of contact",
              load.description, seed, refused_locally, offered_locally);
    cr_expect(
        static_cast<double>(refused) <= kMaxLoss * static_cast<double>(offered),
        "%s, seed %lu: %zu of %zu requests within the quota refused",
        load.description, seed, refused, offered);
  }
}

// Guards against a surge that gets much less than the quota of the customer.
Test(QuotaFleet, ServesASurgeUpToTheQuota) {
  const QuotaLoad load{.surge = kSurge};
  QuotaFleet fleet(load, 1);
  fleet.Run();
  const QuotaFleet::Outcome& outcome = fleet.outcomes().front();
  const auto served = std::ranges::count_if(
      outcome.admitted, [](Duration time) { return kSurge.Contains(time); });
  const double quota =
      outcome.customer.quota.rate.value() * ToSeconds(kSurge.to - kSurge.from);
  cr_expect(static_cast<double>(served) >= 0.9 * quota, "%.0f of %.0f",
            static_cast<double>(served), quota);
}

}  // namespace marigold
