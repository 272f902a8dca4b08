#ifndef SRC_POLICY_REQUEST_PRIORITY_H_
#define SRC_POLICY_REQUEST_PRIORITY_H_

#include <cstdint>
#include <vector>

#include "src/policy/routes.h"

namespace marigold {

// The priority of a request in the admission.
struct RequestPriority {
  // 0 is the highest priority.
  std::uint32_t level = 0;
  // The weight of the request's share, relative to that of other priorities.
  std::uint32_t weight = 1;
};

// The weights of the priorities that a route table names. Immutable.
class PriorityWeights {
 public:
  // The weight doubles with each known priority, up to this one. With a weight
  // of 4, a small kind of request of the lowest priority would be served
  // exactly a quarter as often as all requests, which is the least that is
  // permitted.
  static constexpr std::uint32_t kMaxWeight = 3;

  PriorityWeights() = default;
  explicit PriorityWeights(const RouteTable& table);

  // The weight of a priority. One that the table doesn't name has the weight of
  // the next lower one that it names, or 1.
  RequestPriority PriorityOf(std::uint32_t level) const;

 private:
  // The distinct priorities, sorted.
  std::vector<std::uint32_t> levels;
};

}  // namespace marigold

#endif  // SRC_POLICY_REQUEST_PRIORITY_H_
