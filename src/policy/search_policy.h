#ifndef SRC_POLICY_SEARCH_POLICY_H_
#define SRC_POLICY_SEARCH_POLICY_H_

#include "src/core/units.h"
#include "src/policy/hedging.h"
#include "src/policy/replica_choice.h"
#include "src/policy/retries.h"
#include "src/policy/search_types.h"

namespace marigold {

// The policies that a `Search` applies, and the preference of its service.
template <class ReplicaPolicyType,
          HedgePolicy HedgePolicyType,
          class RetryPolicyType>
struct SearchPolicy {
  static constexpr bool kSendsTrials = ReplicaPolicyType::kSendsTrials;

  ReplicaPolicyType replica{};
  HedgePolicyType hedge{};
  RetryPolicyType retry{};
  Preference preference = Preference::kCoverage;
  // Attempts end this long before the caller's deadline, so that the answer
  // arrives within it.
  Duration deadline_margin = std::chrono::milliseconds(5);
};

// Sends one attempt for each shard to a random replica.
using PlainPolicy = SearchPolicy<RandomReplica, NoHedge, NoRetry>;
using RetryOnlyPolicy = SearchPolicy<RandomReplica, NoHedge, BackoffRetry>;
using HedgeOnlyPolicy = SearchPolicy<RandomReplica, PercentileHedge, NoRetry>;
// The policy of the entry process.
using DefaultPolicy =
    SearchPolicy<PowerOfTwoChoices, PercentileHedge, BackoffRetry>;

}  // namespace marigold

#endif  // SRC_POLICY_SEARCH_POLICY_H_
