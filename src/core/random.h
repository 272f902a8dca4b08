#ifndef SRC_CORE_RANDOM_H_
#define SRC_CORE_RANDOM_H_

#include <concepts>
#include <cstdint>

namespace marigold {

// Source of random numbers for decisions. Tests and benchmarks use a fixed
// seed.
template <class T>
concept RandomSource = requires(T source, std::uint64_t bound) {
  // Any 64-bit value.
  { source.Next() } -> std::same_as<std::uint64_t>;
  // A value in [0, bound); `bound` is above 0.
  { source.NextBelow(bound) } -> std::same_as<std::uint64_t>;
  // A value in [0, 1).
  { source.NextDouble() } -> std::same_as<double>;
};

// The splitmix64 generator. A seed gives the same sequence on every platform.
class SeededRandom {
 public:
  explicit SeededRandom(std::uint64_t seed) : state(seed) {}

  std::uint64_t Next() {
    this->state += 0x9e3779b97f4a7c15;
    std::uint64_t z = this->state;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
    z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
    return z ^ (z >> 31);
  }

  std::uint64_t NextBelow(std::uint64_t bound) { return this->Next() % bound; }

  double NextDouble() {
    return static_cast<double>(this->Next() >> 11) * 0x1.0p-53;
  }

 private:
  std::uint64_t state;
};

static_assert(RandomSource<SeededRandom>);

// A seed from the operating system.
std::uint64_t SystemSeed();

}  // namespace marigold

#endif  // SRC_CORE_RANDOM_H_
