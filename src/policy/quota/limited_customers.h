#ifndef SRC_POLICY_QUOTA_LIMITED_CUSTOMERS_H_
#define SRC_POLICY_QUOTA_LIMITED_CUSTOMERS_H_

#include <utility>
#include <vector>

#include "src/policy/customers.h"

namespace marigold::detail {

// Makes the keys of `customers` the routed customers with a quota. Entries of
// customers that keep a quota are kept. Calls `update` with each entry, its
// routed customer and whether the entry is new. `Customers` is a map from
// `CustomerId`.
template <class Customers, class Update>
void ReplaceLimitedCustomers(const std::vector<RoutedCustomer>& routed,
                             Customers& customers,
                             const Update& update) {
  Customers previous = std::exchange(customers, {});
  for (const RoutedCustomer& row : routed) {
    if (row.quota.is_unlimited()) {
      continue;
    }
    auto node = previous.extract(row.customer);
    const bool is_new = node.empty();
    auto& customer = is_new
                         ? customers[row.customer]
                         : customers.insert(std::move(node)).position->second;
    update(customer, row, is_new);
  }
}

}  // namespace marigold::detail

#endif  // SRC_POLICY_QUOTA_LIMITED_CUSTOMERS_H_
