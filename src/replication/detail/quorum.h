#ifndef SRC_REPLICATION_DETAIL_QUORUM_H_
#define SRC_REPLICATION_DETAIL_QUORUM_H_

#include <algorithm>
#include <cstddef>
#include <functional>
#include <vector>

namespace marigold::detail {

// Returns the `quorum`-th largest of `values`, so that at least `quorum` of
// them are not smaller. `quorum` must be between 1 and the number of values.
template <class T>
T QuorumValue(std::vector<T> values, std::size_t quorum) {
  std::sort(values.begin(), values.end(), std::greater<>());
  return values[quorum - 1];
}

}  // namespace marigold::detail

#endif  // SRC_REPLICATION_DETAIL_QUORUM_H_
