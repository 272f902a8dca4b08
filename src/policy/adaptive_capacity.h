#ifndef SRC_POLICY_ADAPTIVE_CAPACITY_H_
#define SRC_POLICY_ADAPTIVE_CAPACITY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "src/core/ids.h"
#include "src/core/units.h"
#include "src/policy/latency_digest.h"

namespace marigold {

struct AdaptiveCapacitySettings {
  // The bounds of the capacity, at least 1.
  std::uint32_t max_capacity = 1;
  std::uint32_t min_capacity = 1;
  // The capacity is `max_capacity` once no overload was found for this time. If
  // absent, it always follows the number of requests that run.
  std::optional<Duration> lift_after{};
};

// Adapts the number of requests that may run at the same time to the load of
// the backend servers, so that queues do not grow there. The capacity is
// reduced while more than half of the requests that end find overloaded
// servers. Otherwise it is raised, but to no more than a multiple of the number
// of requests that run.
class AdaptiveCapacity {
 public:
  explicit AdaptiveCapacity(const AdaptiveCapacitySettings& capacity_settings);

  // Commands.

  struct Completion {
    const ServiceId& service;
    Duration run_time{};
    // True if the backend servers of the service have queues or shed load.
    bool is_overloaded = false;
    // The number of requests that were running, including this one.
    std::uint32_t running = 0;
  };

  // Records a request that ended, and adjusts the capacity if that is due.
  void OnComplete(MonotonicTime now, const Completion& completion);

  // Sets the highest capacity if `lift_after` has passed since an overload.
  void LiftIfDue(MonotonicTime now);

  // Queries.

  // The number of requests that may run at the same time, at least 1.
  std::uint32_t capacity() const;

  // The median run time of the requests of a service; zero if it is unknown.
  Duration MedianRunTime(const ServiceId& service) const;

 private:
  struct Service {
    LatencyDigest run_times;
    Duration median_run_time{};
  };

  void Adjust(MonotonicTime now);
  // Returns the capacity moved into the bounds of the settings.
  double Clamp(double capacity) const;

  AdaptiveCapacitySettings settings;
  double current_capacity;
  std::map<ServiceId, Service> services;
  // Counts since `interval_start`.
  std::size_t completions = 0;
  std::size_t overloaded_completions = 0;
  std::uint32_t max_running = 0;
  MonotonicTime interval_start;
  // Absent if no overload was found, or none since the capacity was lifted.
  std::optional<MonotonicTime> overloaded_at;
};

}  // namespace marigold

#endif  // SRC_POLICY_ADAPTIVE_CAPACITY_H_
