#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>
#include <cstdint>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "tests/row_indices.h"
#include "tools/standin/load_history.h"
#include "tools/standin/match_content.h"
#include "tools/standin/platform_view.h"
#include "tools/standin/searcher_core.h"
#include "tools/standin/service_time.h"
#include "tools/standin/snapshot_schedule.h"
#include "tools/standin/standin_json.h"
#include "tools/standin/topology.h"
#include "tools/tcp/http_text.h"

namespace marigold {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

MonotonicTime At(std::int64_t ms) {
  return MonotonicTime(milliseconds(ms));
}

struct SizeRow {
  const char* deployment;
  const char* service;
  std::size_t searchers;
  std::uint32_t slots;
  std::uint32_t connection_limit;
  std::int64_t connect_ms;
};

const SizeRow kSizeRows[] = {
    {"kompostera", "lookup", 30, 3, 65, 6},
    {"kompostera", "billing", 45, 3, 65, 6},
    {"kompostera", "renewal", 10, 4, 230, 1},
    {"kompostera", "route", 5, 4, 230, 1},
    {"hollabrunn", "planner", 30, 2, 55, 6},
    {"hollabrunn", "portal", 45, 2, 55, 6},
    {"hollabrunn", "collection", 5, 6, 100, 1},
    {"hollabrunn", "invoicing", 3, 6, 100, 1},
    {"target-slice", "lookup", 570, 3, 65, 6},
};

const char* const kDeployments[] = {"kompostera", "hollabrunn", "small",
                                    "target-slice"};

std::vector<SearcherPlace> PlacesOf(const char* deployment) {
  return PlaceSearchers(*FindDeployment(deployment), {});
}

}  // namespace

// Guards against a deployment whose sizes differ from those of the design
// document, so that tests and measurements would run at another scale.
ParameterizedTestParameters(Topology, SizesMatchTheDesignDocument) {
  return RowIndices(kSizeRows);
}

ParameterizedTest(std::size_t* index, Topology, SizesMatchTheDesignDocument) {
  const SizeRow& row = kSizeRows[*index];
  std::size_t searchers = 0;
  for (const SearcherPlace& place : PlacesOf(row.deployment)) {
    if (place.record.service.value() == row.service) {
      ++searchers;
      cr_assert(place.shape.slots == row.slots &&
                    place.shape.connection_limit == row.connection_limit &&
                    place.shape.connect_time == milliseconds(row.connect_ms),
                "expected %u slots, %u connections, %ld ms, actual %u, %u, %ld",
                row.slots, row.connection_limit, row.connect_ms,
                place.shape.slots, place.shape.connection_limit,
                static_cast<long>(place.shape.connect_time.count() / 1000));
    }
  }
  cr_assert_eq(searchers, row.searchers, "expected %zu searchers, actual %zu",
               row.searchers, searchers);
}

// Guards against two searchers with the same address, of which one could not
// listen.
ParameterizedTestParameters(Topology, AddressesDiffer) {
  return RowIndices(kDeployments);
}

ParameterizedTest(std::size_t* index, Topology, AddressesDiffer) {
  const auto places = PlacesOf(kDeployments[*index]);
  std::set<Endpoint> endpoints;
  for (const SearcherPlace& place : places) {
    endpoints.insert(place.record.endpoint);
  }
  cr_assert_eq(endpoints.size(), places.size(), "expected %zu, actual %zu",
               places.size(), endpoints.size());
}

// Guards against two replicas of a shard in one data centre, whose loss would
// then leave fewer replicas than the design assumes.
ParameterizedTestParameters(Topology, ReplicasAreInDifferentDataCentres) {
  return RowIndices(kDeployments);
}

ParameterizedTest(std::size_t* index,
                  Topology,
                  ReplicasAreInDifferentDataCentres) {
  std::set<std::string> seen;
  for (const SearcherPlace& place : PlacesOf(kDeployments[*index])) {
    if (place.shape.replicas <= 3) {
      const std::string key = place.record.service.value() + " " +
                              std::to_string(place.instance) + " " +
                              place.record.data_centre.value();
      cr_assert(seen.insert(key).second, "expected one replica at %s",
                key.c_str());
    }
  }
}

namespace {

struct ShardRow {
  std::uint32_t instance;
  std::uint32_t instances;
  std::uint64_t shards;
  std::vector<std::uint64_t> shards_held;
};

const ShardRow kShardRows[] = {
    {0, 3, 3, {0}}, {2, 3, 3, {2}}, {1, 3, 5, {1, 4}},
    {2, 3, 5, {2}}, {2, 3, 2, {}},  {0, 1, 2, {0, 1}},
};

}  // namespace

// Guards against a repartition after which a shard belongs to no instance or to
// two of them.
ParameterizedTestParameters(Topology, InstancesShareTheShards) {
  return RowIndices(kShardRows);
}

ParameterizedTest(std::size_t* index, Topology, InstancesShareTheShards) {
  const ShardRow& row = kShardRows[*index];
  std::vector<std::uint64_t> actual;
  for (const ShardId shard :
       ShardsOfInstance(row.instance, row.instances, row.shards)) {
    actual.push_back(shard.value());
  }
  cr_assert(actual == row.shards_held,
            "row %zu: expected %zu shards, actual %zu", *index,
            row.shards_held.size(), actual.size());
}

namespace {

struct TimeRow {
  double straggler_share;
  std::int64_t age_ms;
  double quantile;
  double expected_ms;
};

// The median is 2 ms, and stragglers take 10 times as long. Right after its
// start, a server takes 3 times as long, and this factor falls to 1 within 1 s.
const TimeRow kTimeRows[] = {
    {0, 1000, 0.5, 2},     {0, 1000, 0.841, 2.7}, {0.1, 1000, 0.5, 2.1},
    {0.1, 1000, 0.95, 20}, {0, 0, 0.5, 6},        {0, 500, 0.5, 4},
};

}  // namespace

// Guards against service times whose median, spread, stragglers or cold start
// differ from the settings.
ParameterizedTestParameters(ServiceTime, QuantilesFollowTheSettings) {
  return RowIndices(kTimeRows);
}

ParameterizedTest(std::size_t* index, ServiceTime, QuantilesFollowTheSettings) {
  const TimeRow& row = kTimeRows[*index];
  ServiceTimeSettings settings;
  settings.straggler_share = Fraction(row.straggler_share);
  settings.cold_time = seconds(1);
  SeededRandom random(7);
  std::vector<double> drawn(20'000);
  for (double& ms : drawn) {
    ms = ToMilliseconds(
        DrawServiceTime(settings, milliseconds(row.age_ms), random));
  }
  std::sort(drawn.begin(), drawn.end());
  const double actual = drawn[static_cast<std::size_t>(20'000 * row.quantile)];
  cr_assert(actual > row.expected_ms * 0.93 && actual < row.expected_ms * 1.07,
            "row %zu: expected %f ms, actual %f ms", *index, row.expected_ms,
            actual);
}

namespace {

struct HeldRow {
  std::int64_t now_ms;
  std::int64_t delay_ms;
  std::vector<std::uint64_t> snapshots;
};

// Snapshots 2 and 3 are published at 100 ms and 200 ms.
const HeldRow kHeldRows[] = {
    {0, 0, {1}},      {100, 0, {1, 2}},  {100, 50, {1}},
    {200, 0, {2, 3}}, {200, 50, {1, 2}}, {250, 50, {2, 3}},
};

}  // namespace

// Guards against a server that holds more than the last two snapshots, or that
// holds a snapshot before its delay has passed.
ParameterizedTestParameters(SnapshotSchedule, HoldsLastTwoAfterDelay) {
  return RowIndices(kHeldRows);
}

ParameterizedTest(std::size_t* index,
                  SnapshotSchedule,
                  HoldsLastTwoAfterDelay) {
  const HeldRow& row = kHeldRows[*index];
  SnapshotSchedule schedule(4);
  schedule.Advance(At(100));
  schedule.Repartition(At(200), 5);
  std::vector<std::uint64_t> actual;
  for (const SnapshotLayout& layout :
       schedule.HeldSnapshots(At(row.now_ms), milliseconds(row.delay_ms))) {
    actual.push_back(layout.snapshot.value());
  }
  cr_assert(actual == row.snapshots,
            "row %zu: expected newest %lu, actual newest %lu", *index,
            row.snapshots.back(), actual.back());
}

namespace {

struct ContentRow {
  const char* service;
  const char* query;
  std::uint64_t snapshot;
  std::uint64_t shards;
  std::uint64_t shard;
};

// Each row differs from the first one in one argument.
const ContentRow kContentRows[] = {
    {"route", "q", 1, 4, 0},  {"lookup", "p", 1, 4, 0},
    {"lookup", "q", 2, 4, 0}, {"lookup", "q", 1, 5, 0},
    {"lookup", "q", 1, 4, 1},
};

}  // namespace

// Guards against match texts that are equal for two services, queries,
// snapshots, partitionings or shards. A checker could then not recognise a
// wrong match.
ParameterizedTestParameters(MatchContent, TextDiffersWithEveryArgument) {
  return RowIndices(kContentRows);
}

ParameterizedTest(std::size_t* index,
                  MatchContent,
                  TextDiffersWithEveryArgument) {
  const ContentRow& row = kContentRows[*index];
  const auto other =
      MatchesFor(ServiceId(row.service), row.query,
                 {SnapshotId(row.snapshot), row.shards}, ShardId(row.shard));
  const auto first =
      MatchesFor(ServiceId("lookup"), "q", {SnapshotId(1), 4}, ShardId(0));
  cr_assert(other[0].text != first[0].text, "row %zu: both are \"%s\"", *index,
            other[0].text.c_str());
}

namespace {

struct ReportRow {
  std::int64_t now_ms;
  LoadReportSettings settings;
  std::uint32_t load;
};

// The load is 3 from 100 ms and 1 from 200 ms. The full load is 10.
const ReportRow kReportRows[] = {
    {150, {ReportMode::kTrue, milliseconds(0)}, 3},
    {250, {ReportMode::kTrue, milliseconds(0)}, 1},
    {250, {ReportMode::kTrue, milliseconds(100)}, 3},
    {150, {ReportMode::kTrue, milliseconds(100)}, 0},
    {150, {ReportMode::kZero, milliseconds(0)}, 0},
    {150, {ReportMode::kHigh, milliseconds(0)}, 10},
    {150, {ReportMode::kInverse, milliseconds(0)}, 7},
};

}  // namespace

// Guards against load reports that do not follow the lag and the mode of the
// settings, so that a test of misleading reports would use true ones.
ParameterizedTestParameters(LoadHistory, ReportsLagAndMislead) {
  return RowIndices(kReportRows);
}

ParameterizedTest(std::size_t* index, LoadHistory, ReportsLagAndMislead) {
  const ReportRow& row = kReportRows[*index];
  LoadHistory history(10);
  history.Record(At(100), 3, milliseconds(100));
  history.Record(At(200), 1, milliseconds(100));
  const std::uint32_t actual = history.Report(At(row.now_ms), row.settings);
  cr_assert_eq(actual, row.load, "row %zu: expected %u, actual %u", *index,
               row.load, actual);
}

namespace {

struct ListRow {
  std::int64_t now_ms;
  std::size_t servers;
  bool leaving;
  std::uint64_t version;
};

// A server is leaving from 100 ms and gone from 200 ms. The list lags by 50 ms.
const ListRow kListRows[] = {
    {100, 1, false, 1},
    {150, 1, true, 2},
    {249, 1, true, 2},
    {250, 0, false, 3},
};

}  // namespace

// Guards against a VM list that shows a change before its lag has passed, so
// that clients would be tested only with an up-to-date list.
ParameterizedTestParameters(PlatformView, ListLags) {
  return RowIndices(kListRows);
}

ParameterizedTest(std::size_t* index, PlatformView, ListLags) {
  const ListRow& row = kListRows[*index];
  ServerRecord record;
  record.server = BackendServerId("s");
  PlatformView view;
  view.Add(record);
  view.SetLag(milliseconds(50));
  view.SetPresence(At(100), record.server, Presence::kLeaving);
  view.SetPresence(At(200), record.server, Presence::kGone);
  const PlatformVmList list = view.ListAt(At(row.now_ms));
  cr_assert(
      list.servers.size() == row.servers && list.version == row.version &&
          (list.servers.empty() || list.servers[0].is_leaving == row.leaving),
      "row %zu: expected %zu servers of version %lu, actual %zu of %lu", *index,
      row.servers, row.version, list.servers.size(), list.version);
}

namespace {

// A searcher that holds shard 0 of 2 and has one slot and a queue for one
// request.
struct CoreFixture {
  explicit CoreFixture(SearcherBehaviour behaviour = {}) {
    behaviour.queue_limit = 1;
    behaviour.service_time.spread = 0;
    SearcherPlace place;
    place.record.server = BackendServerId("s");
    place.shape.instances = 2;
    core.emplace(place, behaviour, 1);
    core->Start(At(0));
  }

  SearcherCore::Steps Search(std::uint64_t attempt,
                             std::uint64_t snapshot = 1,
                             std::uint64_t shard = 0,
                             std::int64_t deadline_ms = 100) {
    return core->OnSearch(At(0), SessionId(attempt),
                          {AttemptId(attempt), SnapshotId(snapshot),
                           ShardId(shard), "q", milliseconds(deadline_ms)},
                          held);
  }

  SearcherCore::Steps Action(std::uint64_t attempt) {
    return core->OnAction(
        At(0), SessionId(attempt),
        {AttemptId(attempt), IdempotencyKey("k"), "pay", "", milliseconds(100)},
        held);
  }

  SearcherCore::HeldSnapshots held = {{SnapshotId(1), 2}};
  std::optional<SearcherCore> core;
};

// Returns one word for each step: "run", "record", "stop", or the HTTP status
// and the reason of the reply.
std::string Describe(const SearcherCore::Steps& steps) {
  std::string text;
  for (const SearcherStep& step : steps) {
    text += text.empty() ? "" : " ";
    if (std::holds_alternative<RunWork>(step)) {
      text += "run";
    } else if (std::holds_alternative<RunAction>(step)) {
      text += "record";
    } else if (std::holds_alternative<StopWork>(step)) {
      text += "stop";
    } else {
      const auto [status, body] = EncodeReply(std::get<SendReply>(step).body);
      const std::size_t reason = body.find("\"reason\":\"");
      text += std::to_string(status);
      if (reason != std::string::npos) {
        text += ":" + body.substr(reason + 10, body.size() - reason - 12);
      }
    }
  }
  return text;
}

SearcherBehaviour Draining() {
  SearcherBehaviour behaviour;
  behaviour.draining = true;
  return behaviour;
}

SearcherBehaviour Starting() {
  SearcherBehaviour behaviour;
  behaviour.start_time = seconds(1);
  return behaviour;
}

SearcherBehaviour Shedding() {
  SearcherBehaviour behaviour;
  behaviour.shed_share = Fraction(1);
  return behaviour;
}

struct CoreRow {
  const char* name;
  SearcherBehaviour behaviour;
  SearcherCore::Steps (*act)(CoreFixture&);
  const char* steps;
};

const CoreRow kCoreRows[] = {
    {"search with a free slot",
     {},
     [](CoreFixture& f) { return f.Search(1); },
     "run"},
    {"search with all slots in use is queued",
     {},
     [](CoreFixture& f) {
       f.Search(1);
       return f.Search(2);
     },
     ""},
    {"search with a full queue",
     {},
     [](CoreFixture& f) {
       f.Search(1);
       f.Search(2);
       return f.Search(3);
     },
     "503:shedding"},
    {"unknown snapshot",
     {},
     [](CoreFixture& f) { return f.Search(1, 2); },
     "409:unknown_snapshot"},
    {"shard of another instance",
     {},
     [](CoreFixture& f) { return f.Search(1, 1, 1); },
     "409:unknown_shard"},
    {"draining", Draining(), [](CoreFixture& f) { return f.Search(1); },
     "503:draining"},
    {"starting", Starting(), [](CoreFixture& f) { return f.Search(1); },
     "503:starting"},
    {"shedding", Shedding(), [](CoreFixture& f) { return f.Search(1); },
     "503:shedding"},
    {"search done, queued search starts",
     {},
     [](CoreFixture& f) {
       f.Search(1);
       f.Search(2);
       return f.core->OnWorkDone(At(2), WorkId(1), f.held);
     },
     "200 run"},
    {"deadline passes in the queue",
     {},
     [](CoreFixture& f) {
       f.Search(1);
       f.Search(2, 1, 0, 1);
       return f.core->OnWorkDone(At(2), WorkId(1), f.held);
     },
     "200 503:shedding"},
    {"deadline passes while it runs",
     {},
     [](CoreFixture& f) {
       f.Search(1, 1, 0, 1);
       return f.core->OnWorkDone(At(1), WorkId(1), f.held);
     },
     "504:deadline"},
    {"cancelled while it runs",
     {},
     [](CoreFixture& f) {
       f.Search(1);
       f.Search(2);
       return f.core->OnCancel(At(1), AttemptId(1));
     },
     "stop 504:cancelled run"},
    {"cancelled in the queue",
     {},
     [](CoreFixture& f) {
       f.Search(1);
       f.Search(2);
       return f.core->OnCancel(At(1), AttemptId(2));
     },
     "504:cancelled"},
    {"connection closed while it runs",
     {},
     [](CoreFixture& f) {
       f.Search(1);
       return f.core->OnConnectionClosed(At(1), SessionId(1));
     },
     "stop"},
    {"action is recorded and runs",
     {},
     [](CoreFixture& f) { return f.Action(1); },
     "record"},
    {"running action is not cancelled",
     {},
     [](CoreFixture& f) {
       f.Action(1);
       return f.core->OnCancel(At(1), AttemptId(1));
     },
     ""},
    {"queued action is cancelled",
     {},
     [](CoreFixture& f) {
       f.Search(1);
       f.Action(2);
       return f.core->OnCancel(At(1), AttemptId(2));
     },
     "504:cancelled"},
};

}  // namespace

// Guards against a stand-in that differs from a real backend server: one that
// serves a request that a real server refuses, continues after a cancellation
// or the deadline, or cancels an action that runs.
ParameterizedTestParameters(SearcherCore, StepsFollowTheProtocol) {
  return RowIndices(kCoreRows);
}

ParameterizedTest(std::size_t* index, SearcherCore, StepsFollowTheProtocol) {
  const CoreRow& row = kCoreRows[*index];
  CoreFixture fixture(row.behaviour);
  const std::string actual = Describe(row.act(fixture));
  cr_assert_eq(actual, std::string(row.steps),
               "%s: expected \"%s\", actual \"%s\"", row.name, row.steps,
               actual.c_str());
}

namespace {

struct LeavingRow {
  std::int64_t arrival_ms;
  std::uint64_t late;
};

const LeavingRow kLeavingRows[] = {{2999, 0}, {3000, 0}, {3001, 1}};

}  // namespace

// Guards against a counter that misses work sent to a leaving server after the
// grace period, or that counts work within it. Tests use it to find such work.
ParameterizedTestParameters(SearcherCore,
                            CountsWorkAfterTheLeavingGracePeriod) {
  return RowIndices(kLeavingRows);
}

ParameterizedTest(std::size_t* index,
                  SearcherCore,
                  CountsWorkAfterTheLeavingGracePeriod) {
  const LeavingRow& row = kLeavingRows[*index];
  CoreFixture fixture(Draining());
  fixture.core->OnStatus(At(0), fixture.held);
  fixture.core->OnStatus(At(1000), fixture.held);
  fixture.core->OnSearch(At(row.arrival_ms), SessionId(1), {}, fixture.held);
  const std::uint64_t actual = fixture.core->counters().late_work;
  cr_assert_eq(actual, row.late, "at %ld ms: expected %lu, actual %lu",
               row.arrival_ms, row.late, actual);
}

namespace {

struct TextRow {
  const char* bytes;
  const char* path;
  const char* body;
  bool broken;
};

const TextRow kTextRows[] = {
    {"GET /a?b HTTP/1.1\r\nHost: x\r\n\r\n", "/a", "", false},
    {"POST /a HTTP/1.1\r\ncontent-length: 2\r\n\r\nhi", "/a", "hi", false},
    {"POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nhi", nullptr, "", false},
    {"POST /a HTTP/1.1\r\nContent-Length: x\r\n\r\n", nullptr, "", true},
    {"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", nullptr, "",
     true},
    {"nonsense\r\n\r\n", nullptr, "", true},
};

}  // namespace

// Guards against a request whose end is found at the wrong byte, so that the
// rest of the connection would be parsed as other requests than the client
// sent.
ParameterizedTestParameters(TextRequestReader, SplitsRequests) {
  return RowIndices(kTextRows);
}

ParameterizedTest(std::size_t* index, TextRequestReader, SplitsRequests) {
  const TextRow& row = kTextRows[*index];
  TextRequestReader reader;
  reader.Append(row.bytes);
  const auto request = reader.Next();
  cr_assert(request.has_value() == (row.path != nullptr) &&
                reader.is_broken() == row.broken,
            "row %zu: expected broken %d, actual %d", *index, row.broken,
            reader.is_broken());
  if (request) {
    cr_assert(request->path == row.path && request->body == row.body,
              "row %zu: expected %s \"%s\", actual %s \"%s\"", *index, row.path,
              row.body, request->path.c_str(), request->body.c_str());
  }
}

}  // namespace marigold
