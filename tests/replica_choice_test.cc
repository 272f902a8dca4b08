#include <criterion/criterion.h>

#include <algorithm>
#include <string>
#include <vector>

#include "src/core/random.h"
#include "src/policy/replica_choice.h"
#include "src/policy/snapshot_choice.h"
#include "tests/row_indices.h"

namespace marigold {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

ServerView OrdinaryView(std::uint64_t index) {
  ServerView view;
  view.index = ServerIndex(index);
  view.state = ServerState::kServing;
  view.is_in_same_data_centre = true;
  view.slots = 2;
  view.limit = 4;
  view.latency_estimate = milliseconds(10);
  view.usable_for = seconds(60);
  return view;
}

template <class Change>
ServerView ViewWith(std::uint64_t index, Change change) {
  ServerView view = OrdinaryView(index);
  change(view);
  return view;
}

struct ChoiceRow {
  const char* behaviour;
  std::vector<ServerView> candidates;
  // The bounds for how many of 1000 choices select the first candidate.
  int min_choices;
  int max_choices;
};

// The comment of each row says what would go wrong without the tested
// behaviour.
const ChoiceRow kChoiceRows[] = {
    // One of two equal servers would get no attempts.
    {"equal servers get equal shares",
     {OrdinaryView(1), OrdinaryView(2)},
     400,
     1000},
    // Attempts would go to a server that already has attempts of this process
    // in flight, although another one is free.
    {"prefers the server with fewer attempts in flight",
     {ViewWith(1, [](ServerView& view) { view.in_flight = 2; }),
      OrdinaryView(2)},
     0,
     0},
    // Attempts would go to a server that is loaded by other entry VMs.
    {"prefers the server that reports less load",
     {ViewWith(1, [](ServerView& view) { view.reported_load = 6; }),
      OrdinaryView(2)},
     0,
     0},
    // A load report that is 5 s old would have the weight of a new one.
    {"an old report has little weight",
     {ViewWith(1,
               [](ServerView& view) {
                 view.reported_load = 6;
                 view.report_age = seconds(5);
               }),
      ViewWith(2, [](ServerView& view) { view.in_flight = 1; })},
     1000,
     1000},
    // A server that reports too much load would get no attempts, although its
    // latency contradicts the report.
    {"a report without trust has no weight",
     {ViewWith(1,
               [](ServerView& view) {
                 view.reported_load = 6;
                 view.report_trust = Fraction(0);
               }),
      ViewWith(2, [](ServerView& view) { view.in_flight = 1; })},
     1000,
     1000},
    // A slow server would get as many attempts as a fast one.
    {"prefers the faster server",
     {ViewWith(
          1,
          [](ServerView& view) { view.latency_estimate = milliseconds(20); }),
      OrdinaryView(2)},
     0,
     0},
    // Attempts would go to a server with a queue that no report shows yet.
    {"avoids a server whose attempts stay without a reply",
     {ViewWith(1,
               [](ServerView& view) {
                 view.in_flight = 1;
                 view.silent_for = milliseconds(40);
               }),
      ViewWith(2, [](ServerView& view) { view.in_flight = 2; })},
     0,
     0},
    // Attempts would go to another data centre although the local server is as
    // good.
    {"prefers the server in the same data centre",
     {ViewWith(1,
               [](ServerView& view) { view.is_in_same_data_centre = false; }),
      OrdinaryView(2)},
     0,
     0},
    // Attempts would go to a loaded local server although a server in another
    // data centre is idle.
    {"chooses another data centre if the local server is loaded",
     {ViewWith(1,
               [](ServerView& view) { view.is_in_same_data_centre = false; }),
      ViewWith(2, [](ServerView& view) { view.in_flight = 2; })},
     1000,
     1000},
    // Attempts would go to a suspect server although a healthy one is below its
    // limit.
    {"avoids a suspect server",
     {ViewWith(1, [](ServerView& view) { view.is_suspect = true; }),
      ViewWith(2, [](ServerView& view) { view.in_flight = 3; })},
     0,
     0},
    // A shard would stay uncovered although its only server, which is suspect,
    // might reply.
    {"chooses a suspect server if there is no other",
     {ViewWith(1, [](ServerView& view) { view.is_suspect = true; })},
     1000,
     1000},
    // A new server with a cold cache would get its full share of the attempts.
    {"a new server gets a small share",
     {ViewWith(1, [](ServerView& view) { view.usable_for = seconds(2); }),
      OrdinaryView(2)},
     50,
     250},
    // No server would get attempts when all servers are new.
    {"new servers get equal shares if all are new",
     {ViewWith(1, [](ServerView& view) { view.usable_for = seconds(1); }),
      ViewWith(2, [](ServerView& view) { view.usable_for = seconds(1); })},
     400,
     1000},
    // More attempts than its limit would be in flight at a server.
    {"avoids a server at its limit",
     {ViewWith(1, [](ServerView& view) { view.in_flight = 4; }),
      ViewWith(2,
               [](ServerView& view) { view.latency_estimate = seconds(1); })},
     0,
     0},
};

struct SnapshotRow {
  const char* behaviour;
  Preference preference;
  // The snapshots, newest first: the lowest number of replicas of a shard, and
  // the number of served shards out of 4.
  std::vector<std::pair<std::uint32_t, std::size_t>> views;
  std::size_t expected;
};

const SnapshotRow kSnapshotRows[] = {
    // Searches would use an old snapshot although a newer one has as many
    // replicas.
    {"chooses the newest snapshot", Preference::kCoverage, {{3, 4}, {3, 4}}, 0},
    // The first server that loads the new snapshot would get all traffic.
    {"rejects the newest snapshot if it has too few replicas",
     Preference::kCoverage,
     {{1, 4}, {3, 4}},
     1},
    // Searches would use the old snapshot until the last replica has loaded the
    // new one.
    {"chooses the newest snapshot with enough replicas",
     Preference::kCoverage,
     {{2, 4}, {3, 4}},
     0},
    // The latency tail would grow, because the new snapshot has fewer replicas.
    {"chooses the snapshot with more replicas for a short tail",
     Preference::kTail,
     {{2, 4}, {4, 4}},
     1},
    // Searches would stay on the old snapshot when both have few replicas.
    {"chooses the newest snapshot if both have few replicas",
     Preference::kTail,
     {{1, 4}, {1, 4}},
     0},
    // No snapshot would be chosen, or the newest one although it covers fewer
    // shards.
    {"chooses the snapshot with the highest coverage if none is complete",
     Preference::kCoverage,
     {{0, 1}, {0, 3}},
     1},
};

}  // namespace

ParameterizedTestParameters(ReplicaChoice, ChoosesCheapestEligibleServer) {
  return RowIndices(kChoiceRows);
}

ParameterizedTest(std::size_t* index,
                  ReplicaChoice,
                  ChoosesCheapestEligibleServer) {
  const ChoiceRow& row = kChoiceRows[*index];
  SeededRandom random(1);
  int first_choices = 0;
  for (int i = 0; i < 1000; ++i) {
    const auto chosen = PowerOfTwoChoices().Choose(row.candidates, random);
    first_choices += chosen == row.candidates[0].index ? 1 : 0;
  }
  cr_assert(
      first_choices >= row.min_choices && first_choices <= row.max_choices,
      "%s: expected %d to %d of 1000, actual %d", row.behaviour,
      row.min_choices, row.max_choices, first_choices);
}

// Guards against an attempt that is sent to a server at its limit instead of
// waiting.
Test(ReplicaChoice, ChoosesNothingWhenAllAreAtTheirLimits) {
  SeededRandom random(1);
  const std::vector<ServerView> full = {
      ViewWith(1, [](ServerView& view) { view.in_flight = 4; })};
  const auto chosen = PowerOfTwoChoices().Choose(full, random);
  cr_assert(!chosen, "expected nothing, actual a server");
}

ParameterizedTestParameters(SnapshotChoice, ChoosesNewestWithEnoughReplicas) {
  return RowIndices(kSnapshotRows);
}

ParameterizedTest(std::size_t* index,
                  SnapshotChoice,
                  ChoosesNewestWithEnoughReplicas) {
  const SnapshotRow& row = kSnapshotRows[*index];
  std::vector<SnapshotView> views;
  for (const auto& [replicas, served] : row.views) {
    SnapshotView& view = views.emplace_back();
    view.snapshot = SnapshotId(row.views.size() - views.size() + 1);
    view.all_shards.resize(4);
    view.served_shards.resize(served);
    view.min_replicas = replicas;
  }
  const SnapshotView* chosen = ChooseSnapshot(views, row.preference);
  const auto actual = static_cast<std::size_t>(chosen - views.data());
  cr_assert_eq(actual, row.expected, "%s: expected view %zu, actual %zu",
               row.behaviour, row.expected, actual);
}

}  // namespace marigold
