#include "src/policy/action.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <fmt/format.h>

#include <map>
#include <sstream>
#include <string>
#include <variant>

#include "src/core/invariant.h"
#include "tests/row_indices.h"

namespace marigold {

namespace {

// One sequence of events of an action. Events are separated by commas: `at MS`,
// `start`, a claim answer with its token T (`granted T`, `held T`, `completed
// T`, `expired T`, `differs T`, `void T`, `refused T`, `lost T`), `reply A` and
// `fail A FAILURE` for attempt A, `released T`, `unreleased T`, `timer`, `fill`
// (both servers reach their limits) and `free` (both are below their limits
// again). Tokens and attempts count from 1. The deadline is 100 ms. There are
// two servers.
struct ActionRow {
  const char* name;
  // The failure that the row guards against.
  const char* guarded_failure;
  const char* events;
  // The steps that the last event returns.
  const char* steps;
};

const ActionRow kActionRows[] = {
    {"claim comes first", "an action sent without a claim", "start",
     "timer 100, claim 1"},
    {"a granted claim permits the send",
     "an action that is never sent although its claim was granted",
     "start, granted 1", "send 1 to 1 under 1"},
    {"a result is recorded and returned",
     "a resend that runs the action again because no result was recorded",
     "start, granted 1, reply 1", "record 1 r, ran r"},
    {"a failure that rules out a run releases the claim",
     "a key that stays claimed although its action did not run",
     "start, granted 1, fail 1 shedding", "release 1"},
    {"another server is tried under a new claim", "two sends under one claim",
     "start, granted 1, fail 1 shedding, released 1", "claim 2"},
    {"the second send goes to a server that was not tried",
     "an attempt wasted on a server that already refused the action",
     "start, granted 1, fail 1 not_sent, released 1, granted 2",
     "send 2 to 2 under 2"},
    {"the caller is refused when every server refused",
     "a caller that waits until the deadline although no server is left",
     "start, granted 1, fail 1 shedding, released 1, granted 2, fail 2 "
     "draining",
     "release 2, did_not_run refused_by_server"},
    {"without a confirmed release there is no second claim",
     "a second claim that is refused because the first one is still open",
     "start, granted 1, fail 1 shedding, unreleased 1",
     "did_not_run refused_by_server"},
    {"a lost connection may have run the action",
     "a did-not-run answer for an action of which bytes were sent",
     "start, granted 1, fail 1 connection_lost",
     "may_have_run connection_lost"},
    {"a bad reply may have run the action",
     "a did-not-run answer although a server may have run the action",
     "start, granted 1, fail 1 bad_reply", "may_have_run connection_lost"},
    {"nothing is sent after an unknown outcome", "an action that runs twice",
     "start, granted 1, fail 1 connection_lost, granted 2", ""},
    {"a resend of a completed action gets its result",
     "an action that runs twice", "start, completed 1", "repeated r"},
    {"a resend of a running action is refused as in progress",
     "an action that runs twice", "start, held 1", "may_have_run in_progress"},
    {"an expired key is refused as may-have-run",
     "a did-not-run answer for a key that the ledger no longer records",
     "start, expired 1", "may_have_run key_expired"},
    {"a key with other content is refused",
     "the result of one action returned for another", "start, differs 1",
     "did_not_run key_reused"},
    {"a void token sends nothing", "a send after its claim was released",
     "start, void 1", "did_not_run internal"},
    {"a refused claim sends nothing", "an action that runs without a quorum",
     "start, refused 1", "did_not_run no_quorum"},
    {"a lost claim answer releases the token",
     "a key that stays blocked by an unused claim", "start, lost 1",
     "release 1, did_not_run no_quorum"},
    {"a late grant after a lost answer sends nothing",
     "a send under a token that was released", "start, lost 1, granted 1", ""},
    {"the deadline during the claim releases the token",
     "a key that stays blocked by an unused claim", "start, at 100, timer",
     "release 1, did_not_run deadline_exceeded"},
    {"a grant after the deadline sends nothing",
     "an action that runs after its caller was refused",
     "start, at 100, timer, granted 1", ""},
    {"a grant shortly before the deadline sends nothing",
     "an action that starts too late to have a known outcome",
     "start, at 97, granted 1", "release 1, did_not_run deadline_exceeded"},
    {"the deadline during the send leaves the outcome open",
     "a did-not-run answer for an action in flight",
     "start, granted 1, at 100, timer", "may_have_run deadline_exceeded"},
    {"a result after the deadline is still recorded",
     "a resend that does not get a result that arrived late",
     "start, granted 1, at 100, timer, reply 1", "record 1 r"},
    {"a refusal after the deadline still releases the claim",
     "a key that stays blocked although its action did not run",
     "start, granted 1, at 100, timer, fail 1 shedding", "release 1"},
    {"a lost connection after the deadline changes nothing",
     "a claim released although the action may have run",
     "start, granted 1, at 100, timer, fail 1 connection_lost", ""},
    {"the deadline during a release is did-not-run",
     "a may-have-run answer for an action that did not run",
     "start, granted 1, fail 1 shedding, at 100, timer",
     "did_not_run deadline_exceeded"},
    {"a release after the deadline leads to no claim",
     "an action that runs after its caller was refused",
     "start, granted 1, fail 1 shedding, at 100, timer, released 1", ""},
    {"a granted claim waits for a server below its limit",
     "an action refused because of a short burst", "start, fill, granted 1",
     "timer 10"},
    {"the action is sent when a server is below its limit",
     "an action that is not sent although a server is free",
     "start, fill, granted 1, free, at 10, timer",
     "timer 100, send 1 to 1 under 1"},
    {"the claim is released if no server is free until the deadline",
     "a key that stays blocked although its action was not sent",
     "start, fill, granted 1, at 100, timer",
     "release 1, did_not_run deadline_exceeded"},
    {"an early timer does nothing",
     "a deadline-exceeded answer before the deadline",
     "start, granted 1, at 99, timer", ""},
    {"a reply to another attempt is dropped",
     "a caller that gets the result of another attempt",
     "start, granted 1, reply 7", ""},
};

// A fleet of two serving servers that accept one attempt each.
struct TwoServers {
  TwoServers() {
    std::vector<ServerRecord> records(2);
    records[0].server = BackendServerId("one");
    records[1].server = BackendServerId("two");
    this->fleet.UpdateRecords({}, records);
    StatusReport status;
    status.snapshots = {{SnapshotId(1), {ShardId(0)}, {ShardId(0)}}};
    for (const ServerIndex server : this->fleet.AllServers()) {
      this->fleet.UpdateStatus({}, server, status);
      this->fleet.UpdateConnectionPart(server, 1);
    }
  }

  // Puts an attempt in flight at both servers, or ends it.
  void FillServers() {
    for (const ServerIndex server : this->fleet.AllServers()) {
      this->fleet.OnDispatch({}, server);
    }
  }
  void FreeServers() {
    for (const ServerIndex server : this->fleet.AllServers()) {
      this->fleet.OnCancel({}, server);
    }
  }

  Fleet fleet;
};

// Chooses the first candidate that is below its limit.
struct FirstReplica {
  static constexpr bool kSendsTrials = false;

  template <RandomSource Random>
  std::optional<ServerIndex> Choose(CandidateViews candidates, Random&) const {
    for (const ServerView& view : candidates) {
      if (view.in_flight < view.limit) {
        return view.index;
      }
    }
    return std::nullopt;
  }
};

// Returns 1, 2, 3 and so on, so that the tokens have known values.
struct CountingRandom {
  std::uint64_t Next() { return ++this->count; }
  std::uint64_t NextBelow(std::uint64_t) { return 0; }
  double NextDouble() { return 0; }

  std::uint64_t count = 0;
};

struct CountingIds {
  AttemptId NextAttempt() { return AttemptId(++this->count); }

  std::uint64_t count = 0;
};

std::string ToText(const ActionOutcome& outcome) {
  if (const auto* answer = std::get_if<ActionAnswer>(&outcome)) {
    return (answer->is_repeat ? "repeated " : "ran ") + answer->result;
  }
  const Refusal& refusal = std::get<Refusal>(outcome);
  return fmt::format("{} {}", ToString(refusal.execution),
                     ToString(refusal.reason));
}

MonotonicTime AtMilliseconds(std::uint64_t milliseconds) {
  return MonotonicTime(std::chrono::milliseconds(milliseconds));
}

std::string ToText(const ActionStep& step) {
  struct Printer {
    std::string operator()(const ClaimKey& s) const {
      return fmt::format("claim {}", s.token.value());
    }
    std::string operator()(const SendAction& s) const {
      return fmt::format("send {} to {} under {}", s.attempt.value(),
                         s.server.value(), s.token.value());
    }
    std::string operator()(const ReleaseKey& s) const {
      return fmt::format("release {}", s.token.value());
    }
    std::string operator()(const RecordKey& s) const {
      return fmt::format("record {} {}", s.token.value(), s.result);
    }
    std::string operator()(const SetTimer& s) const {
      return fmt::format("timer {}", ToMilliseconds(s.at.time_since_epoch()));
    }
    std::string operator()(const FinishAction& s) const {
      return ToText(s.outcome);
    }
  };
  return std::visit(Printer(), step);
}

AttemptFailure FailureNamed(const std::string& name) {
  for (const AttemptFailure failure :
       {AttemptFailure::kShed, AttemptFailure::kDraining,
        AttemptFailure::kNotSent, AttemptFailure::kConnectionLost,
        AttemptFailure::kBadReply}) {
    if (ToString(failure) == name) {
      return failure;
    }
  }
  return AttemptFailure::kTimeout;
}

// Passes events to an action and keeps the steps that the last one returned.
class Script {
 public:
  void Run(const std::string& events) {
    std::istringstream stream(events);
    std::string event;
    while (std::getline(stream, event, ',')) {
      std::istringstream words(event);
      std::string name;
      words >> name;
      this->steps = this->Apply(name, words);
    }
  }

  std::string Steps() const {
    std::string text;
    for (const ActionStep& step : this->steps) {
      text += (text.empty() ? "" : ", ") + ToText(step);
    }
    return text;
  }

 private:
  std::vector<ActionStep> Apply(const std::string& name,
                                std::istringstream& words) {
    static const std::map<std::string, ClaimAnswer> kAnswers = {
        {"granted", ClaimAnswer::kGranted},
        {"held", ClaimAnswer::kHeldByOther},
        {"completed", ClaimAnswer::kCompleted},
        {"expired", ClaimAnswer::kExpired},
        {"differs", ClaimAnswer::kContentDiffers},
        {"void", ClaimAnswer::kTokenVoid},
        {"refused", ClaimAnswer::kRefused},
        {"lost", ClaimAnswer::kOutcomeUnknown},
    };
    std::uint64_t number = 0;
    std::string word;
    words >> number >> word;
    if (const auto answer = kAnswers.find(name); answer != kAnswers.end()) {
      return this->action.OnClaim(this->now, ClaimToken(number),
                                  {answer->second, "r", Reason::kNoQuorum});
    }
    if (name == "at") {
      this->now = AtMilliseconds(number);
      return {};
    }
    if (name == "fill" || name == "free") {
      name == "fill" ? this->servers.FillServers()
                     : this->servers.FreeServers();
      return {};
    }
    if (name == "start") {
      return this->action.Start(this->now);
    }
    if (name == "reply") {
      return this->action.OnReply(this->now, AttemptId(number), "r");
    }
    if (name == "fail") {
      return this->action.OnFailure(this->now, AttemptId(number),
                                    FailureNamed(word));
    }
    if (name == "released" || name == "unreleased") {
      return this->action.OnReleased(this->now, ClaimToken(number),
                                     name == "released");
    }
    return this->action.OnTimer(this->now);
  }

  static ActionRequest MakeRequest() {
    ActionRequest request;
    request.deadline = std::chrono::milliseconds(100);
    return request;
  }

  TwoServers servers;
  CountingRandom random;
  CountingIds ids;
  MonotonicTime now;
  std::vector<ActionStep> steps;
  Action<Fleet, FirstReplica, CountingRandom, CountingIds> action{
      MakeRequest(), servers.fleet, FirstReplica(), random, ids};
};

}  // namespace

ParameterizedTestParameters(Action, StepsFollowFromEvents) {
  return RowIndices(kActionRows);
}

ParameterizedTest(std::size_t* index, Action, StepsFollowFromEvents) {
  SetViolationReaction(ViolationReaction::kAbort);
  const ActionRow& row = kActionRows[*index];
  Script script;
  script.Run(row.events);
  const std::string actual = script.Steps();
  cr_assert_eq(actual, std::string(row.steps),
               "%s (guards against %s): expected \"%s\", actual \"%s\"",
               row.name, row.guarded_failure, row.steps, actual.c_str());
}

}  // namespace marigold
