#include <criterion/criterion.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "src/core/random.h"
#include "src/policy/forwarding.h"
#include "src/tables/backend_table.h"
#include "tests/row_indices.h"

namespace marigold {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

using TestForwarding =
    Forwarding<BackendTable, LeastExpectedDelay, SeededRandom>;

// One forwarded request to shards of three servers each, with a clock that the
// test sets.
class ForwardingFixture {
 public:
  explicit ForwardingFixture(std::size_t shards)
      : table({DataCentreId("here"), {}}) {
    std::vector<ListedServer> rows;
    for (std::size_t shard = 0; shard < shards; ++shard) {
      for (int replica = 0; replica < 3; ++replica) {
        ListedServer row;
        row.server = BackendServerId(std::to_string(shard) + "-" +
                                     std::to_string(replica));
        row.service = ServiceId(std::to_string(shard));
        row.data_centre = DataCentreId("here");
        row.slots = 3;
        rows.push_back(row);
      }
      this->plan.targets.emplace_back(std::to_string(shard));
    }
    this->table.Access([&](BackendDirectory& directory) {
      directory.ApplyListing(this->now, rows);
      directory.SetRetryBudgetShare(Fraction(1));
    });
    this->plan.is_fan_out = shards > 1;
    this->plan.is_idempotent = true;
    this->plan.max_attempts = 2;
    this->plan.minimum_coverage = 1;
    this->plan.deadlines = {this->now, this->now + milliseconds(100),
                            this->now + milliseconds(500)};
  }

  void Start() {
    this->forwarding.emplace(this->plan, this->table, LeastExpectedDelay(),
                             this->random);
    this->CountSteps(this->forwarding->Start(this->now));
  }

  void Answer(std::size_t send) {
    this->CountSteps(
        this->forwarding->OnAnswer(this->now, SendId(send), std::nullopt));
  }

  void AnswerWithQueue(std::size_t send, std::uint32_t waiting) {
    this->CountSteps(this->forwarding->OnAnswer(this->now, SendId(send),
                                                ReportedLoad{4, waiting, 4}));
  }

  void Fail(std::size_t send, SendFailure failure) {
    this->CountSteps(
        this->forwarding->OnFailure(this->now, SendId(send), failure));
  }

  // The server of the send rejects the request and asks for a pause.
  void RejectWithPause(std::size_t send, Duration pause) {
    ServerNotice notice;
    notice.pause = pause;
    const ServerIndex server = this->servers[send];
    this->table.Access([&](BackendDirectory& directory) {
      directory.ApplyNotice(this->now, server, notice);
    });
    this->Fail(send, SendFailure::kNotExecuted);
  }

  Duration CurrentRetryDelay() {
    return this->table.Access([&](const BackendDirectory& directory) {
      return RetryDelay(directory, this->now, this->plan);
    });
  }

  void Wait(Duration time) {
    this->now += time;
    this->CountSteps(this->forwarding->OnTimer(this->now));
  }

  ForwardPlan plan;
  MonotonicTime now{seconds(100)};
  std::optional<TestForwarding> forwarding;
  std::size_t send_count = 0;
  // The servers of the sends.
  std::vector<ServerIndex> servers;
  std::size_t cancel_count = 0;

 private:
  void CountSteps(const TestForwarding::Steps& steps) {
    for (const ForwardStep& step : steps) {
      if (const auto* start = std::get_if<StartSend>(&step)) {
        ++this->send_count;
        this->servers.push_back(start->server);
      }
      this->cancel_count += std::holds_alternative<CancelSend>(step) ? 1 : 0;
    }
  }

  BackendTable table;
  SeededRandom random{1};
};

struct FailureRow {
  SendFailure failure;
  bool is_idempotent;
  std::size_t expected_sends;
  ForwardState expected_state;
};

// The expected sends and state after the first send has failed with `failure`.
const FailureRow kFailureRows[] = {
    {SendFailure::kNotConnected, false, 2, ForwardState::kRunning},
    {SendFailure::kUnreachable, false, 2, ForwardState::kRunning},
    {SendFailure::kNotExecuted, false, 2, ForwardState::kRunning},
    {SendFailure::kOtherServer, false, 2, ForwardState::kRunning},
    {SendFailure::kConnectionLost, false, 1, ForwardState::kFailed},
    {SendFailure::kBadAnswer, false, 1, ForwardState::kFailed},
    {SendFailure::kServerError, false, 1, ForwardState::kFailed},
    {SendFailure::kConnectionLost, true, 2, ForwardState::kRunning},
    {SendFailure::kServerError, true, 2, ForwardState::kRunning},
};

struct CongestionRow {
  const char* guards_against;
  void (*events)(ForwardingFixture&);
  CongestionCount expected;
};

// What a request to two shards reports about their servers.
const CongestionRow kCongestionRows[] = {
    {"busy servers without a queue that count as congestion",
     [](ForwardingFixture& fixture) {
       fixture.AnswerWithQueue(0, 0);
       fixture.AnswerWithQueue(1, 0);
     },
     {0, 0}},
    {"a queue that is overlooked",
     [](ForwardingFixture& fixture) { fixture.AnswerWithQueue(1, 3); },
     {1, 0}},
    {"one full server that counts although another took the request",
     [](ForwardingFixture& fixture) {
       fixture.Fail(0, SendFailure::kNotExecuted);
       fixture.Answer(2);
     },
     {0, 0}},
    {"several full servers of a shard that are overlooked",
     [](ForwardingFixture& fixture) {
       fixture.Fail(0, SendFailure::kNotExecuted);
       fixture.Fail(2, SendFailure::kNotExecuted);
       fixture.Answer(3);
     },
     {0, 1}},
    {"a broken connection that counts as a full server",
     [](ForwardingFixture& fixture) {
       fixture.Fail(0, SendFailure::kConnectionLost);
       fixture.Fail(2, SendFailure::kConnectionLost);
     },
     {0, 0}},
};

struct CoverageRow {
  // The number of shards that have answered, out of ten.
  std::size_t answered_shards;
  double minimum_coverage;
  Duration wait_time;
  ForwardState expected;
};

const CoverageRow kCoverageRows[] = {
    {10, 0.89, Duration::zero(), ForwardState::kAnswered},
    // The last shard may still answer in time.
    {9, 0.89, milliseconds(90), ForwardState::kRunning},
    {9, 0.89, milliseconds(100), ForwardState::kAnswered},
    {8, 0.89, milliseconds(100), ForwardState::kRunning},
    {8, 0.75, milliseconds(100), ForwardState::kAnswered},
    {8, 0.89, milliseconds(500), ForwardState::kTimedOut},
};

}  // namespace

ParameterizedTestParameters(Forwarding, FailureIsRetriedOnlyIfThatIsSafe) {
  return RowIndices(kFailureRows);
}

// Guards against a request that is not idempotent and runs twice because it is
// resent after a failure that leaves open whether it ran. Guards also against a
// request that fails although it is certain that it did not run.
ParameterizedTest(std::size_t* index,
                  Forwarding,
                  FailureIsRetriedOnlyIfThatIsSafe) {
  const FailureRow& row = kFailureRows[*index];
  ForwardingFixture fixture(1);
  fixture.plan.is_idempotent = row.is_idempotent;
  fixture.Start();
  fixture.Fail(0, row.failure);
  cr_assert_eq(fixture.send_count, row.expected_sends,
               "row %zu: actual %zu sends", *index, fixture.send_count);
  cr_assert_eq(fixture.forwarding->state(), row.expected_state,
               "row %zu: actual state %d", *index,
               static_cast<int>(fixture.forwarding->state()));
}

ParameterizedTestParameters(Forwarding, AnswersWhenCoverageAndTimeSuffice) {
  return RowIndices(kCoverageRows);
}

// Guards against an answer below the minimum coverage, and against a caller
// that waits for a slow shard after the target latency although the coverage is
// reached.
ParameterizedTest(std::size_t* index,
                  Forwarding,
                  AnswersWhenCoverageAndTimeSuffice) {
  const CoverageRow& row = kCoverageRows[*index];
  ForwardingFixture fixture(10);
  fixture.plan.minimum_coverage = row.minimum_coverage;
  fixture.Start();
  for (std::size_t send = 0; send < row.answered_shards; ++send) {
    fixture.Answer(send);
  }
  if (row.wait_time > Duration::zero()) {
    fixture.Wait(row.wait_time);
  }
  cr_assert_eq(fixture.forwarding->state(), row.expected, "row %zu: actual %d",
               *index, static_cast<int>(fixture.forwarding->state()));
}

// Guards against a slow server that determines the latency because no hedged
// request is sent, and against more sends than the route allows.
Test(Forwarding, LateSendIsHedgedOnceWithinMaxAttempts) {
  ForwardingFixture fixture(1);
  fixture.Start();
  fixture.Wait(milliseconds(60));
  fixture.Wait(milliseconds(60));
  cr_assert_eq(fixture.send_count, 2U, "expected 2, actual %zu",
               fixture.send_count);
  fixture.Answer(1);
  cr_assert_eq(fixture.forwarding->state(), ForwardState::kAnswered);
  cr_assert_eq(fixture.cancel_count, 1U,
               "expected the slower send to be cancelled");
}

// Guards against a request that is not idempotent and is sent to a second
// server while the first one still works on it.
Test(Forwarding, NonIdempotentRequestIsNeverHedged) {
  ForwardingFixture fixture(1);
  fixture.plan.is_idempotent = false;
  fixture.Start();
  fixture.Wait(milliseconds(400));
  cr_assert_eq(fixture.send_count, 1U, "expected 1, actual %zu",
               fixture.send_count);
}

// Guards against a request that keeps running after its caller has closed the
// connection, so that backend servers do work that nobody needs.
Test(Forwarding, AbandonedRequestIsNoLongerRunning) {
  ForwardingFixture fixture(10);
  fixture.Start();
  fixture.Answer(0);
  fixture.forwarding->Abandon(fixture.now);
  cr_assert_neq(fixture.forwarding->state(), ForwardState::kRunning);
  cr_assert_eq(fixture.forwarding->answered_targets(), 1U);
}

namespace {

struct PauseRow {
  const char* scenario;
  Duration pause;
  ForwardState expected_state;
  // The delay that a refused caller is told.
  Duration expected_min_delay;
  Duration expected_max_delay;
};

const PauseRow kPauseRows[] = {
    {"no pause", Duration::zero(), ForwardState::kRunning, milliseconds(100),
     milliseconds(100)},
    {"a pause that is soon over", milliseconds(40), ForwardState::kRunning,
     milliseconds(100), milliseconds(100)},
    {"a longer pause", milliseconds(400), ForwardState::kNotRun,
     milliseconds(400), milliseconds(500)},
    {"a pause that is longer than the request", seconds(30),
     ForwardState::kNotRun, seconds(1), seconds(1)},
};

}  // namespace

ParameterizedTestParameters(Forwarding, PauseOfAllServersFailsAtOnce) {
  return RowIndices(kPauseRows);
}

// Guards against a request that waits until its deadline although all servers
// have asked for a longer pause, and against callers that return too early.
ParameterizedTest(std::size_t* index,
                  Forwarding,
                  PauseOfAllServersFailsAtOnce) {
  const PauseRow& row = kPauseRows[*index];
  ForwardingFixture fixture(1);
  fixture.plan.is_idempotent = false;
  fixture.Start();
  for (std::size_t send = 0; send < 3; ++send) {
    fixture.RejectWithPause(send, row.pause);
  }
  cr_assert_eq(fixture.forwarding->state(), row.expected_state,
               "%s: expected %s, actual %s", row.scenario,
               std::string(ToString(row.expected_state)).c_str(),
               std::string(ToString(fixture.forwarding->state())).c_str());
  const Duration delay = fixture.CurrentRetryDelay();
  cr_assert(delay >= row.expected_min_delay && delay <= row.expected_max_delay,
            "%s: expected %g to %g ms, actual %g ms", row.scenario,
            ToMilliseconds(row.expected_min_delay),
            ToMilliseconds(row.expected_max_delay), ToMilliseconds(delay));
}

namespace {

struct EarlyEndRow {
  const char* scenario;
  bool is_idempotent;
  double minimum_coverage;
  std::size_t answered;
  ForwardState expected_state;
};

// Requests to two shards, of which the first `answered` shards answer.
const EarlyEndRow kEarlyEndRows[] = {
    {"no answer to an action", false, 1, 0, ForwardState::kTimedOut},
    {"no answer to a query", true, 1, 0, ForwardState::kTimedOut},
    {"enough answers", true, 0.5, 1, ForwardState::kAnswered},
    {"too few answers", true, 1, 1, ForwardState::kTimedOut},
};

}  // namespace

ParameterizedTestParameters(Forwarding, EndsWhenTheProcessStops) {
  return RowIndices(kEarlyEndRows);
}

// Guards against a request in flight whose connection ends without an answer
// because the process stops before the request's own deadline.
ParameterizedTest(std::size_t* index, Forwarding, EndsWhenTheProcessStops) {
  const EarlyEndRow& row = kEarlyEndRows[*index];
  ForwardingFixture fixture(2);
  fixture.plan.is_idempotent = row.is_idempotent;
  fixture.plan.minimum_coverage = row.minimum_coverage;
  fixture.Start();
  for (std::size_t send = 0; send < row.answered; ++send) {
    fixture.Answer(send);
  }
  const MonotonicTime end = fixture.now + milliseconds(50);
  fixture.forwarding->EndBy(fixture.now, end);
  cr_assert_eq(fixture.forwarding->state(), ForwardState::kRunning, "%s",
               row.scenario);
  fixture.Wait(end - fixture.now);
  cr_assert_eq(fixture.forwarding->state(), row.expected_state,
               "%s: expected %s, actual %s", row.scenario,
               std::string(ToString(row.expected_state)).c_str(),
               std::string(ToString(fixture.forwarding->state())).c_str());
}

namespace {

struct LateStartRow {
  const char* scenario;
  Duration target_latency;
  Duration time_limit;
  Duration time_left;
  bool expected;
};

const LateStartRow kLateStartRows[] = {
    {"the process does not stop", milliseconds(500), seconds(3),
     MonotonicTime::max() - MonotonicTime(seconds(100)), false},
    {"more than the target latency is left", milliseconds(500), seconds(3),
     milliseconds(500), false},
    {"less than the target latency is left", milliseconds(500), seconds(3),
     milliseconds(499), true},
    {"no target latency and less than the time limit is left",
     {},
     seconds(3),
     milliseconds(2999),
     true},
    {"the process should have stopped", milliseconds(500), seconds(3),
     milliseconds(-1), true},
};

}  // namespace

ParameterizedTestParameters(Forwarding, RequestThatArrivesTooLateIsRefused) {
  return RowIndices(kLateStartRows);
}

// Guards against a request that is sent to a server shortly before the process
// exits, so that its answer never reaches the caller.
ParameterizedTest(std::size_t* index,
                  Forwarding,
                  RequestThatArrivesTooLateIsRefused) {
  const LateStartRow& row = kLateStartRows[*index];
  Route route;
  route.target_latency = row.target_latency;
  route.time_limit = row.time_limit;
  const MonotonicTime now(seconds(100));
  const bool actual = IsTooLateToStart(route, now, now + row.time_left);
  cr_assert_eq(actual, row.expected, "%s: expected %d, actual %d", row.scenario,
               row.expected, actual);
}

// Guards against a request that is sent to the shards that have servers and is
// then reported as not run because another shard has none.
Test(Forwarding, RefusesBeforeAnySendIfCoverageIsUnreachable) {
  ForwardingFixture fixture(2);
  fixture.plan.targets.emplace_back("unknown");
  fixture.Start();
  cr_assert_eq(fixture.forwarding->state(), ForwardState::kNotRun);
  cr_assert_eq(fixture.send_count, 0U, "expected 0, actual %zu",
               fixture.send_count);
}

ParameterizedTestParameters(Forwarding, ReportsCongestion) {
  return RowIndices(kCongestionRows);
}

ParameterizedTest(std::size_t* index, Forwarding, ReportsCongestion) {
  const CongestionRow& row = kCongestionRows[*index];
  ForwardingFixture fixture(2);
  fixture.Start();
  row.events(fixture);
  const CongestionCount actual = fixture.forwarding->congestion();
  cr_assert(actual == row.expected,
            "guards against %s: expected %u/%u, actual %u/%u",
            row.guards_against, row.expected.queueing, row.expected.overloaded,
            actual.queueing, actual.overloaded);
}

}  // namespace marigold
