#include "tools/standin/service_time.h"

#include <cmath>
#include <numbers>

namespace marigold {

namespace {

// Draws a number of the standard normal distribution with the Box-Muller
// transform.
double DrawNormal(SeededRandom& random) {
  const double radius = std::sqrt(-2 * std::log(1 - random.NextDouble()));
  return radius * std::cos(2 * std::numbers::pi * random.NextDouble());
}

double ColdFactor(const ServiceTimeSettings& settings, Duration since_start) {
  if (since_start >= settings.cold_time) {
    return 1;
  }
  const double passed = ToSeconds(since_start) / ToSeconds(settings.cold_time);
  return settings.cold_factor + (1 - settings.cold_factor) * passed;
}

}  // namespace

Duration DrawServiceTime(const ServiceTimeSettings& settings,
                         Duration since_start,
                         SeededRandom& random) {
  // Both random values are always drawn, so that a change of the settings does
  // not shift later draws.
  const double normal = DrawNormal(random);
  const bool is_straggler =
      random.NextDouble() < settings.straggler_share.value();
  double seconds =
      ToSeconds(settings.median) * std::exp(settings.spread * normal);
  seconds *= ColdFactor(settings, since_start);
  if (is_straggler) {
    seconds *= settings.straggler_factor;
  }
  return FromSeconds(seconds);
}

}  // namespace marigold
