#include <criterion/criterion.h>

#include <array>
#include <string>

#include "src/core/invariant.h"
#include "tests/row_indices.h"
#include "tests/search_fixture.h"

namespace marigold {

namespace {

using std::chrono::milliseconds;
using Fixture = SearchFixture<DefaultPolicy>;
using PlainFixture = SearchFixture<PlainPolicy>;

struct SearchRow {
  const char* behaviour;
  std::string (*actual)();
  const char* expected;
};

std::string LateReplyOfOldSnapshot() {
  Fixture fixture(2, 1);
  fixture.Start();
  fixture.Reply(0);
  fixture.Report(1, 2);
  fixture.Report(2, 2);
  fixture.Fail(1, AttemptFailure::kUnknownSnapshot);
  // The reply to an attempt from before the restart arrives after it.
  fixture.Reply(0);
  fixture.Reply(2, 2);
  fixture.Reply(3, 2);
  return fixture.Outcome() + " " +
         std::get<SearchAnswer>(*fixture.outcome).matches.at(0).id;
}

// The comment of each row says what would go wrong without the tested
// behaviour.
const SearchRow kRows[] = {
    // A search would finish before all its shards replied, or never.
    {"finishes when the last shard replied",
     [] {
       Fixture fixture(2, 2);
       fixture.Start();
       fixture.Reply(0);
       const std::string before = fixture.Outcome();
       fixture.Reply(1);
       return before + ", " + fixture.Outcome();
     },
     "running, snapshot 1 covered 2"},
    // A shard would count as covered although it did not reply before the
    // deadline.
    {"reports shards that miss the deadline",
     [] {
       Fixture fixture(2, 2);
       fixture.Start();
       fixture.Reply(0);
       fixture.Wait(milliseconds(999));
       return fixture.Outcome();
     },
     "snapshot 1 covered 1 missing 1:deadline"},
    // A shard without servers would be left out of the coverage.
    {"reports shards that no server holds",
     [] {
       Fixture fixture(2, 1);
       fixture.fleet.OnMissingShard(ServerIndex(1), SnapshotId(1), ShardId(0));
       fixture.Start();
       fixture.Reply(0);
       return fixture.Outcome();
     },
     "snapshot 1 covered 1 missing 0:no_server"},
    // The caller would be told that nothing ran although a shard was searched.
    {"refuses as ran when the coverage is too low",
     [] {
       Fixture fixture(2, 2);
       fixture.Start(1);
       fixture.Reply(0);
       fixture.Wait(milliseconds(999));
       return fixture.Outcome();
     },
     "ran coverage_too_low"},
    // The caller would not be told that nothing ran, and so might not retry.
    {"refuses as did-not-run when every server refused",
     [] {
       SearchFixture<PlainPolicy> fixture(1, 1);
       fixture.Start(1);
       fixture.Fail(0, AttemptFailure::kShed);
       return fixture.Outcome();
     },
     "did_not_run no_backend_server"},
    // A failed attempt would leave a shard uncovered although another replica
    // could serve it.
    {"retries on another replica",
     [] {
       Fixture fixture(1, 2);
       fixture.Start();
       fixture.Fail(0, AttemptFailure::kConnectionLost);
       const bool is_other_server =
           fixture.sends[0].server != fixture.sends[1].server;
       return fixture.SentAttempts() + (is_other_server ? " other" : " same");
     },
     "primary:0 retry:0 other"},
    // The baseline for the benchmark would include retries.
    {"does not retry under the plain policy",
     [] {
       PlainFixture fixture(1, 2);
       fixture.Start();
       fixture.Fail(0, AttemptFailure::kConnectionLost);
       return fixture.SentAttempts() + ", " + fixture.Outcome();
     },
     "primary:0, snapshot 1 covered 0 missing 0:failed"},
    // Servers that shed load would get retries at once.
    {"backs off when all replicas shed load",
     [] {
       Fixture fixture(1, 2);
       fixture.Start();
       fixture.Fail(0, AttemptFailure::kShed);
       fixture.Fail(1, AttemptFailure::kShed);
       const std::string before = fixture.SentAttempts();
       fixture.WaitForTimer();
       return before + ", " + fixture.SentAttempts();
     },
     "primary:0 retry:0, primary:0 retry:0 retry:0"},
    // Searches would retry without end although the retry budget is spent.
    {"gives up when the retry budget is spent",
     [] {
       Fixture fixture(1, 2, {.preference = Preference::kTail});
       fixture.fleet.Traffic(ServiceId("lookup"))->TryRetry(100);
       fixture.Start();
       fixture.Fail(0, AttemptFailure::kShed);
       return fixture.Outcome();
     },
     "snapshot 1 covered 0 missing 0:failed"},
    // A straggler would delay the answer until the deadline.
    {"hedges a late attempt on another replica",
     [] {
       Fixture fixture(1, 2);
       fixture.RecordUsualLatencies();
       fixture.Start();
       fixture.WaitForTimer();
       const bool is_other_server =
           fixture.sends[0].server != fixture.sends[1].server;
       return fixture.SentAttempts() + (is_other_server ? " other" : " same");
     },
     "primary:0 hedge:0 other"},
    // Attempts that are in time would cause hedged requests and so additional
    // load.
    {"does not hedge before the delay",
     [] {
       Fixture fixture(1, 2);
       fixture.RecordUsualLatencies();
       fixture.Start();
       fixture.Wait(milliseconds(5));
       return fixture.SentAttempts();
     },
     "primary:0"},
    // The slower of two hedged attempts would keep its slot at the server.
    {"cancels the slower attempt",
     [] {
       Fixture fixture(1, 2);
       fixture.RecordUsualLatencies();
       fixture.Start();
       fixture.WaitForTimer();
       fixture.Reply(1);
       return fmt::format(
           "{} cancelled {}", fixture.Outcome(),
           fixture.cancels.at(0).attempt == fixture.sends[0].attempt);
     },
     "snapshot 1 covered 1 cancelled true"},
    // Hedged requests would add load to servers that already shed it.
    {"does not hedge while servers shed load",
     [] {
       Fixture fixture(2, 2);
       fixture.RecordUsualLatencies();
       fixture.fleet.Traffic(ServiceId("lookup"))->OnOutcome(fixture.now, true);
       fixture.Start();
       fixture.WaitForTimer();
       return fixture.SentAttempts();
     },
     "primary:0 primary:1"},
    // Both replies for a hedged shard would be merged.
    {"drops the reply of the slower attempt",
     [] {
       Fixture fixture(2, 2);
       fixture.RecordUsualLatencies();
       fixture.Start();
       fixture.WaitForTimer();
       fixture.Reply(2);
       fixture.Reply(0);
       return fixture.Outcome();
     },
     "running"},
    // A server that is about to stop would get attempts.
    {"sends nothing to draining servers",
     [] {
       Fixture fixture(1, 2);
       fixture.RecordUsualLatencies();
       fixture.fleet.UpdateLoad(fixture.now, ServerIndex(1),
                                {ServerState::kDraining, 0, SnapshotId(1)});
       fixture.Start();
       fixture.WaitForTimer();
       fixture.WaitForTimer();
       return fmt::format("{} {}", fixture.SentAttempts(),
                          fixture.sends[0].server.value());
     },
     "primary:0 2"},
    // An answer would contain matches from two snapshots.
    {"restarts under the new snapshot when the old one is gone",
     [] { return LateReplyOfOldSnapshot(); }, "snapshot 2 covered 2 2"},
    // A search would restart although another replica holds the shard under its
    // snapshot.
    {"keeps the snapshot while another replica has it",
     [] {
       Fixture fixture(1, 2);
       fixture.Start();
       const std::uint64_t first = fixture.sends[0].server.value();
       fixture.Report(first, 2);
       fixture.Fail(0, AttemptFailure::kUnknownSnapshot);
       return fmt::format("{} {}", fixture.SentAttempts(),
                          fixture.sends[1].snapshot.value());
     },
     "primary:0 retry:0 1"},
    // Attempts would be sent to servers that are at their limits.
    {"waits while all replicas are at their limits",
     [] {
       Fixture fixture(1, 1);
       for (int i = 0; i < 4; ++i) {
         fixture.fleet.OnDispatch(fixture.now, ServerIndex(1));
       }
       fixture.Start();
       const std::string before = fixture.SentAttempts();
       fixture.fleet.OnReply(fixture.now, ServerIndex(1), milliseconds(10));
       const std::size_t woken = fixture.fleet.TakeWokenWaiters().size();
       fixture.Wait(milliseconds(0));
       return fmt::format("\"{}\" woken {} {}", before, woken,
                          fixture.SentAttempts());
     },
     "\"\" woken 1 primary:0"},
    // A search would use its whole deadline although the caller accepts less
    // coverage and prefers a short tail.
    {"answers early under the tail preference",
     [] {
       Fixture fixture(2, 1, {.preference = Preference::kTail});
       for (int i = 0; i < 100; ++i) {
         fixture.fleet.Traffic(ServiceId("lookup"))
             ->OnShardLatency(milliseconds(10));
       }
       fixture.Start(0.5);
       fixture.Reply(0);
       fixture.Wait(milliseconds(100));
       return fixture.Outcome();
     },
     "snapshot 1 covered 1 missing 1:abandoned"},
    // A search would answer early with less coverage than the caller accepts.
    {"does not answer early below the minimum coverage",
     [] {
       Fixture fixture(2, 1, {.preference = Preference::kTail});
       for (int i = 0; i < 100; ++i) {
         fixture.fleet.Traffic(ServiceId("lookup"))
             ->OnShardLatency(milliseconds(10));
       }
       fixture.Start(1);
       fixture.Reply(0);
       fixture.Wait(milliseconds(100));
       return fixture.Outcome();
     },
     "running"},
    // The answer would arrive after the caller has stopped waiting.
    {"ends attempts before the caller's deadline",
     [] {
       Fixture fixture(1, 1);
       fixture.Start();
       const Duration left = fixture.sends[0].deadline - fixture.now;
       return fmt::format("{}", left.count());
     },
     "995000"},
    // A suspect server would never get a request again, and so never become
    // healthy.
    {"sends a trial to a suspect server beside the primary",
     [] {
       Fixture fixture(1, 2);
       fixture.RecordUsualLatencies();
       fixture.fleet.OnDispatch(fixture.now, ServerIndex(1));
       fixture.fleet.OnFailure(fixture.now, ServerIndex(1),
                               AttemptFailure::kConnectionLost);
       fixture.now += milliseconds(500);
       fixture.Start();
       return fmt::format("{} {} {}", fixture.SentAttempts(),
                          fixture.sends[0].server.value(),
                          fixture.sends[1].server.value());
     },
     "primary:0 trial:0 2 1"},
};

}  // namespace

ParameterizedTestParameters(Search, EventsLeadToExpectedOutcome) {
  return RowIndices(kRows);
}

ParameterizedTest(std::size_t* index, Search, EventsLeadToExpectedOutcome) {
  const SearchRow& row = kRows[*index];
  SetViolationReaction(ViolationReaction::kAbort);
  const std::string actual = row.actual();
  cr_assert_eq(actual, std::string(row.expected),
               "%s: expected \"%s\", actual \"%s\"", row.behaviour,
               row.expected, actual.c_str());
}

// Guards against a server that replies with the right attempt id but with data
// of another snapshot: the data would be merged into the answer.
Test(Search, CountsAndDropsReplyOfAnotherSnapshot) {
  SetViolationReaction(ViolationReaction::kCount);
  Fixture fixture(1, 1);
  fixture.Start();
  fixture.Reply(0, 2);
  const std::uint64_t violations =
      InvariantViolations()[static_cast<std::size_t>(Invariant::kOneSnapshot)];
  cr_assert(violations == 1 && fixture.Outcome() == "running",
            "expected 1 violation and a running search, actual %lu and %s",
            violations, fixture.Outcome().c_str());
}

}  // namespace marigold
