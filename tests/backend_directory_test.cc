#include <criterion/criterion.h>

#include <optional>
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
