#ifndef SRC_QUERIES_FIND_LIMITS_H_
#define SRC_QUERIES_FIND_LIMITS_H_

#include <cstdint>
#include <variant>

#include "src/core/ids.h"
#include "src/core/verdict.h"
#include "src/policy/admission.h"
#include "src/tables/list_table.h"

namespace marigold {

// The part of each customer's limits that this entry VM enforces. The parts of
// all entry VMs sum to the limit.
struct LimitPart {
  // Number of entry VMs that share the limits.
  std::uint32_t entry_vms = 1;
  // From 0 to `entry_vms` - 1, different on every entry VM.
  std::uint32_t entry_number = 0;
};

// Returns the limits of a customer for a service on this entry VM. Refuses with
// `kUnknownCustomer` if the customer has no limits, and with
// `kServiceNotInPlan` if its plan does not include the service.
std::variant<AdmissionLimits, Refusal> FindLimits(const ListTable& lists,
                                                  const LimitPart& part,
                                                  const CustomerId& customer,
                                                  const ServiceId& service);

// Limits that never take effect, for a process that has no lists and serves
// every customer.
AdmissionLimits UnboundedLimits();

}  // namespace marigold

#endif  // SRC_QUERIES_FIND_LIMITS_H_
