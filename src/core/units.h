#ifndef SRC_CORE_UNITS_H_
#define SRC_CORE_UNITS_H_

#include <chrono>
#include <compare>
#include <cstdint>

namespace marigold {

// The type of all durations. Microseconds resolve a loopback round trip.
using Duration = std::chrono::microseconds;

namespace detail {

// Tags for time points. Points of the two clocks do not convert to each other.
struct MonotonicTag {
  using duration = Duration;
  using rep = Duration::rep;
  using period = Duration::period;
  using time_point = std::chrono::time_point<MonotonicTag>;
};

struct WallTag {
  using duration = Duration;
  using rep = Duration::rep;
  using period = Duration::period;
  using time_point = std::chrono::time_point<WallTag>;
};

// A floating-point quantity of one unit.
template <class Tag>
class Quantity {
 public:
  constexpr Quantity() = default;
  constexpr explicit Quantity(double value) : amount(value) {}

  constexpr double value() const { return this->amount; }

  constexpr auto operator<=>(const Quantity&) const = default;

 private:
  double amount = 0;
};

}  // namespace detail

// Time that never goes backwards; used for timeouts, leases and latencies.
using MonotonicTime = detail::MonotonicTag::time_point;
// Unix time; used only for idempotency keys and for display.
using WallTime = detail::WallTag::time_point;

using RatePerSecond = detail::Quantity<struct RatePerSecondTag>;
// A value between 0 and 1.
using Fraction = detail::Quantity<struct FractionTag>;

constexpr double ToMilliseconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1000.0;
}

constexpr double ToSeconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1e6;
}

constexpr Duration FromSeconds(double seconds) {
  return Duration(static_cast<std::int64_t>(seconds * 1e6));
}

constexpr Duration Scale(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(duration.count()) * factor));
}

}  // namespace marigold

#endif  // SRC_CORE_UNITS_H_
