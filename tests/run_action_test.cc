#include "src/commands/run_action.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <fmt/format.h>

#include <deque>
#include <string>
#include <vector>

#include "src/commands/ledger_client.h"
#include "src/core/invariant.h"
#include "tests/row_indices.h"

namespace marigold {

namespace {

struct RunRow {
  const char* name;
  const char* guards_against;
  // The answers of the ledger in order: g(ranted), y(es), n(o quorum), l(ost).
  const char* ledger;
  // The answers of the backend servers in order: r(eply), s(hed), c(onnection
  // lost).
  const char* servers;
  // The commands to the ledger and the sends in order, then the answer to the
  // caller.
  const char* expected;
};

const RunRow kRunRows[] = {
    {"the result is recorded", "a resent request that runs the action again",
     "gy", "r", "claim send record ran"},
    {"a failed record is resubmitted and the caller still gets the result",
     "resends that never get the result", "gnny", "r",
     "claim send record record record ran"},
    {"resubmission of a record ends at the timeout",
     "an action that is never finished", "gnnnnnnn", "r",
     "claim send record record record ran"},
    {"after a refused send the key is released and claimed again",
     "two sends under one claim", "gygy", "sr",
     "claim send release claim send record ran"},
    {"a failed release is resubmitted before the next claim",
     "a second claim that is refused because of the first one", "gnygy", "sr",
     "claim send release release claim send record ran"},
    {"a send whose connection is lost is not repeated",
     "an action that runs twice", "g", "c", "claim send may_have_run"},
    {"a claim whose answer is lost is released and not used",
     "a send without a known claim", "ly", "", "claim release did_not_run"},
};

struct CallRecorder {
  void Add(const std::string& entry) {
    this->text += (this->text.empty() ? "" : " ") + entry;
  }

  std::string text;
};

struct FakeClock {
  MonotonicTime Now() const { return this->now; }
  WallTime WallNow() const { return WallTime(); }

  MonotonicTime now{std::chrono::seconds(10)};
};

struct FakeLedger {
  void Submit(const ControlCommand& command,
              Duration,
              const LedgerClient::OnOutcome& on_outcome) {
    static constexpr const char* kNames[] = {"put", "claim", "release",
                                             "record"};
    this->calls.Add(kNames[command.index()]);
    const char answer = *this->remaining_answers++;
    if (answer == 'n' || answer == 'l') {
      on_outcome(Refusal{
          answer == 'n' ? Execution::kDidNotRun : Execution::kMayHaveRun,
          Reason::kNoQuorum,
          "",
          {}});
    } else if (std::holds_alternative<ClaimAction>(command)) {
      on_outcome(ControlOutcome(ClaimOutcome{ClaimResult::kGranted, ""}));
    } else if (std::holds_alternative<ReleaseClaim>(command)) {
      on_outcome(ControlOutcome(ReleaseOutcome{true}));
    } else {
      on_outcome(ControlOutcome(RecordOutcomeResponse{true}));
    }
  }

  CallRecorder& calls;
  const char* remaining_answers;
};

struct FakeTransport {
  void SendAction(ServerIndex,
                  const BackendAction& action,
                  MonotonicTime,
                  const std::function<void(ActionAttemptOutcome)>& on_outcome) {
    this->calls.Add("send");
    const char answer = *this->remaining_answers++;
    if (answer == 'r') {
      on_outcome(BackendActionReply{action.attempt, "r", {}});
    } else {
      on_outcome(answer == 's' ? AttemptFailure::kShed
                               : AttemptFailure::kConnectionLost);
    }
  }

  int After(Duration, const std::function<void()>&) { return 0; }

  void PostAfter(Duration, std::function<void()> task) {
    this->tasks.push_back(std::move(task));
  }

  CallRecorder& calls;
  const char* remaining_answers;
  std::deque<std::function<void()>> tasks;
};

void AddServers(ServerTable& table, MonotonicTime now) {
  std::vector<ServerRecord> records(2);
  for (std::size_t i = 0; i < records.size(); ++i) {
    records[i].server = BackendServerId(fmt::format("server-{}", i));
    records[i].service = ServiceId("billing");
  }
  table.UpdateRecords(now, records);
  StatusReport report;
  report.snapshots = {{SnapshotId(1), {ShardId(0)}, {ShardId(0)}}};
  for (const ServerIndex server : table.AllServers()) {
    table.UpdateStatus(now, server, report);
  }
}

std::string ToText(const ActionOutcome& outcome) {
  const auto* refusal = std::get_if<Refusal>(&outcome);
  return refusal == nullptr ? "ran" : std::string(ToString(refusal->execution));
}

}  // namespace

ParameterizedTestParameters(RunAction, CallsLedgerAndServersInOrder) {
  return RowIndices(kRunRows);
}

ParameterizedTest(std::size_t* index, RunAction, CallsLedgerAndServersInOrder) {
  SetViolationReaction(ViolationReaction::kAbort);
  const RunRow& row = kRunRows[*index];
  CallRecorder calls;
  FakeClock clock;
  ServerTable table;
  AddServers(table, clock.Now());
  FakeLedger ledger{calls, row.ledger};
  FakeTransport transport{calls, row.servers, {}};
  std::string answer;
  RunActionSettings settings;
  settings.resubmit_timeout = settings.resubmit_interval * 2;
  ActionRequest request;
  request.service = ServiceId("billing");
  request.deadline = std::chrono::seconds(5);
  std::make_shared<RunningAction<FakeLedger, FakeTransport, FakeClock>>(
      request, settings, table, ledger, transport, clock, 1,
      [&](const ActionOutcome& outcome) { answer = ToText(outcome); })
      ->Start();
  while (!transport.tasks.empty()) {
    clock.now += settings.resubmit_interval;
    const auto task = std::move(transport.tasks.front());
    transport.tasks.pop_front();
    task();
  }
  calls.Add(answer);
  cr_assert_eq(calls.text, std::string(row.expected),
               "%s (guards against %s): expected \"%s\", actual \"%s\"",
               row.name, row.guards_against, row.expected, calls.text.c_str());
}

}  // namespace marigold
