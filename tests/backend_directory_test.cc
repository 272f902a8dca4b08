#include <criterion/criterion.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "src/core/random.h"
#include "src/policy/backend_directory.h"
#include "tests/row_indices.h"

namespace marigold {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId kService("shard-1");

ListedServer MakeListedServer(const char* id, const char* data_centre) {
  ListedServer row;
  row.server = BackendServerId(id);
  row.service = kService;
  row.endpoint = {"127.0.0.1", 9000};
  row.data_centre = DataCentreId(data_centre);
  row.slots = 3;
  return row;
}

// Three servers, of which the first is in the data centre of the entry VM.
struct DirectoryFixture {
  DirectoryFixture() : directory({DataCentreId("here"), {}}) {
    this->rows = {MakeListedServer("a", "here"), MakeListedServer("b", "there"),
                  MakeListedServer("c", "there")};
    this->directory.ApplyListing(this->now, this->rows);
  }

  std::optional<ServerIndex> PlaceAttempt(
      const std::vector<ServerIndex>& tried = {}) {
    return this->directory.PlaceAttempt(this->now, kService, milliseconds(10),
                                        tried, LeastExpectedDelay(),
                                        this->random);
  }

  // All servers but those with the id "a".
  std::vector<ServerIndex> OtherServers() const {
    std::vector<ServerIndex> others;
    for (std::uint64_t i = 1; i <= this->directory.size(); ++i) {
      if (this->directory.ListedServerAt(ServerIndex(i)).server !=
          BackendServerId("a")) {
        others.emplace_back(i);
      }
    }
    return others;
  }

  std::string NameOf(const std::optional<ServerIndex>& server) const {
    return server ? this->directory.ListedServerAt(*server).server.value() : "";
  }

  MonotonicTime now{seconds(100)};
  std::vector<ListedServer> rows;
  BackendDirectory directory;
  SeededRandom random{1};
};

struct FailureRow {
  SendFailure failure;
  // True if the failed server is chosen again although others are left.
  bool expect_chosen_with_others;
  // True if the failed server is chosen after `wait` when no other one is left.
  bool expect_chosen_alone;
  Duration wait;
};

const FailureRow kFailureRows[] = {
    {SendFailure::kNotExecuted, false, true, Duration::zero()},
    {SendFailure::kServerError, false, true, Duration::zero()},
    {SendFailure::kConnectionLost, false, true, Duration::zero()},
    {SendFailure::kNotConnected, false, false, milliseconds(150)},
    {SendFailure::kNotConnected, false, true, milliseconds(250)},
    {SendFailure::kOtherServer, false, false, seconds(4)},
    {SendFailure::kOtherServer, false, true, seconds(6)},
};

}  // namespace

ParameterizedTestParameters(BackendDirectory, FailedServerIsAvoided) {
  return RowIndices(kFailureRows);
}

// Guards against further sends to the address of a server that has failed. Such
// sends are lost, or count as load of another server that now listens at the
// address. The directory must avoid the failed server for a time that depends
// on the failure.
ParameterizedTest(std::size_t* index, BackendDirectory, FailedServerIsAvoided) {
  const FailureRow& row = kFailureRows[*index];
  DirectoryFixture fixture;
  const auto first = fixture.PlaceAttempt();
  cr_assert_eq(fixture.NameOf(first), std::string("a"), "row %zu", *index);
  fixture.directory.OnFailure(fixture.now, *first, row.failure);
  const bool chosen_with_others = fixture.NameOf(fixture.PlaceAttempt()) == "a";
  fixture.now += row.wait;
  const bool chosen_alone =
      fixture.NameOf(fixture.PlaceAttempt({ServerIndex(2), ServerIndex(3)})) ==
      "a";
  cr_assert_eq(chosen_with_others, row.expect_chosen_with_others,
               "row %zu: actual %d", *index, chosen_with_others);
  cr_assert_eq(chosen_alone, row.expect_chosen_alone, "row %zu: actual %d",
               *index, chosen_alone);
}

struct SlowdownRow {
  const char* scenario;
  // What the local server reports with answers of the usual latency times the
  // slowdown.
  double slowdown;
  int answers;
  // The time since the last answer.
  Duration age;
  bool expect_local;
};

const SlowdownRow kSlowdownRows[] = {
    {"a usual machine", 1, 1, Duration::zero(), true},
    {"a fast machine", 0.8, 1, Duration::zero(), true},
    {"a slowed machine", 2.5, 1, Duration::zero(), false},
    {"a slowed machine, a moment later", 2.5, 1, milliseconds(100), false},
    {"an old report", 2.5, 1, milliseconds(1500), true},
    {"an old report after many slow answers", 2.5, 20, milliseconds(1500),
     true},
};

ParameterizedTestParameters(BackendDirectory, SlowedMachineIsAvoidedForAWhile) {
  return RowIndices(kSlowdownRows);
}

// Replays servers whose machines are slowed to 2.5 times the usual latency for
// about 600 ms. Guards against requests that are sent to a server although it
// has just said that it is slowed, and against one that is avoided long after
// its machine has recovered.
ParameterizedTest(std::size_t* index,
                  BackendDirectory,
                  SlowedMachineIsAvoidedForAWhile) {
  constexpr Duration kTypicalLatency = milliseconds(28);
  const SlowdownRow& row = kSlowdownRows[*index];
  DirectoryFixture fixture;
  for (int i = 0; i < row.answers; ++i) {
    const auto placed = fixture.directory.PlaceAttempt(
        fixture.now, kService, kTypicalLatency, fixture.OtherServers(),
        LeastExpectedDelay(), fixture.random);
    const Duration latency = Scale(kTypicalLatency, row.slowdown);
    fixture.now += latency;
    fixture.directory.OnAnswer(fixture.now, *placed, latency, kTypicalLatency,
                               ReportedLoad{0, 0, 3, row.slowdown});
  }
  fixture.now += row.age;
  const auto chosen =
      fixture.directory.PlaceAttempt(fixture.now, kService, kTypicalLatency, {},
                                     LeastExpectedDelay(), fixture.random);
  cr_assert_eq(fixture.NameOf(chosen) == "a", row.expect_local, "%s: chose %s",
               row.scenario, fixture.NameOf(chosen).c_str());
}

// Guards against requests that are sent to a draining server and fail when it
// stops.
Test(BackendDirectory, DrainingServerGetsNoRequests) {
  DirectoryFixture fixture;
  fixture.rows[0].is_draining = true;
  const auto newly_unusable =
      fixture.directory.ApplyListing(fixture.now, fixture.rows);
  cr_assert_eq(newly_unusable.size(), 1U, "expected 1, actual %zu",
               newly_unusable.size());
  for (int i = 0; i < 20; ++i) {
    const auto placed = fixture.PlaceAttempt();
    cr_assert_neq(fixture.NameOf(placed), std::string("a"));
    fixture.directory.OnCancelled(fixture.now, *placed, Duration::zero(),
                                  Duration::zero());
  }
}

namespace {

enum class ListChange {
  kNone,
  // The list still shows the server as ready.
  kStillReady,
  kAnotherStart,
  // The server disappears from a list without start times, and comes back.
  kGoneAndBack,
};

struct NoticeRow {
  const char* scenario;
  ServerNotice notice;
  ListChange change;
  Duration wait;
  bool expect_chosen_with_others;
  bool expect_chosen_alone;
};

ServerNotice Leaving() {
  ServerNotice notice;
  notice.is_leaving = true;
  return notice;
}

ServerNotice Pause(Duration pause) {
  ServerNotice notice;
  notice.pause = pause;
  return notice;
}

const NoticeRow kNoticeRows[] = {
    {"leaving", Leaving(), ListChange::kNone, {}, false, true},
    {"leaving for a while", Leaving(), ListChange::kNone, milliseconds(499),
     false, true},
    {"leaving for longer", Leaving(), ListChange::kNone, milliseconds(500),
     false, false},
    {"leaving for very long", Leaving(), ListChange::kStillReady, seconds(600),
     false, false},
    {"leaving, then another start", Leaving(), ListChange::kAnotherStart,
     seconds(1), true, true},
    {"leaving, then gone and back", Leaving(), ListChange::kGoneAndBack,
     seconds(1), true, true},
    {"paused", Pause(seconds(2)), ListChange::kNone, {}, false, false},
    {"until the end of a pause", Pause(seconds(2)), ListChange::kStillReady,
     milliseconds(1999), false, false},
    {"after a pause and its random part", Pause(seconds(2)), ListChange::kNone,
     milliseconds(2500), true, true},
    {"a pause of no length", Pause({}), ListChange::kNone, {}, true, true},
    {"paused, then another start", Pause(seconds(30)),
     ListChange::kAnotherStart, seconds(1), true, true},
};

}  // namespace

ParameterizedTestParameters(BackendDirectory, NoticeOfAServerHolds) {
  return RowIndices(kNoticeRows);
}

// Guards against requests that reach a server long after it said that it is
// about to stop, or during a pause that it asked for, because the list still
// shows it as ready.
ParameterizedTest(std::size_t* index, BackendDirectory, NoticeOfAServerHolds) {
  const NoticeRow& row = kNoticeRows[*index];
  DirectoryFixture fixture;
  const bool has_start_times = row.change != ListChange::kGoneAndBack;
  fixture.rows[0].started_at_ms = has_start_times ? 1 : 0;
  fixture.directory.ApplyListing(fixture.now, {});
  fixture.directory.ApplyListing(fixture.now, fixture.rows);
  const auto first = fixture.PlaceAttempt();
  cr_assert_eq(fixture.NameOf(first), std::string("a"), "%s", row.scenario);
  fixture.directory.ApplyNotice(fixture.now, *first, row.notice);
  // The answer that carried the notice, or a later one, does not undo it.
  fixture.directory.OnAnswer(fixture.now, *first, milliseconds(10),
                             milliseconds(10), std::nullopt);
  switch (row.change) {
    case ListChange::kNone:
      break;
    case ListChange::kAnotherStart:
      fixture.rows[0].started_at_ms = 2;
      [[fallthrough]];
    case ListChange::kStillReady:
      fixture.directory.ApplyListing(fixture.now, fixture.rows);
      break;
    case ListChange::kGoneAndBack:
      fixture.directory.ApplyListing(fixture.now, {});
      fixture.directory.ApplyListing(fixture.now, fixture.rows);
      break;
  }
  fixture.now += row.wait;
  const bool chosen_with_others = fixture.NameOf(fixture.PlaceAttempt()) == "a";
  const bool chosen_alone =
      fixture.NameOf(fixture.PlaceAttempt(fixture.OtherServers())) == "a";
  cr_assert_eq(chosen_with_others, row.expect_chosen_with_others,
               "%s: actual %d", row.scenario, chosen_with_others);
  cr_assert_eq(chosen_alone, row.expect_chosen_alone, "%s: actual %d",
               row.scenario, chosen_alone);
}

// Guards against entry VMs that all return to a server at the end of the same
// pause.
Test(BackendDirectory, PausesOfTheSameLengthEndAtDifferentTimes) {
  std::vector<MonotonicTime> ends;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    BackendDirectory directory({DataCentreId("here"), {}, seed});
    const MonotonicTime now(seconds(100));
    const std::vector<ListedServer> rows = {MakeListedServer("a", "here")};
    directory.ApplyListing(now, rows);
    directory.ApplyNotice(now, ServerIndex(1), Pause(seconds(2)));
    const auto end = directory.FirstPauseEnd(now, kService);
    cr_assert(end && *end >= now + seconds(2) && *end <= now + seconds(3));
    ends.push_back(*end);
  }
  std::sort(ends.begin(), ends.end());
  cr_assert(std::adjacent_find(ends.begin(), ends.end()) == ends.end(),
            "expected 20 different times");
}

// Guards against failures of an earlier process that are counted for a
// restarted server with the same id, which would then get no requests.
Test(BackendDirectory, RestartUnderTheSameIdIsAnotherServer) {
  DirectoryFixture fixture;
  const auto first = fixture.PlaceAttempt();
  fixture.directory.OnFailure(fixture.now, *first, SendFailure::kOtherServer);
  fixture.rows[0].started_at_ms = 1;
  fixture.directory.ApplyListing(fixture.now, fixture.rows);
  const auto placed_after_restart = fixture.PlaceAttempt();
  cr_assert_eq(fixture.NameOf(placed_after_restart), std::string("a"));
  cr_assert_neq(*placed_after_restart, *first);
}

// Guards against queries that keep waiting for a slow server while others are
// fast, and against a server that is never tried again after it has recovered.
Test(BackendDirectory, SlowServerIsAvoidedAndTriedAgainLater) {
  DirectoryFixture fixture;
  for (int i = 0; i < 5; ++i) {
    const auto placed = fixture.PlaceAttempt({ServerIndex(2), ServerIndex(3)});
    fixture.now += milliseconds(200);
    fixture.directory.OnAnswer(fixture.now, *placed, milliseconds(200),
                               milliseconds(10), std::nullopt);
  }
  cr_assert_neq(fixture.NameOf(fixture.PlaceAttempt()), std::string("a"));
  fixture.now += seconds(60);
  cr_assert_eq(fixture.NameOf(fixture.PlaceAttempt()), std::string("a"));
}

// Guards against a server that refuses most requests and still gets its full
// share of them.
Test(BackendDirectory, ServerThatOftenFailsIsAvoided) {
  DirectoryFixture fixture;
  for (int i = 0; i < 8; ++i) {
    const auto placed = fixture.PlaceAttempt({ServerIndex(2), ServerIndex(3)});
    fixture.directory.OnFailure(fixture.now, *placed,
                                SendFailure::kNotExecuted);
    fixture.now += milliseconds(50);
  }
  cr_assert_neq(fixture.NameOf(fixture.PlaceAttempt()), std::string("a"));
}

// Guards against requests that wait for a data centre that does not answer, and
// against a data centre that gets no requests after it is reachable again.
Test(BackendDirectory, SilentDataCentreIsCutOffUntilAProbeIsAnswered) {
  DirectoryFixture fixture;
  const std::vector<ServerIndex> local_servers{ServerIndex(1)};
  for (int i = 0; i < 4; ++i) {
    const auto placed = fixture.PlaceAttempt(local_servers);
    fixture.directory.OnFailure(fixture.now, *placed, SendFailure::kTimeout);
  }
  fixture.now += milliseconds(400);
  cr_assert(fixture.directory.HasCutOffDataCentre(fixture.now));
  const auto probe = fixture.PlaceAttempt(local_servers);
  cr_assert(probe.has_value(), "expected one attempt as a probe");
  cr_assert_not(fixture.PlaceAttempt(local_servers).has_value(),
                "expected no second attempt as a probe");
  fixture.directory.OnAnswer(fixture.now, *probe, milliseconds(10),
                             milliseconds(10), std::nullopt);
  cr_assert(fixture.PlaceAttempt(local_servers).has_value(),
            "expected attempts again after the answer to the probe");
}

// Guards against a server that is avoided for seconds after a short pause. All
// attempts in flight during the pause are slow, but must not count as several
// independent observations of a slow server.
Test(BackendDirectory, PauseDoesNotMakeAServerSlow) {
  DirectoryFixture fixture;
  for (int pause = 0; pause < 3; ++pause) {
    for (int i = 0; i < 4; ++i) {
      fixture.PlaceAttempt({ServerIndex(2), ServerIndex(3)});
    }
    fixture.now += milliseconds(150);
    for (int i = 0; i < 4; ++i) {
      fixture.directory.OnAnswer(fixture.now, ServerIndex(1), milliseconds(150),
                                 milliseconds(10), std::nullopt);
    }
    const auto placed = fixture.PlaceAttempt();
    cr_assert_eq(fixture.NameOf(placed), std::string("a"));
    fixture.directory.OnAnswer(fixture.now, *placed, milliseconds(10),
                               milliseconds(10), std::nullopt);
    fixture.now += seconds(3);
  }
}

// Guards against entry VMs that each have to detect a slow server by
// themselves, and against a hint about an earlier start of the server that
// makes them avoid the restarted one.
Test(BackendDirectory, HintOfAnotherEntryVmAppliesToOneServerStart) {
  DirectoryFixture reporter;
  for (int i = 0; i < 2; ++i) {
    reporter.PlaceAttempt({ServerIndex(2), ServerIndex(3)});
    reporter.now += milliseconds(300);
    reporter.directory.OnAnswer(reporter.now, ServerIndex(1), milliseconds(200),
                                milliseconds(10), std::nullopt);
  }
  const std::vector<ServerHint> hints =
      reporter.directory.TakeHints(reporter.now);
  cr_assert_eq(hints.size(), 1U, "expected 1, actual %zu", hints.size());
  cr_assert(reporter.directory.TakeHints(reporter.now).empty(),
            "expected each hint only once");
  DirectoryFixture receiver;
  receiver.directory.ApplyHints(receiver.now, hints);
  cr_assert_neq(receiver.NameOf(receiver.PlaceAttempt()), std::string("a"));
  DirectoryFixture restarted;
  restarted.rows[0].started_at_ms = 1;
  restarted.directory.ApplyListing(restarted.now, restarted.rows);
  restarted.directory.ApplyHints(restarted.now, hints);
  cr_assert_eq(restarted.NameOf(restarted.PlaceAttempt()), std::string("a"));
}

// Guards against an entry VM that is slow itself, finds all servers slow and
// reports them to the other entry VMs.
Test(BackendDirectory, SlowEntryVmSendsNoHints) {
  DirectoryFixture fixture;
  for (int i = 0; i < 2; ++i) {
    fixture.now += milliseconds(300);
    for (std::uint64_t server = 1; server <= 3; ++server) {
      fixture.directory.OnAnswer(fixture.now, ServerIndex(server),
                                 milliseconds(200), milliseconds(10),
                                 std::nullopt);
    }
  }
  cr_assert(fixture.directory.TakeHints(fixture.now).empty());
}

}  // namespace marigold
