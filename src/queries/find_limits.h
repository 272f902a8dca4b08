#ifndef SRC_QUERIES_FIND_LIMITS_H_
#define SRC_QUERIES_FIND_LIMITS_H_

#include <cstdint>
#include <variant>

#include "src/core/ids.h"
#include "src/core/verdict.h"
#include "src/policy/admission.h"
#include "src/tables/list_table.h"

namespace marigold {

// Which part of every customer's limits this entry VM enforces. The parts of
// all entry VMs sum to the limit.
struct LimitPart {
  std::uint32_t entry_vms = 1;
  // From 0 to `entry_vms` - 1, different on every entry VM.
  std::uint32_t entry_number = 0;
};

// What a customer may use of a service on this entry VM, or why nothing.
std::variant<AdmissionLimits, Refusal> FindLimits(const ListTable& lists,
                                                  const LimitPart& part,
                                                  const CustomerId& customer,
                                                  const ServiceId& service);

// For a process that serves every customer without lists.
AdmissionLimits UnboundedLimits();

}  // namespace marigold

#endif  // SRC_QUERIES_FIND_LIMITS_H_
