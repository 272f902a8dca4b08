#ifndef SRC_POLICY_ADAPTIVE_CAPACITY_H_
#define SRC_POLICY_ADAPTIVE_CAPACITY_H_

#include <cstddef>
#include <cstdint>
#include <map>

#include "src/core/ids.h"
#include "src/core/units.h"
#include "src/policy/latency_digest.h"

namespace marigold {

// How many requests may run at the same time without queues growing at the
// backend servers: the capacity falls while the servers of the requests that
// end are overloaded, and otherwise it rises as far as it is used.
class AdaptiveCapacity {
 public:
  explicit AdaptiveCapacity(std::uint32_t max_requests);

  // Commands.

  struct Completion {
    const ServiceId& service;
    Duration run_time{};
    // The backend servers of its service have queues or shed load.
    bool is_overloaded = false;
    // Requests that ran, with this one.
    std::uint32_t running = 0;
  };

  // A request ended.
  void OnComplete(MonotonicTime now, const Completion& completion);

  // Queries.

  std::uint32_t capacity() const;

  // How long a request of the service ordinarily runs; zero if unknown.
  Duration MedianRunTime(const ServiceId& service) const;

 private:
  struct Service {
    LatencyDigest run_times;
    Duration median_run_time{};
  };

  void Adjust(MonotonicTime now);

  std::uint32_t max_capacity;
  double current_capacity;
  std::map<ServiceId, Service> services;
  // Of this interval.
  std::size_t completions = 0;
  std::size_t overloads = 0;
  std::uint32_t max_running = 0;
  MonotonicTime interval_start;
};

}  // namespace marigold

#endif  // SRC_POLICY_ADAPTIVE_CAPACITY_H_
