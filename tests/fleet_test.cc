#include <criterion/criterion.h>
#include <fmt/format.h>

#include <string>

#include "tests/row_indices.h"
#include "tests/search_fixture.h"

namespace marigold {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Fixture = SearchFixture<DefaultPolicy>;

const ServiceId kLookup("lookup");

std::size_t CandidateCount(const Fixture& fixture, std::uint64_t shard) {
  return fixture.fleet
      .Candidates(fixture.now, kLookup, SnapshotId(1), ShardId(shard))
      .size();
}

bool IsSuspect(const Fixture& fixture, std::uint64_t server) {
  return fixture.fleet.View(fixture.now, ServerIndex(server))->is_suspect;
}

void DispatchAndFail(Fixture& fixture, AttemptFailure failure) {
  fixture.fleet.OnDispatch(fixture.now, ServerIndex(1));
  fixture.fleet.OnFailure(fixture.now, ServerIndex(1), failure);
}

void DispatchAndReply(Fixture& fixture, Duration latency) {
  fixture.fleet.OnDispatch(fixture.now, ServerIndex(1));
  fixture.fleet.OnReply(fixture.now, ServerIndex(1), latency);
}

struct FleetRow {
  const char* behaviour;
  std::string (*actual)();
  const char* expected;
};

// The comment of each row says what would go wrong without the tested
// behaviour.
const FleetRow kRows[] = {
    // A search would send a sub-request to a server that does not hold the
    // shard.
    {"finds the servers of a shard",
     [] {
       Fixture fixture(3, 2);
       return fmt::format("{}", CandidateCount(fixture, 1));
     },
     "2"},
    // A server that reported that it is draining would get new attempts.
    {"drops a draining server at once",
     [] {
       Fixture fixture(1, 2);
       DispatchAndFail(fixture, AttemptFailure::kDraining);
       return fmt::format("{}", CandidateCount(fixture, 0));
     },
     "1"},
    // A status that was sent before the drain would be taken for the end of the
    // drain.
    {"ignores a status that arrives shortly after the drain",
     [] {
       Fixture fixture(1, 2);
       DispatchAndFail(fixture, AttemptFailure::kDraining);
       fixture.now += seconds(1);
       fixture.Report(1, 1);
       return fmt::format("{}", CandidateCount(fixture, 0));
     },
     "1"},
    // A server that serves again after a drain would stay unused.
    {"uses a server that serves again after its drain",
     [] {
       Fixture fixture(1, 2);
       DispatchAndFail(fixture, AttemptFailure::kDraining);
       fixture.now += seconds(11);
       fixture.Report(1, 1);
       return fmt::format("{}", CandidateCount(fixture, 0));
     },
     "2"},
    // A server that the platform's list marks as leaving would get new
    // attempts.
    {"drops a leaving server whatever it reports",
     [] {
       Fixture fixture(1, 2);
       ServerRecord record = *fixture.fleet.Record(ServerIndex(1));
       record.is_leaving = true;
       fixture.fleet.UpdateRecords(
           fixture.now, {record, *fixture.fleet.Record(ServerIndex(2))});
       fixture.Report(1, 1);
       return fmt::format("{}", CandidateCount(fixture, 0));
     },
     "1"},
    // Trials would be sent to a server that refuses connections, which is a
    // sign that it is leaving.
    {"sends no trial after a refused connection",
     [] {
       Fixture fixture(1, 2);
       DispatchAndFail(fixture, AttemptFailure::kNotSent);
       fixture.now += seconds(9);
       const auto trial = fixture.fleet.PlaceTrial(fixture.now, kLookup,
                                                   SnapshotId(1), ShardId(0));
       return fmt::format("{}", trial.has_value());
     },
     "false"},
    // A server would never be used again after one lost connection.
    {"sends a trial after a lost connection",
     [] {
       Fixture fixture(1, 2);
       DispatchAndFail(fixture, AttemptFailure::kConnectionLost);
       fixture.now += milliseconds(500);
       const auto trial = fixture.fleet.PlaceTrial(fixture.now, kLookup,
                                                   SnapshotId(1), ShardId(0));
       return fmt::format("{}", trial.has_value());
     },
     "true"},
    // A suspect server would get as many trials as a healthy server gets
    // attempts.
    {"sends one trial at a time",
     [] {
       Fixture fixture(1, 2);
       DispatchAndFail(fixture, AttemptFailure::kConnectionLost);
       fixture.now += milliseconds(500);
       int trials = 0;
       for (int i = 0; i < 10; ++i) {
         trials += fixture.fleet.PlaceTrial(fixture.now, kLookup, SnapshotId(1),
                                            ShardId(0))
                       ? 1
                       : 0;
       }
       return fmt::format("{}", trials);
     },
     "1"},
    // One straggler would make a healthy server suspect.
    {"keeps a server healthy after one slow reply",
     [] {
       Fixture fixture(1, 2);
       fixture.RecordUsualLatencies();
       DispatchAndReply(fixture, milliseconds(200));
       return fmt::format("{}", IsSuspect(fixture, 1));
     },
     "false"},
    // A server that is always slow would keep its share of the attempts.
    {"makes a server suspect after many slow replies",
     [] {
       Fixture fixture(1, 2);
       fixture.RecordUsualLatencies();
       for (int i = 0; i < 20; ++i) {
         DispatchAndReply(fixture, milliseconds(100));
       }
       return fmt::format("{}", IsSuspect(fixture, 1));
     },
     "true"},
    // A server that never replies would count as idle, because its attempts are
    // cancelled.
    {"makes a server suspect after three attempts without a reply",
     [] {
       Fixture fixture(1, 2);
       for (int i = 0; i < 3; ++i) {
         fixture.fleet.OnSlowAttempt(fixture.now, ServerIndex(1));
       }
       return fmt::format("{}", IsSuspect(fixture, 1));
     },
     "true"},
    // A server that stopped replying would count as idle as soon as its slow
    // attempt is cancelled.
    {"counts a server as silent after a slow attempt was cancelled",
     [] {
       Fixture fixture(1, 2);
       fixture.RecordUsualLatencies();
       fixture.fleet.OnDispatch(fixture.now, ServerIndex(1));
       fixture.now += milliseconds(50);
       fixture.fleet.OnSlowAttempt(fixture.now, ServerIndex(1));
       fixture.fleet.OnCancel(fixture.now, ServerIndex(1));
       return fmt::format(
           "{} {}",
           fixture.fleet.View(fixture.now, ServerIndex(1))->silent_for.count(),
           fixture.fleet.View(fixture.now, ServerIndex(2))->silent_for.count());
     },
     "50000 0"},
    // A server would stay suspect although it replies.
    {"makes a server healthy after a reply",
     [] {
       Fixture fixture(1, 2);
       DispatchAndFail(fixture, AttemptFailure::kConnectionLost);
       DispatchAndReply(fixture, milliseconds(10));
       return fmt::format("{}", IsSuspect(fixture, 1));
     },
     "false"},
    // A server that sheds load would keep getting as many attempts as before.
    {"lowers the limit of a server that sheds",
     [] {
       Fixture fixture(1, 2);
       const auto before =
           fixture.fleet.View(fixture.now, ServerIndex(1))->limit;
       DispatchAndFail(fixture, AttemptFailure::kShed);
       const auto after =
           fixture.fleet.View(fixture.now, ServerIndex(1))->limit;
       return fmt::format("{} {}", before, after);
     },
     "4 2"},
    // This process would need more connections to a server than it may have.
    {"limits the attempts to the number of connections",
     [] {
       Fixture fixture(1, 2);
       fixture.fleet.UpdateConnectionPart(ServerIndex(1), 1);
       return fmt::format(
           "{}", fixture.fleet.View(fixture.now, ServerIndex(1))->limit);
     },
     "1"},
    // A search would overtake one that has waited longer for the same shard.
    {"serves waiters in their order of arrival",
     [] {
       Fixture fixture(1, 1);
       SeededRandom random(1);
       for (int i = 0; i < 4; ++i) {
         fixture.fleet.OnDispatch(fixture.now, ServerIndex(1));
       }
       const auto place = [&](std::uint64_t waiter) {
         return fixture.fleet
             .Place(fixture.now,
                    {kLookup, SnapshotId(1), ShardId(0), {}, WaiterId(waiter)},
                    PowerOfTwoChoices(), random)
             .result;
       };
       place(1);
       place(2);
       fixture.fleet.OnCancel(fixture.now, ServerIndex(1));
       const bool second_was_placed = place(2) == PlaceResult::kPlaced;
       const bool first_was_placed = place(1) == PlaceResult::kPlaced;
       return fmt::format("{} {}", second_was_placed, first_was_placed);
     },
     "false true"},
    // Waiting searches would not be woken when a server is below its limit
    // again.
    {"wakes the first waiter when a server is below its limit",
     [] {
       Fixture fixture(1, 1);
       SeededRandom random(1);
       for (int i = 0; i < 4; ++i) {
         fixture.fleet.OnDispatch(fixture.now, ServerIndex(1));
       }
       for (std::uint64_t waiter = 7; waiter < 9; ++waiter) {
         fixture.fleet.Place(
             fixture.now,
             {kLookup, SnapshotId(1), ShardId(0), {}, WaiterId(waiter)},
             PowerOfTwoChoices(), random);
       }
       fixture.fleet.OnCancel(fixture.now, ServerIndex(1));
       const auto woken = fixture.fleet.TakeWokenWaiters();
       return fmt::format("{} {}", woken.size(), woken.at(0).value());
     },
     "1 7"},
    // Searches would use an old snapshot list after a server reported a new
    // snapshot.
    {"lists a new snapshot",
     [] {
       Fixture fixture(1, 2);
       fixture.fleet.Snapshots(kLookup);
       fixture.Report(1, 2);
       const SnapshotList list = fixture.fleet.Snapshots(kLookup);
       return fmt::format("{} {}", list->size(),
                          list->front().snapshot.value());
     },
     "2 2"},
    // The snapshot list would be rebuilt for every search.
    {"shares the snapshot list while nothing changes",
     [] {
       Fixture fixture(1, 2);
       const SnapshotList list = fixture.fleet.Snapshots(kLookup);
       fixture.Report(1, 1);
       return fmt::format("{}", list == fixture.fleet.Snapshots(kLookup));
     },
     "true"},
};

}  // namespace

ParameterizedTestParameters(Fleet, TracksServersAndWaiters) {
  return RowIndices(kRows);
}

ParameterizedTest(std::size_t* index, Fleet, TracksServersAndWaiters) {
  const FleetRow& row = kRows[*index];
  const std::string actual = row.actual();
  cr_assert_eq(actual, std::string(row.expected),
               "%s: expected \"%s\", actual \"%s\"", row.behaviour,
               row.expected, actual.c_str());
}

}  // namespace marigold
