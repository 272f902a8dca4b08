#include "src/queries/find_limits.h"

#include <algorithm>
#include <limits>

namespace marigold {

namespace {

// Requests per second; higher than any load.
constexpr double kUnboundedRate = 1e9;

// The part of `limit` that this entry VM enforces. The remainder of the
// division goes to the entry VMs with the lowest numbers.
std::uint32_t PartOfLimit(std::uint32_t limit, const LimitPart& part) {
  const std::uint32_t remainder = limit % part.entry_vms;
  return limit / part.entry_vms + (part.entry_number < remainder ? 1 : 0);
}

}  // namespace

std::variant<AdmissionLimits, Refusal> FindLimits(const ListTable& lists,
                                                  const LimitPart& part,
                                                  const CustomerId& customer,
                                                  const ServiceId& service) {
  const auto found = lists.LimitsOf(customer);
  if (!found) {
    return Refusal{
        Execution::kDidNotRun, Reason::kUnknownCustomer, customer.value(), {}};
  }
  const auto& services = found->services;
  if (std::find(services.begin(), services.end(), service) == services.end()) {
    return Refusal{Execution::kDidNotRun,
                   Reason::kServiceNotInPlan,
                   "plan " + found->plan.value(),
                   {}};
  }
  AdmissionLimits limits;
  limits.rate = RatePerSecond(found->rate.value() / part.entry_vms);
  limits.burst = PartOfLimit(found->burst, part);
  limits.concurrency = PartOfLimit(found->concurrency, part);
  limits.weight = found->weight;
  return limits;
}

AdmissionLimits UnboundedLimits() {
  constexpr std::uint32_t kUnbounded =
      std::numeric_limits<std::uint32_t>::max();
  return {RatePerSecond(kUnboundedRate), kUnbounded, kUnbounded, 1};
}

}  // namespace marigold
