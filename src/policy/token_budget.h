#ifndef SRC_POLICY_TOKEN_BUDGET_H_
#define SRC_POLICY_TOKEN_BUDGET_H_

#include <algorithm>

#include "src/core/units.h"

namespace marigold {

// Token budget for additional sub-requests. Each primary sub-request earns a
// fixed fraction of a token. The additional sub-requests therefore never exceed
// that fraction of the primary ones by more than `max_tokens`. Not
// synchronised.
class TokenBudget {
 public:
  // Starts with `initial_tokens` and never holds more than `max_tokens`. Each
  // primary sub-request earns `earned_share` of a token.
  TokenBudget(Fraction earned_share, double max_tokens, double initial_tokens)
      : tokens_per_primary(earned_share),
        token_limit(max_tokens),
        tokens(std::min(initial_tokens, max_tokens)) {}

  // Commands.

  // Adds the tokens that one primary sub-request earns.
  void OnPrimary() {
    this->tokens = std::min(this->tokens + this->tokens_per_primary.value(),
                            this->token_limit);
  }

  // Spends `cost` tokens. Returns false and spends none if fewer are available.
  bool TrySpend(double cost) {
    if (this->tokens < cost) {
      return false;
    }
    this->tokens -= cost;
    return true;
  }

  // Returns the tokens that were spent on a sub-request that was not sent.
  void Refund(double cost) {
    this->tokens = std::min(this->tokens + cost, this->token_limit);
  }

  // Queries.

  double available() const { return this->tokens; }

 private:
  Fraction tokens_per_primary;
  double token_limit;
  double tokens;
};

}  // namespace marigold

#endif  // SRC_POLICY_TOKEN_BUDGET_H_
