#ifndef TESTS_CONTROL_ROWS_H_
#define TESTS_CONTROL_ROWS_H_

#include <string>
#include <utility>
#include <vector>

#include "src/commands/control_commands.h"

namespace marigold {

// Builders of rows and edits for test tables.

inline UsageRow Usage(const char* plan) {
  return {PlanId(plan), {ServiceId("lookup")}, 10, 20, 5, 1};
}

inline PlanRow Plan(const char* customer, const char* plan) {
  return {CustomerId(customer), PlanId(plan)};
}

inline PutRows PutPlans(const char* change,
                        std::uint64_t expected,
                        std::vector<PlanRow> rows,
                        std::vector<std::string> removed = {}) {
  return {ListKind::kPlans,
          ChangeId(change),
          ListVersion(expected),
          std::move(rows),
          {},
          std::move(removed)};
}

inline PutRows PutUsage(const char* change,
                        std::uint64_t expected,
                        std::vector<UsageRow> rows,
                        std::vector<std::string> removed = {}) {
  return {ListKind::kUsage, ChangeId(change),  ListVersion(expected), {},
          std::move(rows),  std::move(removed)};
}

}  // namespace marigold

#endif  // TESTS_CONTROL_ROWS_H_
