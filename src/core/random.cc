#include "src/core/random.h"

#include <random>

namespace marigold {

std::uint64_t SystemSeed() {
  std::random_device device;
  const std::uint64_t high = device();
  return (high << 32) | device();
}

}  // namespace marigold
