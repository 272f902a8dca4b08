#include "src/tables/list_edits.h"

#include <fmt/format.h>

#include <utility>

#include "src/core/invariant.h"

namespace marigold {

namespace {

constexpr std::size_t kLengthBytes = 8;

// Encoded size of a row and its map key. The row contains the key as well, so
// that the key's bytes count twice.
std::size_t BytesOf(const PlanRow& row) {
  return 3 * kLengthBytes + 2 * row.customer.value().size() +
         row.plan.value().size();
}

std::size_t BytesOf(const UsageRow& row) {
  constexpr std::size_t kNumberBytes = sizeof(row.rate) + sizeof(row.burst) +
                                       sizeof(row.concurrency) +
                                       sizeof(row.weight);
  std::size_t bytes =
      3 * kLengthBytes + 2 * row.plan.value().size() + kNumberBytes;
  for (const ServiceId& service : row.services) {
    bytes += kLengthBytes + service.value().size();
  }
  return bytes;
}

template <class Map, class Key>
std::size_t BytesAt(const Map& rows, const Key& key) {
  const auto position = rows.find(key);
  return position == rows.end() ? 0 : BytesOf(position->second);
}

}  // namespace

std::string ToString(const RowError& error) {
  constexpr std::string_view kGroupNames[] = {"edit", "plans", "usage",
                                              "removed"};
  const std::string_view name =
      kGroupNames[static_cast<std::size_t>(error.group)];
  if (error.group == RowGroup::kEdit) {
    return fmt::format("{}: expected {}", error.field, error.expected);
  }
  return fmt::format("{}[{}] ({}) {}: expected {}", name, error.row, error.key,
                     error.field, error.expected);
}

std::string_view ToString(ListKind kind) {
  return kind == ListKind::kPlans ? "plans" : "usage";
}

ListVersion VersionOf(const Lists& lists, ListKind kind) {
  return kind == ListKind::kPlans ? lists.plans_version : lists.usage_version;
}

void ApplyEdit(Lists& lists, const PutRows& edit) {
  ListVersion& version =
      edit.list == ListKind::kPlans ? lists.plans_version : lists.usage_version;
  const ListVersion before = version;
  for (const PlanRow& row : edit.plans) {
    lists.plans[row.customer] = row;
  }
  for (const UsageRow& row : edit.usage) {
    lists.usage[row.plan] = row;
  }
  for (const std::string& key : edit.removed) {
    if (edit.list == ListKind::kPlans) {
      lists.plans.erase(CustomerId(key));
    } else {
      lists.usage.erase(PlanId(key));
    }
  }
  version = Next(version);
  CheckInvariant(Invariant::kListNeverReverts,
                 before == edit.expected && version > before,
                 "an edit that expects another list version was applied");
}

std::size_t EncodedBytes(const Lists& lists) {
  std::size_t bytes = 0;
  for (const auto& [customer, row] : lists.plans) {
    bytes += BytesOf(row);
  }
  for (const auto& [plan, row] : lists.usage) {
    bytes += BytesOf(row);
  }
  return bytes;
}

std::size_t EncodedBytesAfter(const Lists& lists,
                              std::size_t bytes,
                              const PutRows& edit) {
  for (const PlanRow& row : edit.plans) {
    bytes += BytesOf(row);
    bytes -= BytesAt(lists.plans, row.customer);
  }
  for (const UsageRow& row : edit.usage) {
    bytes += BytesOf(row);
    bytes -= BytesAt(lists.usage, row.plan);
  }
  for (const std::string& key : edit.removed) {
    bytes -= edit.list == ListKind::kPlans
                 ? BytesAt(lists.plans, CustomerId(key))
                 : BytesAt(lists.usage, PlanId(key));
  }
  return bytes;
}

}  // namespace marigold
