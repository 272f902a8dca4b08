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
  view.is_same_data_centre = true;
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
  // Of 1000 choices, how many go to the first candidate.
  int at_least;
  int at_most;
};

// Each row guards against the failure that its comment names.
const ChoiceRow kChoiceRows[] = {
    // One of two equal servers starved.
    {"equal servers share", {OrdinaryView(1), OrdinaryView(2)}, 400, 1000},
    // Own attempts in flight ignored.
    {"the emptier one",
     {ViewWith(1, [](ServerView& view) { view.in_flight = 2; }),
      OrdinaryView(2)},
     0,
     0},
    // The load that others cause ignored.
    {"the one that reports less",
     {ViewWith(1, [](ServerView& view) { view.reported_load = 6; }),
      OrdinaryView(2)},
     0,
     0},
    // An old report counted like a new one.
    {"an old report counts little",
     {ViewWith(1,
               [](ServerView& view) {
                 view.reported_load = 6;
                 view.report_age = seconds(5);
               }),
      ViewWith(2, [](ServerView& view) { view.in_flight = 1; })},
     1000,
     1000},
    // A report believed that own observations contradict.
    {"a distrusted report counts nothing",
     {ViewWith(1,
               [](ServerView& view) {
                 view.reported_load = 6;
                 view.report_trust = Fraction(0);
               }),
      ViewWith(2, [](ServerView& view) { view.in_flight = 1; })},
     1000,
     1000},
    // A slow server treated like a fast one.
    {"the faster one",
     {ViewWith(
          1,
          [](ServerView& view) { view.latency_estimate = milliseconds(20); }),
      OrdinaryView(2)},
     0,
     0},
    // A queue that no report shows yet.
    {"not where attempts wait without a reply",
     {ViewWith(1,
               [](ServerView& view) {
                 view.in_flight = 1;
                 view.silent_for = milliseconds(40);
               }),
      ViewWith(2, [](ServerView& view) { view.in_flight = 2; })},
     0,
     0},
    // Traffic between data centres without need.
    {"the same data centre first",
     {ViewWith(1, [](ServerView& view) { view.is_same_data_centre = false; }),
      OrdinaryView(2)},
     0,
     0},
    // A local server overloaded while others are idle.
    {"not the same data centre at any price",
     {ViewWith(1, [](ServerView& view) { view.is_same_data_centre = false; }),
      ViewWith(2, [](ServerView& view) { view.in_flight = 2; })},
     1000,
     1000},
    // Requests sent to a server that does not answer.
    {"no suspect one",
     {ViewWith(1, [](ServerView& view) { view.is_suspect = true; }),
      ViewWith(2, [](ServerView& view) { view.in_flight = 3; })},
     0,
     0},
    // A shard without an answer although a server might give one.
    {"a suspect one if there is no other",
     {ViewWith(1, [](ServerView& view) { view.is_suspect = true; })},
     1000,
     1000},
    // Full traffic on a server with a cold cache.
    {"a new one gets a part",
     {ViewWith(1, [](ServerView& view) { view.usable_for = seconds(2); }),
      OrdinaryView(2)},
     50,
     250},
    // No traffic at all when all servers are new.
    {"new ones share if all are new",
     {ViewWith(1, [](ServerView& view) { view.usable_for = seconds(1); }),
      ViewWith(2, [](ServerView& view) { view.usable_for = seconds(1); })},
     400,
     1000},
    // Attempts piling up beyond the limit.
    {"none at its limit",
     {ViewWith(1, [](ServerView& view) { view.in_flight = 4; }),
      ViewWith(2,
               [](ServerView& view) { view.latency_estimate = seconds(1); })},
     0,
     0},
};

struct SnapshotRow {
  const char* behaviour;
  Preference preference;
  // Newest first: fewest replicas and served shards of 4.
  std::vector<std::pair<std::uint32_t, std::size_t>> views;
  std::size_t expected;
};

const SnapshotRow kSnapshotRows[] = {
    // An old snapshot served although a newer one is complete.
    {"the newest", Preference::kCoverage, {{3, 4}, {3, 4}}, 0},
    // All traffic on the first server that has the new snapshot.
    {"not the newest on too few replicas",
     Preference::kCoverage,
     {{1, 4}, {3, 4}},
     1},
    // Waiting for the last replica.
    {"the newest on enough replicas",
     Preference::kCoverage,
     {{2, 4}, {3, 4}},
     0},
    // A tail that suffers from fewer replicas for the sake of fresh data.
    {"more replicas for a short tail", Preference::kTail, {{2, 4}, {4, 4}}, 1},
    // Stuck on the old one when it loses replicas too.
    {"the newest when both have few", Preference::kTail, {{1, 4}, {1, 4}}, 0},
    // Nothing chosen, or the newest with less coverage.
    {"the best covered if none is complete",
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
  cr_assert(first_choices >= row.at_least && first_choices <= row.at_most,
            "%s: expected %d to %d of 1000, actual %d", row.behaviour,
            row.at_least, row.at_most, first_choices);
}

// Guards against an attempt at a full server instead of waiting for room.
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
