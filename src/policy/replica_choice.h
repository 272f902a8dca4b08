#ifndef SRC_POLICY_REPLICA_CHOICE_H_
#define SRC_POLICY_REPLICA_CHOICE_H_

#include <algorithm>
#include <array>
#include <cmath>
#include <concepts>
#include <cstddef>
#include <optional>

#include "src/core/random.h"
#include "src/policy/server_view.h"

namespace marigold {

// Chooses one of a non-empty set of candidates, or none if the attempt has to
// wait until one of them is below its limit.
template <class T, class Random>
concept ReplicaPolicy = requires(const T& policy,
                                 CandidateViews candidates,
                                 Random& random) {
  {
    policy.Choose(candidates, random)
    } -> std::same_as<std::optional<ServerIndex>>;
  // True if suspect servers get trial requests in addition to the ordinary
  // attempts.
  { T::kSendsTrials } -> std::convertible_to<bool>;
};

// Chooses any candidate with equal probability. This is the baseline for the
// other policies.
class RandomReplica {
 public:
  static constexpr bool kSendsTrials = false;

  template <RandomSource Random>
  std::optional<ServerIndex> Choose(CandidateViews candidates,
                                    Random& random) const {
    return candidates[random.NextBelow(candidates.size())].index;
  }
};

// Compares two random candidates and chooses the one with the lower expected
// cost. A candidate at its limit is never chosen, and a suspect one only if all
// are suspect. A server that became usable recently gets a share of the
// attempts that rises over time.
class PowerOfTwoChoices {
 public:
  static constexpr bool kSendsTrials = true;

  template <RandomSource Random>
  std::optional<ServerIndex> Choose(CandidateViews candidates,
                                    Random& random) const {
    const Choices choices = EligibleChoices(candidates, random);
    if (choices.count == 0) {
      return std::nullopt;
    }
    if (choices.count == 1) {
      return choices.views[0]->index;
    }
    const std::size_t first = random.NextBelow(choices.count);
    std::size_t second = random.NextBelow(choices.count - 1);
    second += second >= first ? 1 : 0;
    const ServerView& one = *choices.views[first];
    const ServerView& other = *choices.views[second];
    return Cost(other) < Cost(one) ? other.index : one.index;
  }

  // The expected cost of a request that is placed now: the estimated latency in
  // microseconds times the utilisation that the server would have, and times a
  // factor for a server in another data centre.
  static double Cost(const ServerView& view) {
    const double age = static_cast<double>(view.report_age.count());
    const double freshness =
        std::exp2(-age / static_cast<double>(kReportHalfLife.count()));
    const double latency =
        static_cast<double>(view.latency_estimate.count() + 1);
    // If attempts have been without a reply for longer than usual, the server
    // has a queue that no report shows yet.
    const double lateness = std::min(
        static_cast<double>(view.silent_for.count()) / latency, kMaxLateness);
    const double load = static_cast<double>(view.in_flight) +
                        static_cast<double>(view.reported_load) * freshness *
                            view.report_trust.value() +
                        kRequestsPerLateness * lateness;
    const double utilisation = (load + 1) / static_cast<double>(view.slots);
    return utilisation * latency *
           (view.is_in_same_data_centre ? 1 : kRemoteFactor);
  }

  // The fraction of its ordinary share that a server gets while it is new.
  static double RampUpShare(const ServerView& view) {
    const double share = static_cast<double>(view.usable_for.count()) /
                         static_cast<double>(kRampUpTime.count());
    return std::clamp(share, kMinRampUpShare, 1.0);
  }

 private:
  // The maximum number of eligible replicas of one shard. Further ones are not
  // considered.
  static constexpr std::size_t kMaxChoices = 64;
  // A server in another data centre is chosen only if its cost is lower than
  // the cost of the local ones divided by this factor.
  static constexpr double kRemoteFactor = 1.25;
  // The age at which a load report has half its weight. With 100 ms, stragglers
  // raised the 99th percentile of the latencies of the Hollabrunn deployment by
  // a tenth.
  static constexpr Duration kReportHalfLife = std::chrono::seconds(1);
  // For each multiple of its estimated latency that a server has been without a
  // reply, the server is assumed to have this many queued requests.
  static constexpr double kRequestsPerLateness = 2;
  static constexpr double kMaxLateness = 10;
  static constexpr Duration kRampUpTime = std::chrono::seconds(10);
  static constexpr double kMinRampUpShare = 0.05;

  struct Choices {
    std::array<const ServerView*, kMaxChoices> views;
    std::size_t count = 0;

    void Add(const ServerView& view) {
      if (this->count < kMaxChoices) {
        this->views[this->count++] = &view;
      }
    }
  };

  template <RandomSource Random>
  static Choices EligibleChoices(CandidateViews candidates, Random& random) {
    double max_ramp_up_share = 0;
    bool all_suspect = true;
    for (const ServerView& view : candidates) {
      all_suspect = all_suspect && view.is_suspect;
    }
    for (const ServerView& view : candidates) {
      if (view.is_suspect == all_suspect && IsBelowLimit(view)) {
        max_ramp_up_share = std::max(max_ramp_up_share, RampUpShare(view));
      }
    }
    Choices choices;
    for (const ServerView& view : candidates) {
      if (view.is_suspect != all_suspect || !IsBelowLimit(view)) {
        continue;
      }
      const double ramp_up_share = RampUpShare(view);
      if (ramp_up_share >= max_ramp_up_share ||
          random.NextDouble() * max_ramp_up_share < ramp_up_share) {
        choices.Add(view);
      }
    }
    return choices;
  }

  static bool IsBelowLimit(const ServerView& view) {
    return view.in_flight < view.limit;
  }
};

// Chooses the candidate with the least expected delay. A fixed delay is added
// for a server in another data centre, because traffic between data centres
// costs money. A suspect candidate is chosen only if all are suspect.
class LeastExpectedDelay {
 public:
  static constexpr bool kSendsTrials = false;

  template <RandomSource Random>
  std::optional<ServerIndex> Choose(CandidateViews candidates,
                                    Random& random) const {
    const ServerView* best = nullptr;
    double best_cost = 0;
    for (const ServerView& view : candidates) {
      const double cost = Cost(view) + random.NextDouble() * kTieBreakSpread;
      const bool is_better =
          best == nullptr ||
          (view.is_suspect != best->is_suspect ? !view.is_suspect
                                               : cost < best_cost);
      if (is_better) {
        best = &view;
        best_cost = cost;
      }
    }
    return best == nullptr ? std::nullopt : std::optional(best->index);
  }

  // The expected delay in microseconds.
  static double Cost(const ServerView& view) {
    const double age = static_cast<double>(view.report_age.count());
    const double freshness =
        std::exp2(-age / static_cast<double>(kReportHalfLife.count()));
    const double latency =
        static_cast<double>(view.latency_estimate.count() + 1);
    const double load = static_cast<double>(view.in_flight) +
                        static_cast<double>(view.reported_load) * freshness;
    const double slots = static_cast<double>(view.slots);
    const double queued_per_slot = std::max(0.0, load + 1 - slots) / slots;
    const double excess_silence = std::max(
        0.0, static_cast<double>(view.silent_for.count()) - 2 * latency);
    const double remote_delay = view.is_in_same_data_centre
                                    ? 0
                                    : static_cast<double>(kRemoteDelay.count());
    return latency * (1 + queued_per_slot + kBusyWeight * load / slots) +
           excess_silence + remote_delay;
  }

 private:
  static constexpr Duration kReportHalfLife = std::chrono::milliseconds(300);
  static constexpr Duration kRemoteDelay = std::chrono::milliseconds(12);
  // A busy server is slightly slower even while it has free slots.
  static constexpr double kBusyWeight = 0.3;
  // The upper bound of a random cost, in microseconds, that spreads the
  // attempts over equal candidates.
  static constexpr double kTieBreakSpread = 300;
};

}  // namespace marigold

#endif  // SRC_POLICY_REPLICA_CHOICE_H_
