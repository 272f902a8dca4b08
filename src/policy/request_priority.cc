#include "src/policy/request_priority.h"

#include <algorithm>

namespace marigold {

PriorityWeights::PriorityWeights(const RouteTable& table) {
  for (const Route& route : table.routes) {
    this->levels.push_back(route.priority);
  }
  if (table.customers) {
    for (const RoutedCustomer& customer : *table.customers) {
      if (customer.priority) {
        this->levels.push_back(*customer.priority);
      }
    }
  }
  std::sort(this->levels.begin(), this->levels.end());
  this->levels.erase(std::unique(this->levels.begin(), this->levels.end()),
                     this->levels.end());
}

RequestPriority PriorityWeights::PriorityOf(std::uint32_t level) const {
  auto lower =
      std::upper_bound(this->levels.begin(), this->levels.end(), level);
  RequestPriority priority{level, 1};
  while (lower != this->levels.end() && priority.weight < kMaxWeight) {
    priority.weight = std::min(priority.weight * 2, kMaxWeight);
    ++lower;
  }
  return priority;
}

}  // namespace marigold
