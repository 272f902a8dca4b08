#include "src/policy/adaptive_capacity.h"

#include <algorithm>
#include <cmath>

namespace marigold {

namespace {

constexpr Fraction kMedian(0.5);
// The median run time of a service is computed again after this many samples.
constexpr std::uint32_t kSamplesPerMedianUpdate = 64;
// The capacity is adjusted at most once per interval, and only after at least
// `kMinCompletions` requests ended.
constexpr Duration kAdjustmentInterval = std::chrono::milliseconds(100);
constexpr std::size_t kMinCompletions = 5;
constexpr double kDecreaseFactor = 0.85;
constexpr double kIncreaseFactor = 1.1;
// The capacity grows to at most this many times the number of requests that ran
// at the same time, so that a burst after a quiet period is not admitted all at
// once.
constexpr double kHeadroomFactor = 3;
// The capacity may always grow to this value, however few requests run.
constexpr double kMinTarget = 8;
// A process starts with a low capacity, because it may start during an
// overload.
constexpr double kInitialCapacity = 16;

}  // namespace

AdaptiveCapacity::AdaptiveCapacity(
    const AdaptiveCapacitySettings& capacity_settings)
    : settings(capacity_settings), current_capacity(kInitialCapacity) {
  this->settings.max_capacity = std::max(this->settings.max_capacity, 1U);
  this->settings.min_capacity =
      std::clamp(this->settings.min_capacity, 1U, this->settings.max_capacity);
  this->current_capacity =
      this->Clamp(this->settings.lift_after ? this->settings.max_capacity
                                            : kInitialCapacity);
}

double AdaptiveCapacity::Clamp(double capacity) const {
  return std::clamp(capacity, static_cast<double>(this->settings.min_capacity),
                    static_cast<double>(this->settings.max_capacity));
}

void AdaptiveCapacity::LiftIfDue(MonotonicTime now) {
  if (this->overloaded_at && this->settings.lift_after &&
      now - *this->overloaded_at >= *this->settings.lift_after) {
    this->current_capacity = this->settings.max_capacity;
    this->overloaded_at.reset();
  }
}

void AdaptiveCapacity::OnComplete(MonotonicTime now,
                                  const Completion& completion) {
  Service& service = this->services[completion.service];
  service.run_times.Add(completion.run_time);
  if (service.run_times.samples() % kSamplesPerMedianUpdate == 0) {
    service.median_run_time =
        service.run_times.Quantile(kMedian).value_or(service.median_run_time);
  }
  ++this->completions;
  this->overloaded_completions += completion.is_overloaded ? 1 : 0;
  this->max_running = std::max(this->max_running, completion.running);
  if (now - this->interval_start >= kAdjustmentInterval &&
      this->completions >= kMinCompletions) {
    this->Adjust(now);
  }
}

void AdaptiveCapacity::Adjust(MonotonicTime now) {
  const auto peak_running = static_cast<double>(this->max_running);
  if (this->overloaded_completions * 2 > this->completions) {
    this->current_capacity =
        std::min(this->current_capacity, peak_running) * kDecreaseFactor;
    this->overloaded_at = now;
  } else if (this->overloaded_at || !this->settings.lift_after) {
    const double target = std::max(peak_running * kHeadroomFactor, kMinTarget);
    this->current_capacity =
        this->current_capacity * kIncreaseFactor < target
            ? this->current_capacity * kIncreaseFactor
            : std::max(this->current_capacity / kIncreaseFactor, target);
  }
  this->current_capacity = this->Clamp(this->current_capacity);
  this->completions = 0;
  this->overloaded_completions = 0;
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
