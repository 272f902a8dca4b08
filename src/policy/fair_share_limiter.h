#ifndef SRC_POLICY_FAIR_SHARE_LIMITER_H_
#define SRC_POLICY_FAIR_SHARE_LIMITER_H_

#include <cstdint>
#include <unordered_map>

#include "src/core/ids.h"
#include "src/core/units.h"
#include "src/policy/decaying_count.h"
#include "src/policy/service_traffic.h"

namespace marigold {

// Limits customers that use more than their share by weight while requests
// queue at the backend servers. Fair queueing alone divides the capacity, but
// lets the servers get so busy that tail latency grows for all customers.
// Without queues at the servers no customer is limited. Not synchronised.
class FairShareLimiter {
 public:
  FairShareLimiter();

  // Commands.

  // Records that the customer offers a request.
  void OnOffer(MonotonicTime now,
               const CustomerId& customer,
               std::uint32_t weight);
  // Records that a request of the customer starts.
  void OnStart(MonotonicTime now, const CustomerId& customer);

  // Records the congestion of the backend servers of a request that ended, and
  // adjusts the allowance at regular intervals.
  void OnCongestion(MonotonicTime now, Congestion congestion);

  // Removes customers without recent offers.
  void RemoveIdle(MonotonicTime now);

  // Queries.

  // True if the customer offers more than its fair share and has started as
  // many requests as its allowance permits.
  bool ExceedsAllowance(MonotonicTime now, const CustomerId& customer) const;

 private:
  struct Customer {
    std::uint32_t weight = 1;
    DecayingCount offered;
    DecayingCount started;
  };

  void AdjustAllowance(MonotonicTime now);

  std::unordered_map<CustomerId, Customer> customers;
  // The worst congestion since the last adjustment.
  Congestion worst_congestion = Congestion::kNone;
  // The number of requests that all active customers have started, as counted
  // by `DecayingCount`, divided by the sum of their weights.
  double fair_share;
  // The multiple of its fair share that a customer may use.
  double allowance;
  MonotonicTime adjusted_at;
  MonotonicTime congested_at;
};

}  // namespace marigold

#endif  // SRC_POLICY_FAIR_SHARE_LIMITER_H_
