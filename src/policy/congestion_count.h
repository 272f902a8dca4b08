#ifndef SRC_POLICY_CONGESTION_COUNT_H_
#define SRC_POLICY_CONGESTION_COUNT_H_

#include <cstddef>
#include <cstdint>

#include "src/policy/service_traffic.h"

namespace marigold {

// How many targets of a request have servers that are short of capacity.
struct CongestionCount {
  // Targets whose answer came from a server with a queue.
  std::uint32_t queueing = 0;
  // Targets whose servers refused the request for want of room.
  std::uint32_t overloaded = 0;

  CongestionCount& operator+=(const CongestionCount& other) {
    this->queueing += other.queueing;
    this->overloaded += other.overloaded;
    return *this;
  }

  bool operator==(const CongestionCount&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->queueing, this->overloaded);
  }
};

// True if a target counts as overloaded. While another server of the target
// takes the request, one full server is a matter of replica choice and not a
// lack of capacity.
inline bool IsTargetOverloaded(std::uint32_t full_servers, bool is_answered) {
  return full_servers >= 2 || (full_servers == 1 && !is_answered);
}

// Decides by the fraction of the targets, because a fan-out over many shards
// meets some slow or full servers at any load. A queue at half of the targets
// is one that most requests meet. A quarter of the targets without room is more
// than any minimum coverage in use permits to be missing.
inline Congestion DecideCongestion(const CongestionCount& count,
                                   std::size_t target_count) {
  constexpr std::size_t kOverloadedPart = 4;
  constexpr std::size_t kQueueingPart = 2;
  if (count.overloaded > 0 &&
      count.overloaded * kOverloadedPart >= target_count) {
    return Congestion::kOverload;
  }
  return count.queueing > 0 && count.queueing * kQueueingPart >= target_count
             ? Congestion::kQueueing
             : Congestion::kNone;
}

}  // namespace marigold

#endif  // SRC_POLICY_CONGESTION_COUNT_H_
