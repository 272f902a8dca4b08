#ifndef SRC_POLICY_FAIR_SHARE_LIMITER_H_
#define SRC_POLICY_FAIR_SHARE_LIMITER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>

#include "src/core/ids.h"
#include "src/core/units.h"
#include "src/policy/decaying_count.h"
#include "src/policy/request_priority.h"
#include "src/policy/service_traffic.h"

namespace marigold {

// The requests of one customer and priority, which get a share of their own.
struct FlowKey {
  CustomerId customer;
  // `RequestPriority::level`.
  std::uint32_t priority_level = 0;

  bool operator==(const FlowKey&) const = default;
};

struct FlowKeyHash {
  std::size_t operator()(const FlowKey& flow) const {
    // An odd constant spreads the levels of one customer over the buckets.
    constexpr std::size_t kLevelFactor = 0x9E3779B97F4A7C15;
    return std::hash<CustomerId>()(flow.customer) ^
           flow.priority_level * kLevelFactor;
  }
};

struct FairShareSettings {
  // A flow that offers more than this multiple of what the flows of its
  // priority offer on average gets a greater share in proportion, so that a
  // large customer is not served much less often than a small one. The flows of
  // a priority together get a share in proportion to what they offer. 0: shares
  // do not depend on the offered requests.
  double proportional_above = 0;
  // The minimum share of a flow, as counted by `DecayingCount`. A smaller one
  // could not be estimated reliably from so few requests.
  double min_share = 4;
  // The fraction of the requests that end between two adjustments which must
  // have met congestion to count as queueing. At 0 one request suffices.
  Fraction congested_part{0};
  // The number of adjustments in a row that must have found congestion before
  // queueing reduces the allowance. Random arrivals cause short queues at any
  // load.
  std::uint32_t min_congested_adjustments = 1;
  // After this time without queues the allowance rises by
  // `uncongested_increase` per adjustment, which soon lifts the limit.
  Duration uncongested_period = std::chrono::seconds(3);
  double uncongested_increase = 1.03;
};

// Limits flows that use more than their share by weight while requests queue at
// the backend servers. Fair queueing alone divides the capacity, but
// lets the servers get so busy that tail latency grows for all customers.
// Without queues at the servers no flow is limited. Not synchronised.
class FairShareLimiter {
 public:
  explicit FairShareLimiter(const FairShareSettings& share_settings = {});

  // Commands.

  // Records that the flow offers a request.
  void OnOffer(MonotonicTime now, const FlowKey& key, std::uint32_t weight);
  // Records that a request of the flow starts.
  void OnStart(MonotonicTime now, const FlowKey& key);

  // Records the congestion of the backend servers of a request that ended, and
  // adjusts the allowance at regular intervals.
  void OnCongestion(MonotonicTime now, Congestion congestion);

  // Removes flows without recent offers.
  void RemoveIdle(MonotonicTime now);

  // Queries.

  // True if the flow offers more than its fair share and has started as many
  // requests as its allowance permits.
  bool ExceedsAllowance(MonotonicTime now, const FlowKey& key) const;

  // The weight of the flow's share: the weight of its newest offer, adjusted by
  // `FairShareSettings::proportional_above`.
  double ShareWeight(MonotonicTime now, const FlowKey& key) const;

  // True if there is an allowance that a flow may exceed.
  bool is_limiting() const { return this->allowance < kMaxAllowance; }

 private:
  static constexpr double kMaxAllowance = 64;

  struct Flow {
    std::uint32_t priority_level = 0;
    std::uint32_t weight = 1;
    DecayingCount offered;
    DecayingCount started;
  };

  void AdjustAllowance(MonotonicTime now);
  // Returns the congestion since the last adjustment and begins to count anew.
  Congestion TakeCongestion();
  void UpdateMeans(MonotonicTime now);
  double WeightOf(MonotonicTime now, const Flow& flow) const;

  FairShareSettings settings;
  std::unordered_map<FlowKey, Flow, FlowKeyHash> flows;
  // By priority level: the mean number of requests that a flow offers, as
  // counted by `DecayingCount`.
  std::map<std::uint32_t, double> mean_offered_by_level;
  // The same over all flows; 0 while it is unknown.
  double mean_offered = 0;
  MonotonicTime means_updated_at;
  // Counts of requests that ended since the last adjustment.
  std::uint32_t ended_count = 0;
  std::uint32_t overloaded_count = 0;
  // Includes the overloaded ones.
  std::uint32_t congested_count = 0;
  // The number of the last adjustments, in a row, that found congestion.
  std::uint32_t congested_adjustments = 0;
  // The number of requests that all active flows have started, as counted by
  // `DecayingCount`, divided by the sum of their weights.
  double fair_share;
  // The multiple of its fair share that a flow may use.
  double allowance;
  MonotonicTime adjusted_at;
  MonotonicTime congested_at;
};

}  // namespace marigold

#endif  // SRC_POLICY_FAIR_SHARE_LIMITER_H_
