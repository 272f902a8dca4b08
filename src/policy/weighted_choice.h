#ifndef SRC_POLICY_WEIGHTED_CHOICE_H_
#define SRC_POLICY_WEIGHTED_CHOICE_H_

#include <cmath>
#include <cstdint>
#include <span>

#include "src/core/random.h"
#include "src/policy/routes.h"

namespace marigold {

// Spreads requests over services by their weights. Successive points are a
// golden section apart, which keeps every part closer to its weight than random
// draws do. Not synchronised.
class WeightedChoice {
 public:
  WeightedChoice() : point(SeededRandom(SystemSeed()).Unit()) {}

  // The weights sum to more than 0.
  ServiceId Choose(std::span<const WeightedService> services) {
    if (services.size() == 1) {
      return services.front().service;
    }
    double sum = 0;
    for (const WeightedService& weighted : services) {
      sum += weighted.weight;
    }
    double remaining = this->NextPoint() * sum;
    for (const WeightedService& weighted : services) {
      remaining -= weighted.weight;
      if (remaining < 0) {
        return weighted.service;
      }
    }
    // The sum of the parts may be a little below the sum of the weights.
    for (std::size_t i = services.size(); i > 1; --i) {
      if (services[i - 1].weight > 0) {
        return services[i - 1].service;
      }
    }
    return services.front().service;
  }

 private:
  static constexpr double kGoldenSection = 0.618033988749895;

  double NextPoint() {
    this->point += kGoldenSection;
    this->point -= std::floor(this->point);
    return this->point;
  }

  double point;
};

}  // namespace marigold

#endif  // SRC_POLICY_WEIGHTED_CHOICE_H_
