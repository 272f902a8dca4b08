#ifndef SRC_POLICY_TOKEN_BUCKET_H_
#define SRC_POLICY_TOKEN_BUCKET_H_

#include <algorithm>
#include <optional>

#include "src/core/units.h"

namespace marigold {

// Token bucket that is refilled at a constant rate up to a burst size. Starts
// full. Not synchronised.
class TokenBucket {
 public:
  // Commands.

  // Sets the rate and the burst size, which is at least 1. If the burst size
  // decreases, the tokens above it are lost.
  void Configure(MonotonicTime now, RatePerSecond new_rate, double new_burst) {
    const bool is_new = this->burst == 0;
    this->Refill(now);
    this->rate = new_rate;
    this->burst = std::max(new_burst, 1.0);
    this->tokens = is_new ? this->burst : std::min(this->tokens, this->burst);
  }

  // Takes one token. Returns false and takes none if there is less than one.
  bool TryTake(MonotonicTime now) {
    this->Refill(now);
    if (this->tokens < 1) {
      return false;
    }
    this->tokens -= 1;
    return true;
  }

  // Returns one token that was taken for a request that did not run.
  void Refund() { this->tokens = std::min(this->tokens + 1, this->burst); }

  // Drops the tokens above `level`.
  void DropAbove(double level) { this->tokens = std::min(this->tokens, level); }

  // Queries.

  // The time from the last refill until one whole token is available. Returns
  // nothing if the rate is 0.
  std::optional<Duration> TimeToNextToken() const {
    if (this->rate.value() <= 0) {
      return std::nullopt;
    }
    return FromSeconds(std::max(1 - this->tokens, 0.0) / this->rate.value());
  }

  // True if the bucket holds as many tokens as the burst size.
  bool IsFull(MonotonicTime now) const {
    return this->tokens + this->EarnedTokens(now) >= this->burst;
  }

 private:
  double EarnedTokens(MonotonicTime now) const {
    return std::max(ToSeconds(now - this->refilled_at), 0.0) *
           this->rate.value();
  }

  void Refill(MonotonicTime now) {
    this->tokens =
        std::min(this->tokens + this->EarnedTokens(now), this->burst);
    this->refilled_at = std::max(now, this->refilled_at);
  }

  RatePerSecond rate;
  double burst = 0;
  double tokens = 0;
  MonotonicTime refilled_at;
};

}  // namespace marigold

#endif  // SRC_POLICY_TOKEN_BUCKET_H_
