#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/policy/fan_out/search_outcome.h"
#include "src/policy/route_reachability.h"
#include "src/queries/known_data_centres.h"
#include "src/tables/control_state.h"
#include "src/tables/control_table.h"
#include "src/tables/list_table.h"
#include "src/wire/control_messages.h"
#include "tests/control_rows.h"
#include "tests/grouped_search_fixture.h"
#include "tests/replication_group.h"
#include "tests/row_indices.h"

namespace marigold {

namespace {

SetEvacuation Start(const char* data_centre) {
  return {DataCentreId(data_centre), true};
}

SetEvacuation Finish(const char* data_centre) {
  return {DataCentreId(data_centre), false};
}

EvacuatedDataCentres SetOf(const std::vector<const char*>& names) {
  EvacuatedDataCentres evacuated;
  for (const char* name : names) {
    SetEvacuated(evacuated, DataCentreId(name), true);
  }
  return evacuated;
}

struct OrderRow {
  const char* behaviour;
  std::vector<SetEvacuation> orders;
  // By order: "c" if it changed the set and "-" if not.
  const char* changes;
  const char* evacuated;
  std::uint64_t lists_index;
};

// Guards against an order that is applied twice, is lost, or reaches entry VMs
// although nothing has changed, and against members that end in different
// states after a race.
const OrderRow kOrderRows[] = {
    {"start", {Start("a")}, "c", "a", 1},
    {"repeated start", {Start("a"), Start("a")}, "c-", "a", 1},
    {"finish", {Start("a"), Finish("a")}, "cc", "", 2},
    {"repeated finish", {Start("a"), Finish("a"), Finish("a")}, "cc-", "", 2},
    {"finish without start", {Finish("a")}, "-", "", 0},
    {"two data centres", {Start("b"), Start("a")}, "cc", "a,b", 2},
    {"one of two ends", {Start("b"), Start("a"), Finish("b")}, "ccc", "a", 3},
    {"start wins a race", {Start("a"), Finish("a"), Start("a")}, "ccc", "a", 3},
    {"finish wins a race",
     {Finish("a"), Start("a"), Finish("a")},
     "-cc",
     "",
     3},
};

bool Apply(ControlState& state, std::uint64_t index, const SetEvacuation& set) {
  return std::get<SetEvacuationOutcome>(
             state.Apply(LogIndex(index), WallTime(), set))
      .changed;
}

}  // namespace

ParameterizedTestParameters(Evacuation, OrdersAreIdempotentAndDurable) {
  return RowIndices(kOrderRows);
}

ParameterizedTest(std::size_t* index,
                  Evacuation,
                  OrdersAreIdempotentAndDurable) {
  const OrderRow& row = kOrderRows[*index];
  ControlState state({});
  std::string changes;
  for (std::size_t i = 0; i < row.orders.size(); ++i) {
    changes += Apply(state, i + 1, row.orders[i]) ? "c" : "-";
    // A member that was restored from an image continues as the others.
    ControlState restored({});
    cr_assert(static_cast<bool>(restored.Restore(state.Serialise())));
    state = std::move(restored);
  }
  cr_assert_eq(changes, std::string(row.changes), "%s: actual %s",
               row.behaviour, changes.c_str());
  cr_assert_eq(ToString(state.evacuated()), std::string(row.evacuated),
               "%s: actual %s", row.behaviour,
               ToString(state.evacuated()).c_str());
  cr_assert_eq(state.lists_index(), LogIndex(row.lists_index), "%s: actual %lu",
               row.behaviour, state.lists_index().value());
}

namespace {

ListUpdate Update(std::uint64_t from,
                  std::uint64_t to,
                  std::optional<EvacuatedDataCentres> evacuated) {
  ListUpdate update{LogIndex(from), LogIndex(to), {}, {}};
  update.evacuated = std::move(evacuated);
  return update;
}

ListUpdate Full(std::uint64_t to, EvacuatedDataCentres evacuated) {
  ListUpdate update{LogIndex(0), LogIndex(to), Lists(), {}};
  update.evacuated = std::move(evacuated);
  return update;
}

struct UpdateRow {
  const char* behaviour;
  std::vector<ListUpdate> updates;
  const char* evacuated;
  int applied;
};

// Guards against an entry VM that returns to an older set, or that loses its
// set through an update of something else.
const UpdateRow kUpdateRows[] = {
    {"a change", {Update(0, 3, SetOf({"a"}))}, "a", 1},
    {"an update of something else",
     {Update(0, 3, SetOf({"a"})), Update(3, 4, std::nullopt)},
     "a",
     2},
    {"the end of the evacuation",
     {Update(0, 3, SetOf({"a"})), Update(3, 4, SetOf({}))},
     "",
     2},
    {"full lists replace the set",
     {Update(0, 3, SetOf({"a"})), Full(5, SetOf({"b"}))},
     "b",
     2},
    {"full lists of an older index are ignored",
     {Update(0, 3, SetOf({"a"})), Full(2, SetOf({}))},
     "a",
     1},
    {"a repeated update is ignored",
     {Update(0, 3, SetOf({"a"})), Update(0, 3, SetOf({}))},
     "a",
     1},
    {"an update over a gap is ignored",
     {Update(0, 3, SetOf({"a"})), Update(4, 5, SetOf({}))},
     "a",
     1},
};

}  // namespace

ParameterizedTestParameters(Evacuation, SetInForceNeverReverts) {
  return RowIndices(kUpdateRows);
}

ParameterizedTest(std::size_t* index, Evacuation, SetInForceNeverReverts) {
  const UpdateRow& row = kUpdateRows[*index];
  ListTable table;
  int applied = 0;
  // The callback may read the table, and the update is in force by then.
  table.OnApplied([&] { applied += table.Evacuated().size() <= 1 ? 1 : 0; });
  for (const ListUpdate& update : row.updates) {
    table.Apply(MonotonicTime(), update);
  }
  cr_assert_eq(ToString(table.Evacuated()), std::string(row.evacuated),
               "%s: actual %s", row.behaviour,
               ToString(table.Evacuated()).c_str());
  cr_assert_eq(applied, row.applied, "%s: actual %d", row.behaviour, applied);
}

// Guards against an entry VM that gets the newest lists of a control VM or of
// another entry VM without the evacuated data centres, whatever it knew before.
Test(Evacuation, EveryWayToTheNewestListsBringsTheSet) {
  ControlTable control({});
  control.Apply(LogIndex(1), WallTime(), PutUsage("u", 0, {Usage("gold")}));
  control.Apply(LogIndex(2), WallTime(), Start("a"));
  control.Apply(LogIndex(3), WallTime(), PutPlans("p", 0, {Plan("c", "gold")}));
  for (std::uint64_t known = 0; known <= 1; ++known) {
    ListTable entry;
    if (known == 1) {
      entry.Apply(
          MonotonicTime(),
          {LogIndex(0), LogIndex(1), {}, {PutUsage("u", 0, {Usage("gold")})}});
    }
    entry.Apply(MonotonicTime(), control.UpdateAfter(LogIndex(known)));
    ListTable peer;
    peer.Apply(MonotonicTime(), entry.FullUpdate());
    cr_assert_eq(ToString(peer.Evacuated()), std::string("a"),
                 "known %lu: actual %s", known,
                 ToString(peer.Evacuated()).c_str());
    cr_assert_eq(peer.index(), LogIndex(3));
  }
  cr_assert_not(control.UpdateAfter(LogIndex(2)).evacuated.has_value(),
                "expected no set in an update of something else");
  cr_assert_eq(ToString(control.Status().evacuated), std::string("a"));
}

namespace {

struct LossRow {
  const char* scenario;
  // True if the followers have the entry of the order when the leader dies.
  bool is_replicated;
};

const LossRow kLossRows[] = {
    {"the leader dies before it has sent the order", false},
    {"the leader dies after it has sent the order", true},
};

std::string EvacuatedBy(const std::vector<std::string>& payloads) {
  ControlState state({});
  std::uint64_t index = 0;
  for (const std::string& payload : payloads) {
    const auto command = DecodeCommand(payload);
    state.Apply(LogIndex(++index), WallTime(), command.value());
  }
  return ToString(state.evacuated());
}

}  // namespace

ParameterizedTestParameters(Evacuation, OrderOfALeaderThatDies) {
  return RowIndices(kLossRows);
}

// Guards against an order that is acknowledged by a leader which dies before
// the commit, and against members that differ after the call is sent again.
ParameterizedTest(std::size_t* index, Evacuation, OrderOfALeaderThatDies) {
  const LossRow& row = kLossRows[*index];
  const std::string order = EncodeCommand(Start("a"));
  TestGroup group(3);
  const std::string first = group.AwaitLeader();
  cr_assert(group.Propose(first, order).status == ProposeStatus::kProposed);
  if (row.is_replicated) {
    // The message arrives after one step, its answer after the next one.
    group.Run(std::chrono::milliseconds(2));
  }
  cr_assert(!group.HasApplied(first, order),
            "%s: expected no acknowledgement yet", row.scenario);
  const StoredState disk = group.TestMemberOf(first).storage.durable;
  group.Crash(first);
  group.AwaitLeader();
  cr_assert(group.Commit(order), "%s: expected a commit", row.scenario);
  group.RestoreDisk(first, disk);
  group.Run(std::chrono::seconds(2));
  for (const auto& [disk_id, member] : group.test_members) {
    const std::string evacuated = EvacuatedBy(member->applied_payloads);
    cr_assert_eq(evacuated, std::string("a"), "%s, %s: actual %s", row.scenario,
                 disk_id.value().c_str(), evacuated.c_str());
  }
}

namespace {

struct KnownRow {
  const char* name;
  bool has_listing;
  DataCentreKnowledge expected;
};

// Guards against an order for a misspelt name that is accepted, and against a
// data centre whose evacuation can't begin or end because one of the sources
// does not name it.
const KnownRow kKnownRows[] = {
    {"own", true, DataCentreKnowledge::kKnown},
    {"member", true, DataCentreKnowledge::kKnown},
    {"subscriber", true, DataCentreKnowledge::kKnown},
    {"entry", true, DataCentreKnowledge::kKnown},
    {"server", true, DataCentreKnowledge::kKnown},
    {"evacuated", true, DataCentreKnowledge::kKnown},
    {"evacuated", false, DataCentreKnowledge::kKnown},
    {"Server", true, DataCentreKnowledge::kUnknown},
    {"nowhere", true, DataCentreKnowledge::kUnknown},
    {"nowhere", false, DataCentreKnowledge::kUndecided},
};

}  // namespace

ParameterizedTestParameters(Evacuation, KnowsDataCentre) {
  return RowIndices(kKnownRows);
}

ParameterizedTest(std::size_t* index, Evacuation, KnowsDataCentre) {
  const KnownRow& row = kKnownRows[*index];
  ControlStatus status;
  status.data_centre = DataCentreId("own");
  Member member;
  member.data_centre = DataCentreId("member");
  status.membership.members = {member};
  status.subscribers.emplace_back().data_centre = DataCentreId("subscriber");
  status.evacuated = SetOf({"evacuated"});
  std::vector<ListedServer> servers(row.has_listing ? 1 : 0);
  for (ListedServer& server : servers) {
    server.data_centre = DataCentreId("server");
  }
  const std::vector<DataCentreId> entry_vms = {DataCentreId("entry")};
  const DataCentreKnowledge actual = FindDataCentre(
      {status, servers, row.has_listing, entry_vms}, DataCentreId(row.name));
  cr_assert(actual == row.expected, "%s: actual %d", row.name,
            static_cast<int>(actual));
}

namespace {

const ServiceId kShard("s");

// A service with servers in three data centres; "a" and "b" are in the first.
class Servers {
 public:
  Servers() : directory({DataCentreId("dc0"), {}}) {
    const std::pair<const char*, const char*> places[] = {
        {"a", "dc0"}, {"b", "dc0"}, {"c", "dc1"}, {"d", "dc2"}};
    for (const auto& [server, data_centre] : places) {
      ListedServer row;
      row.server = BackendServerId(server);
      row.service = kShard;
      row.data_centre = DataCentreId(data_centre);
      this->rows.push_back(row);
    }
    this->directory.ApplyListing(this->now, this->rows);
  }

  std::vector<ServerIndex> Evacuate(const std::vector<const char*>& names) {
    return this->directory.SetEvacuated(this->now, SetOf(names));
  }

  // The data centres that get the next requests, in order.
  std::string Used() {
    std::set<std::string> used;
    std::vector<ServerIndex> tried;
    while (const auto placed = this->directory.PlaceAttempt(
               this->now, kShard, std::chrono::milliseconds(10), tried,
               LeastExpectedDelay(), this->random)) {
      tried.push_back(*placed);
      used.insert(this->directory.ListedServerAt(*placed).data_centre.value());
      this->directory.OnCancelled(this->now, *placed, {}, {});
    }
    std::string names;
    for (const std::string& name : used) {
      names += name + " ";
    }
    return names;
  }

  // Leaves attempts unanswered until the data centre of the server is cut off.
  void CutOff(std::uint64_t server) {
    for (int i = 0; i < 4; ++i) {
      this->directory.OnUncountedOutcome(this->now, ServerIndex(server),
                                         std::chrono::milliseconds(250), {},
                                         false);
    }
    this->now += std::chrono::milliseconds(400);
  }

  MonotonicTime now{std::chrono::seconds(100)};
  std::vector<ListedServer> rows;
  BackendDirectory directory;
  SeededRandom random{1};
};

struct DirectoryRow {
  std::vector<const char*> evacuated;
  const char* used;
  std::size_t retired;
  bool is_available;
};

// Guards against requests to an evacuated data centre, also to a server that is
// listed there only afterwards, and against connections that stay open there.
const DirectoryRow kDirectoryRows[] = {
    {{}, "dc0 dc1 dc2 ", 0, true},
    {{"dc0"}, "dc1 dc2 ", 2, true},
    {{"dc1", "dc2"}, "dc0 ", 2, true},
    {{"dc0", "dc1", "dc2"}, "", 4, false},
    {{"elsewhere"}, "dc0 dc1 dc2 ", 0, true},
};

}  // namespace

ParameterizedTestParameters(Evacuation, DirectoryOffersNoEvacuatedServer) {
  return RowIndices(kDirectoryRows);
}

ParameterizedTest(std::size_t* index,
                  Evacuation,
                  DirectoryOffersNoEvacuatedServer) {
  const DirectoryRow& row = kDirectoryRows[*index];
  Servers servers;
  const std::size_t retired = servers.Evacuate(row.evacuated).size();
  cr_assert_eq(retired, row.retired, "row %zu: actual %zu", *index, retired);
  servers.rows.push_back(servers.rows.front());
  servers.rows.back().server = BackendServerId("new");
  servers.directory.ApplyListing(servers.now, servers.rows);
  cr_assert_eq(servers.Used(), std::string(row.used), "row %zu: actual %s",
               *index, servers.Used().c_str());
  const BackendDirectory& directory = servers.directory;
  cr_assert_eq(directory.HasAvailableServer(servers.now, kShard),
               row.is_available);
  cr_assert_eq(directory.HasAnsweringServer(servers.now, kShard),
               row.is_available);
  cr_assert_eq(directory.FirstPauseEnd(servers.now, kShard).has_value(),
               row.is_available);
  cr_assert_eq(directory.IsWhollyEvacuated(kShard), !row.is_available);
  const std::vector<ServiceId> shards = {kShard};
  for (const auto& item : directory.ServicesByDataCentre(servers.now, shards)) {
    const std::string name = item.data_centre.value() + " ";
    cr_assert(std::string(row.used).find(name) != std::string::npos,
              "row %zu: expected no groups in %s", *index, name.c_str());
  }
  servers.Evacuate({});
  cr_assert_eq(servers.Used(), std::string("dc0 dc1 dc2 "),
               "row %zu: expected requests again, actual %s", *index,
               servers.Used().c_str());
}

// Guards against a request that waits until its deadline although no server may
// get it.
Test(Evacuation, RequestToAWhollyEvacuatedServiceIsRefusedAtOnce) {
  Servers servers;
  servers.Evacuate({"dc0", "dc1", "dc2"});
  ForwardPlan plan;
  plan.targets = {kShard};
  cr_assert_not(HasReachableCoverage(servers.directory, servers.now, plan),
                "expected a refusal");
  const Duration delay = RetryDelay(servers.directory, servers.now, plan);
  cr_assert(delay > Duration::zero(), "expected a time for Retry-After");
}

// Guards against probes of a data centre that is cut off and evacuated, which
// nobody needs.
Test(Evacuation, EvacuatedDataCentreIsNotProbed) {
  Servers servers;
  servers.CutOff(3);
  cr_assert_eq(servers.directory.TakeProbeTargets(servers.now).size(), 1U);
  servers.Evacuate({"dc1"});
  cr_assert_eq(servers.directory.TakeProbeTargets(servers.now).size(), 0U);
}

namespace {

struct ReadinessRow {
  std::vector<const char*> evacuated;
  bool is_other_cut_off;
  bool is_unservable;
};

// Guards against entry VMs that all leave the rotation because of an
// evacuation, and against one that stays although other entry VMs can reach the
// servers that are left.
const ReadinessRow kReadinessRows[] = {
    {{}, true, false},
    {{"dc0"}, true, false},
    {{"dc0", "dc1", "dc2"}, false, false},
    {{"dc0", "dc1", "dc2"}, true, false},
    {{"dc0", "dc2"}, false, false},
    {{"dc0", "dc2"}, true, true},
};

}  // namespace

ParameterizedTestParameters(Evacuation, ReadinessFollowsCutsOnly) {
  return RowIndices(kReadinessRows);
}

ParameterizedTest(std::size_t* index, Evacuation, ReadinessFollowsCutsOnly) {
  const ReadinessRow& row = kReadinessRows[*index];
  Servers servers;
  if (row.is_other_cut_off) {
    servers.CutOff(3);
  }
  servers.Evacuate(row.evacuated);
  RouteTable table;
  FanOut fan_out;
  fan_out.shards = {kShard};
  table.routes.emplace_back().fan_out = fan_out;
  const bool actual = HasUnservableRoute(servers.directory, servers.now, table);
  cr_assert_eq(actual, row.is_unservable, "row %zu: actual %d", *index, actual);
}

// Guards against groups of shards that entry VMs of an evacuated data centre
// are asked to query at its servers.
Test(Evacuation, NoGroupIsPlannedThere) {
  GroupedSearchFixture fixture(36);
  fixture.backends.Access([&](BackendDirectory& directory) {
    directory.SetEvacuated(fixture.now, SetOf({"dc0"}));
  });
  fixture.Start();
  cr_assert(!fixture.queries.empty());
  for (std::size_t query = 0; query < fixture.queries.size(); ++query) {
    cr_assert(fixture.queries[query].aggregator.has_value());
    cr_assert(fixture.DataCentreOf(query) != DataCentreId("dc0"),
              "query %zu: expected another data centre", query);
  }
}

}  // namespace marigold
