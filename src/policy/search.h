#ifndef SRC_POLICY_SEARCH_H_
#define SRC_POLICY_SEARCH_H_

#include <algorithm>
#include <concepts>
#include <iterator>
#include <optional>
#include <utility>
#include <vector>

#include "src/core/invariant.h"
#include "src/core/random.h"
#include "src/policy/fleet.h"
#include "src/policy/search_policy.h"
#include "src/policy/search_types.h"
#include "src/policy/shard_progress.h"
#include "src/policy/snapshot_choice.h"

namespace marigold {

// Gives exclusive access to the `Fleet` for the duration of one call.
template <class T>
concept FleetAccess = requires(T& access) {
  access.Access([](Fleet& /*fleet*/) {});
};

// Generates attempt ids that are unique within this process.
template <class T>
concept AttemptIdSource = requires(T source) {
  { source.NextAttempt() } -> std::same_as<AttemptId>;
};

// The state machine of one search. It performs no I/O: the driver passes events
// in and carries out the returned steps in order. After `FinishSearch`, every
// further event returns no steps.
//
// When `Fleet::TakeWokenWaiters` returns the `waiter` of a search, the driver
// calls `OnTimer` of that search.
template <FleetAccess Access,
          class Policy,
          RandomSource Random,
          AttemptIdSource Ids>
class Search {
 public:
  Search(SearchRequest search_request,
         Access& fleet_access,
         Policy search_policy,
         Random& random_source,
         Ids& attempt_ids)
      : request(std::move(search_request)),
        access(fleet_access),
        policy(std::move(search_policy)),
        random(random_source),
        ids(attempt_ids),
        waiter_id(attempt_ids.NextAttempt().value()) {}

  std::vector<SearchStep> Start(MonotonicTime now) {
    const Duration margin =
        std::min(this->policy.deadline_margin, this->request.deadline / 10);
    this->deadline = now + this->request.deadline - margin;
    return this->WithFleet([&](Fleet& fleet, Steps& steps) {
      const SnapshotList list = fleet.Snapshots(this->request.service);
      if (list == nullptr) {
        this->Refuse(Reason::kUnknownService, steps);
        return;
      }
      const SnapshotView* chosen =
          ChooseSnapshot(*list, this->policy.preference);
      if (chosen == nullptr) {
        this->Refuse(Reason::kNoSnapshot, steps);
        return;
      }
      this->StartSnapshot(now, fleet, *chosen, AttemptKind::kPrimary, steps);
      this->SetNextTimer(now, steps);
    });
  }

  std::vector<SearchStep> OnReply(MonotonicTime now, SubReply reply) {
    ShardProgress* shard = this->FindShard(reply.shard);
    ShardAttempt* attempt =
        shard == nullptr ? nullptr : shard->FindLive(reply.attempt);
    if (this->finished || attempt == nullptr) {
      return {};
    }
    if (reply.snapshot != this->snapshot) {
      CheckInvariant(Invariant::kOneSnapshot, false,
                     "a search received a reply of another snapshot");
      return this->OnFailure(now, reply.attempt, AttemptFailure::kBadReply);
    }
    if (shard->is_covered) {
      attempt->is_live = false;
      return {};
    }
    return this->WithFleet([&](Fleet& fleet, Steps& steps) {
      this->MergeReply(*shard, *attempt, std::move(reply));
      this->MarkCovered(now, fleet, *shard, steps);
      this->FinishIfDecided(now, fleet, steps);
    });
  }

  std::vector<SearchStep> OnFailure(MonotonicTime now,
                                    AttemptId id,
                                    AttemptFailure failure) {
    ShardProgress* shard = this->FindShardOf(id);
    if (this->finished || shard == nullptr) {
      return {};
    }
    ShardAttempt& attempt = *shard->FindLive(id);
    attempt.is_live = false;
    this->may_have_run = this->may_have_run || !SurelyDidNotRun(failure);
    if (shard->is_covered) {
      return {};
    }
    ++shard->failed_attempts;
    return this->WithFleet([&](Fleet& fleet, Steps& steps) {
      if (failure == AttemptFailure::kUnknownSnapshot ||
          failure == AttemptFailure::kUnknownShard) {
        fleet.OnMissingShard(attempt.server, this->snapshot, shard->shard);
      }
      if (!shard->CanStillBeCovered()) {
        this->Retry(now, fleet, *shard, failure, steps);
      }
      this->FinishIfDecided(now, fleet, steps);
      this->SetNextTimer(now, steps);
    });
  }

  std::vector<SearchStep> OnTimer(MonotonicTime now) {
    if (this->finished) {
      return {};
    }
    return this->WithFleet([&](Fleet& fleet, Steps& steps) {
      if (now >= this->deadline) {
        this->Finish(now, fleet, MissingReason::kDeadline, steps);
        return;
      }
      // A restart replaces `shards`, which ends the loop.
      const std::uint32_t restarts_before = this->restarts;
      for (std::size_t i = 0;
           i < this->shards.size() && restarts_before == this->restarts; ++i) {
        this->Advance(now, fleet, this->shards[i], steps);
      }
      this->FinishIfDecided(now, fleet, steps);
      this->SetNextTimer(now, steps);
    });
  }

  bool is_finished() const { return this->finished; }
  WaiterId waiter() const { return this->waiter_id; }

 private:
  using Steps = std::vector<SearchStep>;

  // The maximum number of restarts of a search. If the snapshots of a service
  // change faster than a search can finish, no answer under one snapshot is
  // possible.
  static constexpr std::uint32_t kMaxRestarts = 2;
  // When the hedge delay of a shard has passed this many times, another attempt
  // may be sent with a token of the retry budget.
  static constexpr std::uint32_t kMinLateCountForRetry = 3;
  // With preference `kTail`, a search waits for its last shards for at most
  // `kTailFactor` times this quantile of the shard latencies. The latency of a
  // shard ends with its first reply, which may be that to a hedged request.
  static constexpr Fraction kTailQuantile{0.999};
  static constexpr int kTailFactor = 2;

  template <class Body>
  Steps WithFleet(Body&& body) {
    Steps steps;
    this->access.Access([&](Fleet& fleet) { body(fleet, steps); });
    return steps;
  }

  void Refuse(Reason reason, Steps& steps) {
    this->finished = true;
    steps.emplace_back(
        FinishSearch{Refusal{Execution::kDidNotRun, reason, "", {}}});
  }

  // Begins to search all shards of a snapshot.
  void StartSnapshot(MonotonicTime now,
                     Fleet& fleet,
                     const SnapshotView& view,
                     AttemptKind kind,
                     Steps& steps) {
    const ServiceTraffic& traffic = this->TrafficOf(fleet);
    this->snapshot = view.snapshot;
    this->hedge_delay = this->policy.hedge.Delay(traffic);
    this->early_answer_at = MonotonicTime::max();
    if (this->policy.preference == Preference::kTail) {
      if (const auto tail = traffic.shard_digest().Quantile(kTailQuantile)) {
        this->early_answer_at = now + *tail * kTailFactor;
      }
    }
    this->matches.clear();
    this->covered_shards = 0;
    this->shards.clear();
    this->shards.reserve(view.all_shards.size());
    for (const ShardId shard : view.all_shards) {
      this->shards.emplace_back(shard);
    }
    this->open_shards = this->shards.size();
    for (ShardProgress& shard : this->shards) {
      this->Place(now, fleet, shard, kind, steps);
      this->PlaceTrial(now, fleet, shard, steps);
      this->CloseIfNotCoverable(shard);
    }
    this->FinishIfDecided(now, fleet, steps);
  }

  // Sends an attempt for the shard. If all servers are at their limits, the
  // shard is queued, unless the attempt is a hedged request.
  PlaceResult Place(MonotonicTime now,
                    Fleet& fleet,
                    ShardProgress& shard,
                    AttemptKind kind,
                    Steps& steps) {
    const bool may_wait = kind != AttemptKind::kHedge;
    const Placement placement =
        fleet.Place(now,
                    {this->request.service, this->snapshot, shard.shard,
                     shard.tried_servers(),
                     may_wait ? std::optional(this->waiter_id) : std::nullopt},
                    this->policy.replica, this->random);
    shard.waits_for_server =
        may_wait && placement.result == PlaceResult::kAllAtLimit;
    if (placement.result == PlaceResult::kPlaced) {
      this->Send(now, fleet, shard, placement.server, kind, steps);
    } else if (placement.result == PlaceResult::kNoServer) {
      shard.missing_reason =
          shard.tried_servers().empty() && shard.failed_attempts == 0
              ? MissingReason::kNoServer
              : MissingReason::kFailed;
    }
    return placement.result;
  }

  void Send(MonotonicTime now,
            Fleet& fleet,
            ShardProgress& shard,
            ServerIndex server,
            AttemptKind kind,
            Steps& steps) {
    const AttemptId attempt = this->ids.NextAttempt();
    if (shard.attempts().empty()) {
      shard.first_sent_at = now;
    }
    shard.Add({attempt, server, kind, now, true});
    if (kind == AttemptKind::kPrimary) {
      this->TrafficOf(fleet).OnPrimary();
    }
    if (this->hedge_delay && kind != AttemptKind::kTrial) {
      shard.next_attempt_at =
          now + *this->hedge_delay * (1U << shard.late_count);
    }
    steps.emplace_back(SendAttempt{attempt, kind, server, shard.shard,
                                   this->snapshot, this->deadline});
  }

  void PlaceTrial(MonotonicTime now,
                  Fleet& fleet,
                  ShardProgress& shard,
                  Steps& steps) {
    if constexpr (Policy::kSendsTrials) {
      if (!shard.HasLiveAttempt()) {
        return;
      }
      if (const auto server = fleet.PlaceTrial(now, this->request.service,
                                               this->snapshot, shard.shard)) {
        this->Send(now, fleet, shard, *server, AttemptKind::kTrial, steps);
      }
    }
  }

  // Performs the work that is due for one shard.
  void Advance(MonotonicTime now,
               Fleet& fleet,
               ShardProgress& shard,
               Steps& steps) {
    if (!shard.is_open) {
      return;
    }
    if (shard.waits_for_server) {
      this->Place(now, fleet, shard,
                  shard.failed_attempts == 0 ? AttemptKind::kPrimary
                                             : AttemptKind::kRetry,
                  steps);
    } else if (shard.next_attempt_at <= now) {
      shard.next_attempt_at = MonotonicTime::max();
      if (std::exchange(shard.is_backing_off, false)) {
        shard.AllowTriedServers();
        this->PlaceRetry(now, fleet, shard, steps);
      } else {
        this->OnHedgeDelayPassed(now, fleet, shard, steps);
      }
    }
    this->CloseIfNotCoverable(shard);
  }

  // Handles a shard whose attempts have not replied within the hedge delay.
  // Marks their servers as slow and sends another attempt if a budget permits
  // it.
  void OnHedgeDelayPassed(MonotonicTime now,
                          Fleet& fleet,
                          ShardProgress& shard,
                          Steps& steps) {
    ++shard.late_count;
    for (ShardAttempt& attempt : shard.attempts()) {
      if (attempt.is_live && !attempt.was_reported_slow) {
        attempt.was_reported_slow = true;
        fleet.OnSlowAttempt(now, attempt.server);
      }
    }
    if (shard.HasMaxAttempts()) {
      return;
    }
    ServiceTraffic& traffic = this->TrafficOf(fleet);
    const bool spent_hedge_token =
        shard.hedges_sent < this->policy.hedge.MaxPerShard() &&
        traffic.TryHedge(now);
    const bool spent_retry_token =
        !spent_hedge_token && shard.late_count >= kMinLateCountForRetry &&
        !traffic.IsShedding(now) &&
        this->policy.retry.Allows(AttemptFailure::kTimeout,
                                  Idempotence::kIdempotent) &&
        traffic.TryRetry(1);
    if (spent_hedge_token || spent_retry_token) {
      const PlaceResult result =
          this->Place(now, fleet, shard, AttemptKind::kHedge, steps);
      if (result == PlaceResult::kPlaced) {
        ++shard.hedges_sent;
      } else if (spent_hedge_token) {
        traffic.ReturnHedge();
      } else {
        traffic.ReturnRetry(1);
      }
    }
    shard.next_attempt_at = now + *this->hedge_delay * (1U << shard.late_count);
  }

  // Retries after a failure if the policy allows it and the retry budget
  // permits it.
  void Retry(MonotonicTime now,
             Fleet& fleet,
             ShardProgress& shard,
             AttemptFailure failure,
             Steps& steps) {
    shard.missing_reason = MissingReason::kFailed;
    shard.next_attempt_at = MonotonicTime::max();
    if (!this->policy.retry.Allows(failure, Idempotence::kIdempotent) ||
        shard.HasMaxAttempts()) {
      return;
    }
    // If one server sheds load in an overload, the others do too.
    const bool is_overload =
        failure == AttemptFailure::kShed &&
        this->TrafficOf(fleet).congestion() == Congestion::kOverload;
    if (is_overload) {
      this->BackOff(now, shard);
    } else {
      this->PlaceRetry(now, fleet, shard, steps);
    }
  }

  void PlaceRetry(MonotonicTime now,
                  Fleet& fleet,
                  ShardProgress& shard,
                  Steps& steps) {
    ServiceTraffic& traffic = this->TrafficOf(fleet);
    if (!traffic.TryRetry(1)) {
      if (this->policy.preference == Preference::kCoverage) {
        this->BackOff(now, shard);
      }
      return;
    }
    if (this->Place(now, fleet, shard, AttemptKind::kRetry, steps) !=
        PlaceResult::kNoServer) {
      return;
    }
    traffic.ReturnRetry(1);
    if (this->IsServed(fleet, shard.shard)) {
      this->BackOff(now, shard);
    } else {
      this->needs_restart = true;
    }
  }

  // Schedules the next attempt of a shard after a backoff. Does nothing if that
  // would be after the deadline.
  void BackOff(MonotonicTime now, ShardProgress& shard) {
    const auto delay =
        this->policy.retry.Backoff(shard.failed_attempts, this->random);
    if (delay && now + *delay < this->deadline) {
      shard.is_backing_off = true;
      shard.next_attempt_at = now + *delay;
    }
  }

  // Searches all shards again under another snapshot if more of them can be
  // covered there. Spends a retry token for each shard that is searched twice,
  // but at least one. Returns false if the search was not restarted.
  bool TryRestart(MonotonicTime now, Fleet& fleet, Steps& steps) {
    const SnapshotList list = fleet.Snapshots(this->request.service);
    const SnapshotView* chosen = ChooseSnapshot(*list, this->policy.preference);
    if (this->restarts >= kMaxRestarts || chosen == nullptr ||
        chosen->snapshot == this->snapshot) {
      return false;
    }
    const double reachable_share =
        static_cast<double>(this->covered_shards + this->open_shards) /
        static_cast<double>(this->shards.size());
    if (ServedShare(*chosen).value() <= reachable_share ||
        !this->TrafficOf(fleet).TryRetry(static_cast<double>(
            std::max<std::size_t>(this->covered_shards, 1)))) {
      return false;
    }
    ++this->restarts;
    this->EndAttempts(fleet, steps);
    this->StartSnapshot(now, fleet, *chosen, AttemptKind::kRetry, steps);
    return true;
  }

  void MergeReply(ShardProgress& shard, ShardAttempt& attempt, SubReply reply) {
    CheckInvariant(Invariant::kOwnAnswer,
                   attempt.is_live && attempt.attempt == reply.attempt &&
                       shard.shard == reply.shard,
                   "a reply that belongs to no live attempt was merged");
    CheckInvariant(Invariant::kOneSnapshot, reply.snapshot == this->snapshot,
                   "a reply of another snapshot was merged");
    attempt.is_live = false;
    shard.merged_snapshot = reply.snapshot;
    std::move(reply.matches.begin(), reply.matches.end(),
              std::back_inserter(this->matches));
  }

  // Marks a shard as covered and cancels its other attempts except the trials.
  void MarkCovered(MonotonicTime now,
                   Fleet& fleet,
                   ShardProgress& shard,
                   Steps& steps) {
    ServiceTraffic& traffic = this->TrafficOf(fleet);
    shard.is_covered = true;
    ++this->covered_shards;
    this->may_have_run = true;
    traffic.OnShardLatency(now - shard.first_sent_at);
    for (ShardAttempt& other : shard.attempts()) {
      if (other.is_live && other.kind != AttemptKind::kTrial) {
        // Without a sample for each cancelled attempt, the percentiles would
        // cover fast attempts only.
        if (this->hedge_delay && now - other.sent_at >= *this->hedge_delay) {
          traffic.OnAttemptLatency(now - other.sent_at);
        }
        other.is_live = false;
        steps.emplace_back(CancelAttempt{other.attempt, other.server});
      }
    }
    this->LeaveWaitQueue(fleet, shard);
    this->Close(shard);
  }

  void Close(ShardProgress& shard) {
    if (std::exchange(shard.is_open, false)) {
      --this->open_shards;
    }
    shard.next_attempt_at = MonotonicTime::max();
  }

  void CloseIfNotCoverable(ShardProgress& shard) {
    if (shard.is_open && !shard.CanStillBeCovered()) {
      this->Close(shard);
    }
  }

  void LeaveWaitQueue(Fleet& fleet, ShardProgress& shard) {
    if (std::exchange(shard.waits_for_server, false)) {
      fleet.StopWaiting(this->request.service, this->snapshot, shard.shard,
                        this->waiter_id);
    }
  }

  // Cancels all attempts except the trials, and leaves all wait queues.
  void EndAttempts(Fleet& fleet, Steps& steps) {
    for (ShardProgress& shard : this->shards) {
      for (ShardAttempt& attempt : shard.attempts()) {
        if (attempt.is_live && attempt.kind != AttemptKind::kTrial) {
          this->may_have_run = true;
          steps.emplace_back(CancelAttempt{attempt.attempt, attempt.server});
        }
        attempt.is_live = false;
      }
      this->LeaveWaitQueue(fleet, shard);
    }
  }

  // Sets the timer to the next time at which work is due.
  void SetNextTimer(MonotonicTime now, Steps& steps) {
    if (this->finished) {
      return;
    }
    MonotonicTime next = this->deadline;
    if (this->early_answer_at > now) {
      next = std::min(next, this->early_answer_at);
    }
    for (const ShardProgress& shard : this->shards) {
      next = std::min(next, shard.next_attempt_at);
    }
    if (next != this->timer_at || next <= now) {
      this->timer_at = next;
      steps.emplace_back(SetTimer{next});
    }
  }

  // Finishes the search if no shard is open, or if `early_answer_at` has passed
  // and the minimum coverage is reached. Tries a restart first if a shard has
  // no server left.
  void FinishIfDecided(MonotonicTime now, Fleet& fleet, Steps& steps) {
    if (this->finished) {
      return;
    }
    if (this->open_shards > 0) {
      for (ShardProgress& shard : this->shards) {
        if (shard.is_open && shard.failed_attempts > 0) {
          this->CloseIfNotCoverable(shard);
        }
      }
    }
    if (std::exchange(this->needs_restart, false) &&
        this->TryRestart(now, fleet, steps)) {
      return;
    }
    const bool may_answer_early =
        now >= this->early_answer_at && this->HasMinimumCoverage();
    if (this->open_shards == 0 || may_answer_early) {
      this->Finish(now, fleet, MissingReason::kAbandoned, steps);
    }
  }

  // Ends the search with an answer, or with a refusal if the coverage is too
  // low. `late_reason` is the reason for shards that are still open.
  void Finish(MonotonicTime now,
              Fleet& fleet,
              MissingReason late_reason,
              Steps& steps) {
    this->finished = true;
    ServiceTraffic& traffic = this->TrafficOf(fleet);
    this->EndAttempts(fleet, steps);
    SearchAnswer answer;
    answer.snapshot = this->snapshot;
    bool has_one_snapshot = true;
    for (const ShardProgress& shard : this->shards) {
      if (shard.is_covered) {
        answer.covered.push_back(shard.shard);
        has_one_snapshot =
            has_one_snapshot && shard.merged_snapshot == this->snapshot;
        continue;
      }
      answer.missing.push_back(
          {shard.shard, shard.is_open ? late_reason : shard.missing_reason});
      if (shard.is_open) {
        // Without a sample for each missing shard, the percentiles would cover
        // fast shards only.
        traffic.OnShardLatency(now - shard.first_sent_at);
      }
    }
    CheckInvariant(Invariant::kOneSnapshot, has_one_snapshot,
                   "an answer was merged from two snapshots");
    CheckInvariant(Invariant::kTrueCoverage,
                   answer.covered.size() == this->covered_shards &&
                       answer.covered.size() + answer.missing.size() ==
                           this->shards.size(),
                   "covered and missing shards do not partition the shard set");
    if (!this->HasMinimumCoverage()) {
      steps.emplace_back(FinishSearch{this->CoverageRefusal()});
      return;
    }
    answer.matches = std::move(this->matches);
    std::sort(answer.matches.begin(), answer.matches.end(),
              [](const Match& a, const Match& b) {
                return std::pair(-a.score, a.id) < std::pair(-b.score, b.id);
              });
    steps.emplace_back(FinishSearch{std::move(answer)});
  }

  // The refusal of a search that covered too few shards.
  Refusal CoverageRefusal() const {
    if (!this->may_have_run) {
      return {Execution::kDidNotRun, Reason::kNoBackendServer, "", {}};
    }
    return {this->covered_shards > 0 ? Execution::kRan : Execution::kMayHaveRun,
            Reason::kCoverageTooLow,
            "",
            {}};
  }

  bool HasMinimumCoverage() const {
    return static_cast<double>(this->covered_shards) >=
           this->request.minimum_coverage.value() *
               static_cast<double>(this->shards.size());
  }

  // Returns true if a usable server holds the shard under `snapshot`.
  bool IsServed(Fleet& fleet, ShardId shard) const {
    const SnapshotList list = fleet.Snapshots(this->request.service);
    return std::any_of(list->begin(), list->end(),
                       [this, shard](const SnapshotView& view) {
                         return view.snapshot == this->snapshot &&
                                !view.ServersOf(shard).empty();
                       });
  }

  ServiceTraffic& TrafficOf(Fleet& fleet) const {
    return *fleet.Traffic(this->request.service);
  }

  ShardProgress* FindShard(ShardId id) {
    const auto position =
        std::lower_bound(this->shards.begin(), this->shards.end(), id,
                         [](const ShardProgress& shard, ShardId wanted) {
                           return shard.shard < wanted;
                         });
    return position == this->shards.end() || position->shard != id ? nullptr
                                                                   : &*position;
  }

  ShardProgress* FindShardOf(AttemptId attempt) {
    const auto position =
        std::find_if(this->shards.begin(), this->shards.end(),
                     [attempt](ShardProgress& shard) {
                       return shard.FindLive(attempt) != nullptr;
                     });
    return position == this->shards.end() ? nullptr : &*position;
  }

  SearchRequest request;
  Access& access;
  Policy policy;
  Random& random;
  Ids& ids;
  WaiterId waiter_id;
  MonotonicTime deadline;
  // From this time on the search ends as soon as it has the minimum coverage.
  MonotonicTime early_answer_at = MonotonicTime::max();
  // The time of the last `SetTimer`.
  MonotonicTime timer_at = MonotonicTime::max();
  std::optional<Duration> hedge_delay;
  SnapshotId snapshot;
  // In ascending order of the shard ids.
  std::vector<ShardProgress> shards;
  std::vector<Match> matches;
  // The number of shards with a merged reply.
  std::size_t covered_shards = 0;
  // The number of shards that are neither covered nor given up.
  std::size_t open_shards = 0;
  std::uint32_t restarts = 0;
  // True if a shard has no usable server left under `snapshot`.
  bool needs_restart = false;
  // True if an attempt ran or may have run.
  bool may_have_run = false;
  bool finished = false;
};

}  // namespace marigold

#endif  // SRC_POLICY_SEARCH_H_
