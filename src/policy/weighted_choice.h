#ifndef SRC_POLICY_WEIGHTED_CHOICE_H_
#define SRC_POLICY_WEIGHTED_CHOICE_H_

#include <cmath>
#include <cstdint>
#include <span>

#include "src/core/random.h"
#include "src/policy/routes.h"

namespace marigold {

// Distributes requests over services by weight. Uses a low-discrepancy sequence
// whose points advance by the golden ratio modulo 1, which keeps each service
// closer to its weight than random draws do. Not synchronised.
class WeightedChoice {
 public:
  WeightedChoice() : point(SeededRandom(SystemSeed()).NextDouble()) {}

  // Chooses the service of the next request. The sum of the weights must be
  // above 0.
  ServiceId Choose(std::span<const WeightedService> services) {
    if (services.size() == 1) {
      return services.front().service;
    }
    double weight_sum = 0;
    for (const WeightedService& weighted_service : services) {
      weight_sum += weighted_service.weight;
    }
    double remaining = this->NextPoint() * weight_sum;
    for (const WeightedService& weighted_service : services) {
      remaining -= weighted_service.weight;
      if (remaining < 0) {
        return weighted_service.service;
      }
    }
    // Rounding errors may leave a remainder of 0 or slightly above. The last
    // service with a weight above 0 is chosen then.
    for (std::size_t i = services.size(); i > 1; --i) {
      if (services[i - 1].weight > 0) {
        return services[i - 1].service;
      }
    }
    return services.front().service;
  }

 private:
  static constexpr double kGoldenRatioFraction = 0.618033988749895;

  double NextPoint() {
    this->point += kGoldenRatioFraction;
    this->point -= std::floor(this->point);
    return this->point;
  }

  double point;
};

}  // namespace marigold

#endif  // SRC_POLICY_WEIGHTED_CHOICE_H_
