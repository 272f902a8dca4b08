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

// Decides which failed attempts are retried.
template <class T, class Random>
concept RetryPolicy = requires(const T& policy,
                               AttemptFailure failure,
                               Idempotence idempotence,
                               std::uint32_t failed_attempts,
                               Random& random) {
  { policy.Allows(failure, idempotence) } -> std::same_as<bool>;
  // The delay before the next attempt if all replicas were tried and
  // `failed_attempts` attempts have failed; empty if the policy gives up.
  {
    policy.Backoff(failed_attempts, random)
    } -> std::same_as<std::optional<Duration>>;
};

// Never retries. This is the baseline for the other policies.
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

// Retries attempts that are known not to have run, and all attempts of
// idempotent requests. A retry is sent to another replica at once, and with
// exponential backoff once all replicas have failed.
class BackoffRetry {
 public:
  bool Allows(AttemptFailure failure, Idempotence idempotence) const {
    return SurelyDidNotRun(failure) || idempotence == Idempotence::kIdempotent;
  }

  // Returns a random delay between half of the backoff and all of it, so that
  // searches that failed at the same time do not retry at the same time.
  template <RandomSource Random>
  std::optional<Duration> Backoff(std::uint32_t failed_attempts,
                                  Random& random) const {
    const std::uint32_t doublings = std::min(failed_attempts, kMaxDoublings);
    const auto full_backoff =
        static_cast<double>((kInitialBackoff * (1U << doublings)).count());
    return Duration(static_cast<std::int64_t>(full_backoff *
                                              (1 + random.NextDouble()) / 2));
  }

 private:
  static constexpr Duration kInitialBackoff = std::chrono::milliseconds(5);
  static constexpr std::uint32_t kMaxDoublings = 6;
};

}  // namespace marigold

#endif  // SRC_POLICY_RETRIES_H_
