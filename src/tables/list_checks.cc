#include <fmt/format.h>

#include <cmath>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "src/tables/list_edits.h"

namespace marigold {

namespace {

// The length of the UTF-8 sequence at the start of `text`, or 0 if there is no
// valid one.
std::size_t Utf8SequenceLength(std::string_view text) {
  const auto byte = [&](std::size_t i) {
    return static_cast<unsigned char>(text[i]);
  };
  const unsigned char first = byte(0);
  const std::size_t length = first < 0x80   ? 1
                             : first < 0xc2 ? 0
                             : first < 0xe0 ? 2
                             : first < 0xf0 ? 3
                             : first < 0xf5 ? 4
                                            : 0;
  if (length > text.size()) {
    return 0;
  }
  for (std::size_t i = 1; i < length; ++i) {
    if ((byte(i) & 0xc0) != 0x80) {
      return 0;
    }
  }
  const bool is_overlong =
      (first == 0xe0 && byte(1) < 0xa0) || (first == 0xf0 && byte(1) < 0x90);
  const bool is_surrogate = first == 0xed && byte(1) >= 0xa0;
  const bool is_above_unicode = first == 0xf4 && byte(1) >= 0x90;
  return is_overlong || is_surrogate || is_above_unicode ? 0 : length;
}

// Collects the errors of one row.
class RowChecker {
 public:
  RowChecker(std::vector<RowError>& row_errors,
             RowGroup row_group,
             std::size_t row_index,
             std::string row_key)
      : errors(row_errors),
        group(row_group),
        row(row_index),
        key(IsId(row_key) ? std::move(row_key) : "invalid id") {}

  void Expect(bool holds, std::string_view field, std::string_view expected) {
    if (!holds) {
      this->errors.push_back({this->group, this->row, this->key,
                              std::string(field), std::string(expected)});
    }
  }

  void ExpectId(std::string_view text, std::string_view field) {
    this->Expect(IsId(text), field,
                 fmt::format("UTF-8 text of 1 to {} bytes without control "
                             "characters",
                             kMaxCommandIdBytes));
  }

  template <class Number>
  void ExpectRange(Number value,
                   Number low,
                   Number high,
                   std::string_view field) {
    this->Expect(value >= low && value <= high, field,
                 fmt::format("a number from {} to {}", low, high));
  }

 private:
  std::vector<RowError>& errors;
  RowGroup group;
  std::size_t row;
  std::string key;
};

void CheckServices(const UsageRow& row, RowChecker& checker) {
  checker.Expect(
      !row.services.empty() && row.services.size() <= kMaxServicesPerPlan,
      "services", fmt::format("1 to {} services", kMaxServicesPerPlan));
  std::set<ServiceId> seen;
  for (std::size_t i = 0; i < row.services.size(); ++i) {
    const std::string field = fmt::format("services[{}]", i);
    checker.ExpectId(row.services[i].value(), field);
    checker.Expect(seen.insert(row.services[i]).second, field,
                   "each service once");
  }
}

void CheckWholeEdit(const PutRows& edit, RowChecker& checker) {
  checker.ExpectId(edit.change.value(), "change");
  const std::size_t rows =
      edit.plans.size() + edit.usage.size() + edit.removed.size();
  checker.Expect(rows >= 1 && rows <= kMaxRowsPerEdit, "rows",
                 fmt::format("1 to {} rows", kMaxRowsPerEdit));
  checker.Expect(edit.list == ListKind::kPlans || edit.plans.empty(), "plans",
                 "no plan rows in an edit of the usage list");
  checker.Expect(edit.list == ListKind::kUsage || edit.usage.empty(), "usage",
                 "no usage rows in an edit of the plan list");
}

}  // namespace

bool IsId(std::string_view text) {
  if (text.empty() || text.size() > kMaxCommandIdBytes) {
    return false;
  }
  while (!text.empty()) {
    const auto first = static_cast<unsigned char>(text[0]);
    const std::size_t length = Utf8SequenceLength(text);
    if (length == 0 || first < 0x20 || first == 0x7f) {
      return false;
    }
    text.remove_prefix(length);
  }
  return true;
}

std::vector<RowError> CheckValues(const PutRows& edit) {
  std::vector<RowError> errors;
  RowChecker edit_checker(errors, RowGroup::kEdit, 0, "");
  CheckWholeEdit(edit, edit_checker);
  std::set<std::string_view> seen_keys;
  for (std::size_t i = 0; i < edit.plans.size(); ++i) {
    const PlanRow& row = edit.plans[i];
    RowChecker checker(errors, RowGroup::kPlans, i, row.customer.value());
    checker.ExpectId(row.customer.value(), "customer");
    checker.ExpectId(row.plan.value(), "plan");
    checker.Expect(seen_keys.insert(row.customer.value()).second, "customer",
                   "one row for each customer");
  }
  for (std::size_t i = 0; i < edit.usage.size(); ++i) {
    const UsageRow& row = edit.usage[i];
    RowChecker checker(errors, RowGroup::kUsage, i, row.plan.value());
    checker.ExpectId(row.plan.value(), "plan");
    checker.Expect(seen_keys.insert(row.plan.value()).second, "plan",
                   "one row for each plan");
    CheckServices(row, checker);
    checker.ExpectRange(row.rate, kMinPlanRate, kMaxPlanRate, "rate");
    checker.ExpectRange(row.burst, 1U, kMaxPlanBurst, "burst");
    checker.ExpectRange(row.concurrency, 1U, kMaxPlanConcurrency,
                        "concurrency");
    checker.ExpectRange(row.weight, 1U, kMaxPlanWeight, "weight");
  }
  for (std::size_t i = 0; i < edit.removed.size(); ++i) {
    RowChecker checker(errors, RowGroup::kRemoved, i, edit.removed[i]);
    checker.ExpectId(edit.removed[i], "key");
    checker.Expect(seen_keys.insert(edit.removed[i]).second, "key",
                   "a key that the edit names once");
  }
  return errors;
}

std::vector<RowError> CheckReferences(const Lists& lists, const PutRows& edit) {
  std::vector<RowError> errors;
  for (std::size_t i = 0; i < edit.plans.size(); ++i) {
    RowChecker checker(errors, RowGroup::kPlans, i,
                       edit.plans[i].customer.value());
    checker.Expect(lists.usage.contains(edit.plans[i].plan), "plan",
                   "a plan of the usage list");
  }
  std::set<PlanId> plans_in_use;
  if (edit.list == ListKind::kUsage && !edit.removed.empty()) {
    for (const auto& [customer, row] : lists.plans) {
      plans_in_use.insert(row.plan);
    }
  }
  for (std::size_t i = 0; i < edit.removed.size(); ++i) {
    const std::string& key = edit.removed[i];
    RowChecker checker(errors, RowGroup::kRemoved, i, key);
    if (edit.list == ListKind::kPlans) {
      checker.Expect(lists.plans.contains(CustomerId(key)), "key",
                     "a customer of the plan list");
    } else {
      checker.Expect(lists.usage.contains(PlanId(key)), "key",
                     "a plan of the usage list");
      checker.Expect(!plans_in_use.contains(PlanId(key)), "key",
                     "a plan that no customer has");
    }
  }
  return errors;
}

}  // namespace marigold
