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

using Machine = Forwarding<BackendTable, LeastExpectedDelay, SeededRandom>;

// Shards of three servers each, and one request in virtual time.
class Scene {
 public:
  explicit Scene(std::size_t shards) : table({DataCentreId("here"), {}}) {
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
      directory.Apply(this->now, rows);
      directory.SetShare(Fraction(1));
    });
    this->plan.is_fan_out = shards > 1;
    this->plan.is_idempotent = true;
    this->plan.attempts = 2;
    this->plan.minimum_coverage = 1;
    this->plan.times = {this->now, this->now + milliseconds(100),
                        this->now + milliseconds(500)};
  }

  void Start() {
    this->machine.emplace(this->plan, this->table, LeastExpectedDelay(),
                          this->random);
    this->Take(this->machine->Start(this->now));
  }

  void Answer(std::size_t send) {
    this->Take(this->machine->OnAnswer(this->now, SendId(send), std::nullopt));
  }

  void Fail(std::size_t send, SendFailure failure) {
    this->Take(this->machine->OnFailure(this->now, SendId(send), failure));
  }

  void Wait(Duration time) {
    this->now += time;
    this->Take(this->machine->OnTimer(this->now));
  }

  ForwardPlan plan;
  MonotonicTime now{seconds(100)};
  std::optional<Machine> machine;
  std::size_t sends = 0;
  std::size_t drops = 0;

 private:
  void Take(const Machine::Steps& steps) {
    for (const ForwardStep& step : steps) {
      this->sends += std::holds_alternative<StartSend>(step) ? 1 : 0;
      this->drops += std::holds_alternative<DropSend>(step) ? 1 : 0;
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

// After the first send has failed.
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

struct CoverageRow {
  // Of ten shards.
  std::size_t answered;
  double minimum_coverage;
  Duration waited;
  ForwardState expected;
};

const CoverageRow kCoverageRows[] = {
    {10, 0.89, Duration::zero(), ForwardState::kAnswered},
    // The rest may still come in time.
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

// Guards against a request that is not idempotent and runs twice, and against
// one that is given up although it surely did not run.
ParameterizedTest(std::size_t* index,
                  Forwarding,
                  FailureIsRetriedOnlyIfThatIsSafe) {
  const FailureRow& row = kFailureRows[*index];
  Scene scene(1);
  scene.plan.is_idempotent = row.is_idempotent;
  scene.Start();
  scene.Fail(0, row.failure);
  cr_assert_eq(scene.sends, row.expected_sends, "row %zu: actual %zu sends",
               *index, scene.sends);
  cr_assert_eq(scene.machine->state(), row.expected_state,
               "row %zu: actual state %d", *index,
               static_cast<int>(scene.machine->state()));
}

ParameterizedTestParameters(Forwarding, AnswersWhenCoverageAndTimeSuffice) {
  return RowIndices(kCoverageRows);
}

// Guards against answers below the minimum coverage, and against waiting for
// stragglers beyond the target latency.
ParameterizedTest(std::size_t* index,
                  Forwarding,
                  AnswersWhenCoverageAndTimeSuffice) {
  const CoverageRow& row = kCoverageRows[*index];
  Scene scene(10);
  scene.plan.minimum_coverage = row.minimum_coverage;
  scene.Start();
  for (std::size_t send = 0; send < row.answered; ++send) {
    scene.Answer(send);
  }
  if (row.waited > Duration::zero()) {
    scene.Wait(row.waited);
  }
  cr_assert_eq(scene.machine->state(), row.expected, "row %zu: actual %d",
               *index, static_cast<int>(scene.machine->state()));
}

// Guards against a straggler that sets the latency.
Test(Forwarding, LateSendIsHedgedOnceWithinTheAttempts) {
  Scene scene(1);
  scene.Start();
  scene.Wait(milliseconds(60));
  scene.Wait(milliseconds(60));
  cr_assert_eq(scene.sends, 2U, "expected 2, actual %zu", scene.sends);
  scene.Answer(1);
  cr_assert_eq(scene.machine->state(), ForwardState::kAnswered);
  cr_assert_eq(scene.drops, 1U, "the loser is dropped");
}

// Guards against a request without hedging rights that is sent twice.
Test(Forwarding, UnsafeRequestIsNeverHedged) {
  Scene scene(1);
  scene.plan.is_idempotent = false;
  scene.Start();
  scene.Wait(milliseconds(400));
  cr_assert_eq(scene.sends, 1U, "expected 1, actual %zu", scene.sends);
}

// Guards against work that goes on for a caller that is gone.
Test(Forwarding, AbandonedRequestDropsAllSends) {
  Scene scene(10);
  scene.Start();
  scene.Answer(0);
  scene.machine->Abandon(scene.now);
  cr_assert_neq(scene.machine->state(), ForwardState::kRunning);
  cr_assert_eq(scene.machine->answered_targets(), 1U);
}

// Guards against a refusal after something was sent.
Test(Forwarding, RefusesBeforeAnySendIfTargetsCanNotBeReached) {
  Scene scene(2);
  scene.plan.targets.emplace_back("unknown");
  scene.Start();
  cr_assert_eq(scene.machine->state(), ForwardState::kNotRun);
  cr_assert_eq(scene.sends, 0U, "expected 0, actual %zu", scene.sends);
}

}  // namespace marigold
