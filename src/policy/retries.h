#ifndef SRC_POLICY_RETRIES_H_
#define SRC_POLICY_RETRIES_H_

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <optional>

#include "src/core/random.h"
#include "src/core/units.h"
#include "src/policy/search_types.h"

namespace marigold {

// Whether running a request twice has the same effect as running it once.
enum class Idempotence { kIdempotent, kNotIdempotent };

// Decides which failed attempts are followed by another one.
template <class T, class Random>
concept RetryPolicy = requires(const T& policy,
                               AttemptFailure failure,
                               Idempotence idempotence,
                               std::uint32_t failures,
                               Random& random) {
  { policy.Allows(failure, idempotence) } -> std::same_as<bool>;
  // How long to wait after all replicas were tried, by the number of failed
  // attempts; nothing to give up.
  { policy.Backoff(failures, random) } -> std::same_as<std::optional<Duration>>;
};

// The baseline that retries have to beat.
class NoRetry {
 public:
  bool Allows(AttemptFailure /*failure*/, Idempotence /*idempotence*/) const {
    return false;
  }

  template <RandomSource Random>
  std::optional<Duration> Backoff(std::uint32_t /*failures*/,
                                  Random& /*random*/) const {
    return std::nullopt;
  }
};

// Retries what surely did not run, and whatever may run twice; at once on
// another replica, and with growing delays once all replicas have failed.
class BackoffRetry {
 public:
  bool Allows(AttemptFailure failure, Idempotence idempotence) const {
    return SurelyDidNotRun(failure) || idempotence == Idempotence::kIdempotent;
  }

  // Between half of the delay and the whole, so that searches that failed
  // together do not come back together.
  template <RandomSource Random>
  std::optional<Duration> Backoff(std::uint32_t failures,
                                  Random& random) const {
    const std::uint32_t doublings = std::min(failures, kMaxDoublings);
    const auto full_backoff =
        static_cast<double>((kInitialBackoff * (1U << doublings)).count());
    return Duration(
        static_cast<std::int64_t>(full_backoff * (1 + random.Unit()) / 2));
  }

 private:
  static constexpr Duration kInitialBackoff = std::chrono::milliseconds(5);
  static constexpr std::uint32_t kMaxDoublings = 6;
};

}  // namespace marigold

#endif  // SRC_POLICY_RETRIES_H_
