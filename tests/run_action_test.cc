#include "src/commands/run_action.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <fmt/format.h>

#include <deque>
#include <string>
#include <vector>

#include "src/commands/ledger_link.h"
#include "src/core/invariant.h"
#include "tests/row_indices.h"

namespace marigold {

namespace {

struct RunRow {
  const char* name;
  const char* guards;
  // What the ledger answers in turn: g(ranted), y(es), n(o quorum), l(ost).
  const char* ledger;
  // What backend servers answer in turn: r(eply), s(hed), c(onnection lost).
  const char* servers;
  // The commands and sends in order, then the caller's answer.
  const char* expected;
};

const RunRow kRunRows[] = {
    {"the outcome is recorded", "a resend that runs the action again", "gy",
     "r", "claim send record ran"},
    {"a failed record is repeated and the caller still gets the result",
     "a result that resends never learn", "gnny", "r",
     "claim send record record record ran"},
    {"records end at the bound", "an action that is kept for ever", "gnnnnnnn",
     "r", "claim send record record record ran"},
    {"a refused send releases and claims again", "two sends under one claim",
     "gygy", "sr", "claim send release claim send record ran"},
    {"a failed release is repeated before the next claim",
     "a second claim that the first one blocks", "gnygy", "sr",
     "claim send release release claim send record ran"},
    {"a lost connection is not repeated", "an action that runs twice", "g", "c",
     "claim send may_have_run"},
    {"a lost claim answer is released and not used",
     "a send under an unknown claim", "ly", "", "claim release did_not_run"},
};

struct Journal {
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
              const LedgerLink::OnOutcome& on_outcome) {
    static constexpr const char* kNames[] = {"put", "claim", "release",
                                             "record"};
    this->journal.Add(kNames[command.index()]);
    const char answer = *this->script++;
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
      on_outcome(ControlOutcome(RecordResult{true}));
    }
  }

  Journal& journal;
  const char* script;
};

struct FakeTransport {
  void SendAction(ServerIndex,
                  const BackendAction& action,
                  MonotonicTime,
                  const std::function<void(ActionAttemptOutcome)>& on_outcome) {
    this->journal.Add("send");
    const char answer = *this->script++;
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

  Journal& journal;
  const char* script;
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

ParameterizedTestParameters(RunAction, LedgerAndServersSeeThisOrder) {
  return RowIndices(kRunRows);
}

ParameterizedTest(std::size_t* index, RunAction, LedgerAndServersSeeThisOrder) {
  SetOnViolation(OnViolation::kAbort);
  const RunRow& row = kRunRows[*index];
  Journal journal;
  FakeClock clock;
  ServerTable table;
  AddServers(table, clock.Now());
  FakeLedger ledger{journal, row.ledger};
  FakeTransport transport{journal, row.servers, {}};
  std::string answer;
  RunActionSettings settings;
  settings.repeat_bound = settings.repeat_interval * 2;
  ActionRequest request;
  request.service = ServiceId("billing");
  request.deadline = std::chrono::seconds(5);
  std::make_shared<RunningAction<FakeLedger, FakeTransport, FakeClock>>(
      request, settings, table, ledger, transport, clock, 1,
      [&](const ActionOutcome& outcome) { answer = ToText(outcome); })
      ->Start();
  while (!transport.tasks.empty()) {
    clock.now += settings.repeat_interval;
    const auto task = std::move(transport.tasks.front());
    transport.tasks.pop_front();
    task();
  }
  journal.Add(answer);
  cr_assert_eq(journal.text, std::string(row.expected),
               "%s (guards against %s): expected \"%s\", actual \"%s\"",
               row.name, row.guards, row.expected, journal.text.c_str());
}

}  // namespace marigold
