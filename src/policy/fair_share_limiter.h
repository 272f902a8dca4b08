#ifndef SRC_POLICY_FAIR_SHARE_LIMITER_H_
#define SRC_POLICY_FAIR_SHARE_LIMITER_H_

#include <cstdint>
#include <unordered_map>

#include "src/core/ids.h"
#include "src/core/units.h"
#include "src/policy/decaying_count.h"
#include "src/policy/service_traffic.h"

namespace marigold {

// Holds back customers that want more than others of the same weight, while
// requests wait at the backend servers. Fair queueing alone divides the
// capacity, but lets the servers get so busy that the tail of all customers
// grows. Without queues at the servers anybody may have any share.
class FairShareLimiter {
 public:
  FairShareLimiter();

  // Commands.

  void OnOffer(MonotonicTime now,
               const CustomerId& customer,
               std::uint32_t weight);
  void OnStart(MonotonicTime now, const CustomerId& customer);

  // A request ended whose backend servers are this busy.
  void OnCongestion(MonotonicTime now, Congestion congestion);

  // Drops customers without recent offers.
  void RemoveIdle(MonotonicTime now);

  // Queries.

  // The customer offers more than its share and had as much as it may have.
  bool ExceedsAllowance(MonotonicTime now, const CustomerId& customer) const;

 private:
  struct Customer {
    std::uint32_t weight = 1;
    DecayingCount offered;
    DecayingCount started;
  };

  void Adjust(MonotonicTime now);

  std::unordered_map<CustomerId, Customer> customers;
  // The worst since the last adjustment.
  Congestion worst_congestion = Congestion::kNone;
  // What active customers began for each unit of weight, as counted by
  // `DecayingCount`.
  double fair_share;
  // How many times its share a customer may have.
  double allowance;
  MonotonicTime adjusted_at;
  MonotonicTime congested_at;
};

}  // namespace marigold

#endif  // SRC_POLICY_FAIR_SHARE_LIMITER_H_
