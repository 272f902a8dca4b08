#include "src/policy/forward_timing.h"

#include <algorithm>

namespace marigold {

namespace {

// The request has come and the answer has to go to the caller.
constexpr Duration kUnknownRoundTrip = std::chrono::milliseconds(5);
// The answer has to be encoded by a small VM and read by the caller.
constexpr Duration kAnswerWork = std::chrono::milliseconds(3);
constexpr int kReturnTargetPart = 12;

// The final answer leaves this long before the caller gives up.
constexpr Duration kLimitMargin = std::chrono::milliseconds(8);

// Without observations a second server is asked after this part of the target
// latency.
constexpr int kUnknownHedgePart = 2;

constexpr Fraction kTypicalQuantile{0.5};
// About this part of the sends is followed by a second one.
constexpr Fraction kHedgeQuantile{0.93};
// Sooner than this after a typical answer would hedge on ordinary variation.
constexpr double kLeastOverTypical = 1.6;
// The second server has to have this many times the typical latency before the
// answer is due.
constexpr double kTypicalAnswers = 1.5;

Duration Scale(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(duration.count()) * factor));
}

}  // namespace

ForwardTimes TimesOf(const Route& route,
                     MonotonicTime now,
                     std::optional<Duration> time_left,
                     std::optional<Duration> round_trip,
                     Duration longest_seen) {
  ForwardTimes times;
  times.began = now;
  Duration limit = route.time_limit;
  Duration spent{};
  if (time_left) {
    limit = std::min(limit, *time_left);
    spent = std::max(longest_seen - *time_left, Duration::zero());
  }
  times.limit = now + std::max(limit - kLimitMargin, limit / 2);
  const Duration target =
      route.target_latency > Duration::zero() ? route.target_latency : limit;
  const Duration margin =
      std::max(round_trip.value_or(kUnknownRoundTrip) + kAnswerWork,
               target / kReturnTargetPart);
  times.answer_by = std::min(
      now + std::max(target - margin - spent, Duration::zero()), times.limit);
  return times;
}

ForwardTiming TimingOf(const BackendDirectory& directory,
                       const RouteName& route,
                       const ForwardTimes& times) {
  ForwardTiming timing;
  const Duration available = times.answer_by - times.began;
  const auto typical = directory.LatencyQuantile(route, kTypicalQuantile);
  const auto late = directory.LatencyQuantile(route, kHedgeQuantile);
  if (!typical || !late) {
    timing.hedge_delay =
        std::max(available, times.limit - times.began) / kUnknownHedgePart;
    if (available > Duration::zero()) {
      timing.hedge_delay = available / kUnknownHedgePart;
    }
    return timing;
  }
  timing.expected = *typical;
  const Duration least = Scale(*typical, kLeastOverTypical);
  const Duration latest = available - Scale(*typical, kTypicalAnswers);
  timing.hedge_delay =
      std::max(least, latest > least ? std::min(*late, latest) : *late);
  return timing;
}

}  // namespace marigold
