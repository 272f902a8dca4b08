#include "src/policy/adaptive_capacity.h"

#include <algorithm>
#include <cmath>

namespace marigold {

namespace {

constexpr Fraction kMedian(0.5);
// Samples after which the usual run time is computed again.
constexpr std::uint32_t kSamplesPerMedianUpdate = 64;
constexpr Duration kAdjustmentInterval = std::chrono::milliseconds(100);
constexpr std::size_t kMinCompletions = 5;
constexpr double kMinCapacity = 1;
constexpr double kDecreaseFactor = 0.85;
constexpr double kIncreaseFactor = 1.1;
// The capacity is bound to what is used, so that a burst after a quiet time
// does not find all of it open.
constexpr double kHeadroomFactor = 3;
constexpr double kMinTarget = 8;
// Before anything is known; a process may start during an overload.
constexpr double kInitialCapacity = 16;

}  // namespace

AdaptiveCapacity::AdaptiveCapacity(std::uint32_t max_requests)
    : max_capacity(std::max(max_requests, 1U)),
      current_capacity(std::min(kInitialCapacity,
                                static_cast<double>(this->max_capacity))) {}

void AdaptiveCapacity::OnComplete(MonotonicTime now,
                                  const Completion& completion) {
  Service& service = this->services[completion.service];
  service.run_times.Add(completion.run_time);
  if (service.run_times.samples() % kSamplesPerMedianUpdate == 0) {
    service.median_run_time =
        service.run_times.Quantile(kMedian).value_or(service.median_run_time);
  }
  ++this->completions;
  this->overloads += completion.is_overloaded ? 1 : 0;
  this->max_running = std::max(this->max_running, completion.running);
  if (now - this->interval_start >= kAdjustmentInterval &&
      this->completions >= kMinCompletions) {
    this->Adjust(now);
  }
}

void AdaptiveCapacity::Adjust(MonotonicTime now) {
  const auto used = static_cast<double>(this->max_running);
  if (this->overloads * 2 > this->completions) {
    this->current_capacity =
        std::min(this->current_capacity, used) * kDecreaseFactor;
  } else {
    const double target = std::max(used * kHeadroomFactor, kMinTarget);
    this->current_capacity =
        this->current_capacity * kIncreaseFactor < target
            ? this->current_capacity * kIncreaseFactor
            : std::max(this->current_capacity / kIncreaseFactor, target);
  }
  const auto highest = static_cast<double>(this->max_capacity);
  this->current_capacity = std::clamp(this->current_capacity,
                                      std::min(kMinCapacity, highest), highest);
  this->completions = 0;
  this->overloads = 0;
  this->max_running = 0;
  this->interval_start = now;
}

std::uint32_t AdaptiveCapacity::capacity() const {
  return static_cast<std::uint32_t>(std::lround(this->current_capacity));
}

Duration AdaptiveCapacity::MedianRunTime(const ServiceId& service) const {
  const auto position = this->services.find(service);
  return position == this->services.end() ? Duration::zero()
                                          : position->second.median_run_time;
}

}  // namespace marigold
