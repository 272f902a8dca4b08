#ifndef SRC_POLICY_ACTION_H_
#define SRC_POLICY_ACTION_H_

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "src/core/invariant.h"
#include "src/core/random.h"
#include "src/policy/action_types.h"
#include "src/policy/search.h"
#include "src/policy/snapshot_choice.h"

namespace marigold {

// The state machine of one paid or physical action. It performs no I/O: the
// driver passes events in and carries out the returned steps in order.
//
// The action runs at most once: each attempt needs a claim of its own that the
// ledger granted, and no attempt follows one whose outcome is unknown.
template <FleetAccess Access,
          class ReplicaPolicyType,
          RandomSource Random,
          AttemptIdSource Ids>
class Action {
 public:
  using Steps = std::vector<ActionStep>;

  Action(ActionRequest action_request,
         Access& fleet_access,
         ReplicaPolicyType policy,
         Random& random_source,
         Ids& attempt_ids)
      : request(std::move(action_request)),
        access(fleet_access),
        replica_policy(std::move(policy)),
        random(random_source),
        ids(attempt_ids) {}

  Steps Start(MonotonicTime now) {
    Steps steps;
    this->deadline = now + this->request.deadline;
    if (!this->KnowsService()) {
      this->Refuse(Execution::kDidNotRun, Reason::kUnknownService, steps);
    } else if (!this->HasUntriedServer()) {
      this->Refuse(Execution::kDidNotRun, Reason::kNoBackendServer, steps);
    } else {
      steps.emplace_back(SetTimer{this->deadline});
      this->Claim(steps);
    }
    return steps;
  }

  Steps OnClaim(MonotonicTime now, ClaimToken claim_token, ClaimReport report) {
    Steps steps;
    if (this->state != State::kClaiming || claim_token != this->token) {
      // The answer is late. The claim was already released, for example because
      // the deadline passed.
      return steps;
    }
    switch (report.answer) {
      case ClaimAnswer::kGranted:
        this->PlaceAndSend(now, steps);
        break;
      case ClaimAnswer::kCompleted:
        this->Finish(ActionAnswer{std::move(report.result), true}, steps);
        break;
      case ClaimAnswer::kHeldByOther:
        this->Refuse(Execution::kMayHaveRun, Reason::kInProgress, steps);
        break;
      case ClaimAnswer::kExpired:
        // The ledger no longer has a record of the key, so it is unknown
        // whether the action ran.
        this->Refuse(Execution::kMayHaveRun, Reason::kKeyExpired, steps);
        break;
      case ClaimAnswer::kContentDiffers:
        this->Refuse(Execution::kDidNotRun, Reason::kKeyReused, steps);
        break;
      case ClaimAnswer::kTokenVoid:
        this->Refuse(Execution::kDidNotRun, Reason::kInternal, steps);
        break;
      case ClaimAnswer::kRefused:
        this->Refuse(Execution::kDidNotRun, report.reason, steps);
        break;
      case ClaimAnswer::kOutcomeUnknown:
        steps.emplace_back(ReleaseKey{this->token});
        this->Refuse(Execution::kDidNotRun, report.reason, steps);
        break;
    }
    return steps;
  }

  Steps OnReply(MonotonicTime /*now*/, AttemptId attempt, std::string result) {
    Steps steps;
    if (!this->EndAttemptInFlight(attempt)) {
      return steps;
    }
    steps.emplace_back(RecordKey{this->token, result});
    this->Finish(ActionAnswer{std::move(result), false}, steps);
    return steps;
  }

  Steps OnFailure(MonotonicTime /*now*/,
                  AttemptId attempt,
                  AttemptFailure failure) {
    Steps steps;
    if (!this->EndAttemptInFlight(attempt)) {
      return steps;
    }
    if (SurelyDidNotRun(failure)) {
      this->may_have_run = false;
      steps.emplace_back(ReleaseKey{this->token});
      if (this->state == State::kSent) {
        this->state = State::kReleasing;
        this->RefuseIfNoServerLeft(steps);
      }
      return steps;
    }
    const bool is_timeout = failure == AttemptFailure::kTimeout;
    this->Refuse(
        Execution::kMayHaveRun,
        is_timeout ? Reason::kDeadlineExceeded : Reason::kConnectionLost,
        steps);
    return steps;
  }

  // The driver has carried out a `ReleaseKey`. `was_released` is false if the
  // ledger did not answer.
  Steps OnReleased(MonotonicTime /*now*/,
                   ClaimToken released_token,
                   bool was_released) {
    Steps steps;
    if (this->state != State::kReleasing || released_token != this->token) {
      return steps;
    }
    if (!was_released) {
      this->Refuse(Execution::kDidNotRun, Reason::kRefusedByServer, steps);
      return steps;
    }
    this->RefuseIfNoServerLeft(steps);
    if (this->state == State::kReleasing) {
      this->Claim(steps);
    }
    return steps;
  }

  Steps OnTimer(MonotonicTime now) {
    Steps steps;
    if (this->is_finished()) {
      return steps;
    }
    if (now < this->deadline) {
      if (this->state == State::kWaitingForServer) {
        this->PlaceAndSend(now, steps);
      }
      return steps;
    }
    if (this->state == State::kClaiming ||
        this->state == State::kWaitingForServer) {
      steps.emplace_back(ReleaseKey{this->token});
    }
    this->Refuse(
        this->may_have_run ? Execution::kMayHaveRun : Execution::kDidNotRun,
        Reason::kDeadlineExceeded, steps);
    return steps;
  }

  bool is_finished() const { return this->state == State::kFinished; }

 private:
  enum class State {
    kNew,
    kClaiming,
    // The claim is granted, but all untried servers are at their limits.
    kWaitingForServer,
    kSent,
    kReleasing,
    kFinished,
  };

  // The action is not sent if less than this remains until the deadline,
  // because such attempts often end without a known outcome.
  static constexpr Duration kMinTimeToSend = std::chrono::milliseconds(5);
  // The time between two checks for a server that is below its limit.
  static constexpr Duration kServerPollInterval = std::chrono::milliseconds(10);

  bool KnowsService() {
    bool is_known = false;
    this->access.Access([&](Fleet& fleet) {
      is_known = fleet.KnowsService(this->request.service);
    });
    return is_known;
  }

  // Returns true if a usable server that was not tried holds the shard.
  bool HasUntriedServer() {
    bool has_server = false;
    this->access.Access([&](Fleet& fleet) {
      const SnapshotList list = fleet.Snapshots(this->request.service);
      const SnapshotView* view = ChooseSnapshot(*list, Preference::kCoverage);
      if (view != nullptr) {
        const auto& servers = view->ServersOf(this->request.shard);
        has_server = std::any_of(
            servers.begin(), servers.end(), [this](ServerIndex server) {
              return std::find(this->tried_servers.begin(),
                               this->tried_servers.end(),
                               server) == this->tried_servers.end();
            });
      }
    });
    return has_server;
  }

  // Reserves an attempt at a server that was not tried.
  Placement Place(MonotonicTime now) {
    Placement placement;
    this->access.Access([&](Fleet& fleet) {
      const SnapshotList list = fleet.Snapshots(this->request.service);
      const SnapshotView* view = ChooseSnapshot(*list, Preference::kCoverage);
      if (view != nullptr) {
        placement = fleet.Place(
            now,
            {this->request.service, view->snapshot, this->request.shard,
             this->tried_servers, std::nullopt},
            this->replica_policy, this->random);
      }
    });
    return placement;
  }

  void Claim(Steps& steps) {
    this->state = State::kClaiming;
    this->token = ClaimToken(this->random.Next());
    steps.emplace_back(ClaimKey{this->token});
  }

  void PlaceAndSend(MonotonicTime now, Steps& steps) {
    if (now + kMinTimeToSend > this->deadline) {
      this->ReleaseKeyAndRefuse(Reason::kDeadlineExceeded, steps);
      return;
    }
    const Placement placement = this->Place(now);
    switch (placement.result) {
      case PlaceResult::kPlaced:
        this->SendTo(placement.server, steps);
        break;
      case PlaceResult::kAllAtLimit:
        this->state = State::kWaitingForServer;
        steps.emplace_back(
            SetTimer{std::min(now + kServerPollInterval, this->deadline)});
        break;
      case PlaceResult::kNoServer:
        this->ReleaseKeyAndRefuse(Reason::kNoBackendServer, steps);
        break;
    }
  }

  void SendTo(ServerIndex server, Steps& steps) {
    CheckInvariant(Invariant::kAtMostOnce,
                   this->sent_token != this->token && !this->may_have_run,
                   "a claim was used for a second send");
    if (std::exchange(this->state, State::kSent) == State::kWaitingForServer) {
      steps.emplace_back(SetTimer{this->deadline});
    }
    this->may_have_run = true;
    this->sent_token = this->token;
    this->tried_servers.push_back(server);
    this->attempt_in_flight = this->ids.NextAttempt();
    steps.emplace_back(SendAction{*this->attempt_in_flight, this->token, server,
                                  this->deadline});
  }

  void ReleaseKeyAndRefuse(Reason reason, Steps& steps) {
    steps.emplace_back(ReleaseKey{this->token});
    this->Refuse(Execution::kDidNotRun, reason, steps);
  }

  // Returns false if `attempt` is not the attempt in flight.
  bool EndAttemptInFlight(AttemptId attempt) {
    if (this->attempt_in_flight != attempt) {
      return false;
    }
    this->attempt_in_flight.reset();
    return true;
  }

  // Refuses the action if no untried server is left. The last attempt must be
  // known not to have run.
  void RefuseIfNoServerLeft(Steps& steps) {
    if (!this->HasUntriedServer()) {
      this->Refuse(Execution::kDidNotRun, Reason::kRefusedByServer, steps);
    }
  }

  void Refuse(Execution execution, Reason reason, Steps& steps) {
    CheckInvariant(Invariant::kDidNotRunIsTrue,
                   this->is_finished() || execution != Execution::kDidNotRun ||
                       !this->may_have_run,
                   "an action that may have run is refused as did-not-run");
    this->Finish(Refusal{execution, reason, "", {}}, steps);
  }

  void Finish(ActionOutcome outcome, Steps& steps) {
    if (this->is_finished()) {
      return;
    }
    this->state = State::kFinished;
    steps.emplace_back(FinishAction{std::move(outcome)});
  }

  ActionRequest request;
  Access& access;
  ReplicaPolicyType replica_policy;
  Random& random;
  Ids& ids;
  MonotonicTime deadline;
  State state = State::kNew;
  // The token of the last claim.
  ClaimToken token;
  // The token of the last claim under which the action was sent.
  std::optional<ClaimToken> sent_token;
  // Stays set when the caller is answered at its deadline, so that a late
  // result is still recorded.
  std::optional<AttemptId> attempt_in_flight;
  // The servers that already had an attempt. They get no other one.
  std::vector<ServerIndex> tried_servers;
  // True if an attempt was sent, unless it is known not to have run.
  bool may_have_run = false;
};

}  // namespace marigold

#endif  // SRC_POLICY_ACTION_H_
