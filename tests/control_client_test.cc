#include "src/net/control/control_client.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <fmt/format.h>
#include <unistd.h>

#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <variant>

#include "src/core/clock.h"
#include "src/net/control/framed_server.h"
#include "src/wire/control_messages.h"
#include "tests/await.h"
#include "tests/control_rows.h"
#include "tests/row_indices.h"

namespace marigold {

namespace {

// Criterion runs tests concurrently, each in its own process, so the address
// depends on the process id.
Endpoint Address(int number) {
  return {fmt::format("127.78.{}.{}", getpid() / 250 % 250, getpid() % 250 + 1),
          static_cast<std::uint16_t>(7100 + number)};
}

// How a `ScriptedPeer` responds to a command.
enum class SubmitBehaviour {
  kGrants,
  kRefusesBadRequest,
  kHasNoQuorum,
  kRedirects,
  kSaysMayHaveRunOnce,
  kCloses,
  kClosesOnce,
  kStaysSilent,
};

// A control VM or entry VM with scripted responses.
class ScriptedPeer {
 public:
  ScriptedPeer(WorkerPool& worker_pool, const Endpoint& endpoint)
      : pool(worker_pool) {
    auto listening = Capture<std::unique_ptr<FramedServer>>([&] {
      return FramedServer::Listen(
          pool, endpoint, {}, 100,
          [this](const std::shared_ptr<FramedConnection>& connection) {
            this->Serve(connection);
          });
    });
    this->server =
        std::move(std::get<std::unique_ptr<FramedServer>>(listening));
  }

  SubmitBehaviour submit_behaviour = SubmitBehaviour::kGrants;
  // The leader that `kRedirects` names.
  Endpoint leader;
  // The lists sent to subscribers and readers. If absent, none are sent, and
  // requests for lists are not answered.
  std::optional<ListUpdate> lists;
  std::atomic<bool> has_quorum = true;
  // The control VMs that heartbeats and replies name.
  std::vector<ControlVmLocation> controls;
  // Sent to subscribers.
  std::vector<AggregatorUpdate> aggregators;
  // The index in heartbeats, if it is not that of `lists`.
  std::optional<LogIndex> reported_index;
  // Accepts connections and sends nothing.
  std::atomic<bool> is_frozen = false;
  // Requests for lists are answered after this time.
  Duration reply_delay{};
  // True if replies say that this control VM is the leader.
  bool leads = false;
  // The leader that replies to requests for lists name.
  std::optional<Endpoint> known_leader;
  // The peer stops sending heartbeats after it has received this number of
  // them.
  int max_heartbeats = 1'000'000;
  std::atomic<int> subscriber_count = 0;
  // The number of requests that were answered with the lists.
  std::atomic<int> full_replies = 0;

 private:
  void Serve(const std::shared_ptr<FramedConnection>& connection) {
    FramedHandlers handlers;
    handlers.on_body = [this, connection](const std::string& body) {
      if (this->is_frozen) {
        return;
      }
      auto decoded =
          Capture<ControlMessage>([&] { return DecodeControlMessage(body); });
      std::visit([&](auto& message) { this->On(*connection, message); },
                 std::get<ControlMessage>(decoded));
    };
    handlers.on_closed = [](CloseReason) {};
    connection->Start(std::move(handlers));
  }

  void On(FramedConnection& connection, const Submit& request) {
    const bool is_first = this->command_count++ == 0;
    SubmitReply reply{request.call, {}, {}};
    switch (this->submit_behaviour) {
      case SubmitBehaviour::kGrants:
        reply.outcome = ControlOutcome(ClaimOutcome{ClaimResult::kGranted, ""});
        break;
      case SubmitBehaviour::kRefusesBadRequest:
        reply.outcome =
            Refusal{Execution::kDidNotRun, Reason::kBadRequest, "scripted", {}};
        break;
      case SubmitBehaviour::kRedirects:
        reply.leader = this->leader;
        [[fallthrough]];
      case SubmitBehaviour::kHasNoQuorum:
        reply.outcome =
            Refusal{Execution::kDidNotRun, Reason::kNoQuorum, "scripted", {}};
        break;
      case SubmitBehaviour::kSaysMayHaveRunOnce:
        reply.outcome =
            Refusal{is_first ? Execution::kMayHaveRun : Execution::kDidNotRun,
                    Reason::kNoQuorum,
                    "scripted",
                    {}};
        break;
      case SubmitBehaviour::kCloses:
      case SubmitBehaviour::kClosesOnce:
        if (this->submit_behaviour == SubmitBehaviour::kCloses || is_first) {
          connection.Close();
          return;
        }
        reply.outcome = ControlOutcome(ClaimOutcome{ClaimResult::kGranted, ""});
        break;
      case SubmitBehaviour::kStaysSilent:
        return;
    }
    connection.Send(EncodeControlMessage(reply));
  }

  void On(FramedConnection& connection, const Subscribe&) {
    ++this->subscriber_count;
    if (this->lists) {
      connection.Send(EncodeControlMessage(*this->lists));
    }
    for (const AggregatorUpdate& update : this->aggregators) {
      connection.Send(EncodeControlMessage(update));
    }
    this->SendHeartbeat(connection);
  }

  void On(FramedConnection& connection, const StreamHeartbeat&) {
    if (++this->heartbeat_count <= this->max_heartbeats) {
      this->SendHeartbeat(connection);
    }
  }

  void On(FramedConnection& connection, const ReadLists& request) {
    if (this->lists) {
      ListsReply reply;
      reply.call = request.call;
      reply.index = this->lists->to;
      if (request.known_index < reply.index) {
        reply.full_lists = this->lists->full_lists;
        ++this->full_replies;
      }
      reply.is_confirmed = this->leads;
      reply.leader = this->known_leader;
      reply.controls = this->controls;
      this->pool.PostAfter(this->reply_delay,
                           [weak = connection.weak_from_this(), reply] {
                             if (const auto open = weak.lock()) {
                               open->Send(EncodeControlMessage(reply));
                             }
                           });
    }
  }

  template <class Message>
  void On(FramedConnection&, const Message&) {}

  void SendHeartbeat(FramedConnection& connection) {
    const LogIndex index = this->lists ? this->lists->to : LogIndex();
    StreamHeartbeat heartbeat{this->reported_index.value_or(index),
                              this->has_quorum};
    heartbeat.controls = this->controls;
    connection.Send(EncodeControlMessage(heartbeat));
  }

  WorkerPool& pool;
  std::atomic<int> command_count = 0;
  std::atomic<int> heartbeat_count = 0;
  std::unique_ptr<FramedServer> server;
};

ListUpdate ListsAt(std::uint64_t index) {
  Lists lists;
  lists.usage_version = ListVersion(index);
  lists.usage[PlanId("gold")] = Usage("gold");
  return {LogIndex(), LogIndex(index), lists, {}};
}

ControlClientSettings TestClientSettings() {
  ControlClientSettings settings;
  settings.vm = VmId("entry-1");
  settings.data_centre = DataCentreId("dc1");
  settings.controls = {Address(1), Address(2)};
  settings.heartbeat_interval = std::chrono::milliseconds(50);
  settings.silence_timeout = std::chrono::milliseconds(500);
  settings.start_without_quorum_after = std::chrono::milliseconds(500);
  return settings;
}

std::string ToText(const SubmitOutcome& outcome) {
  if (const auto* refusal = std::get_if<Refusal>(&outcome)) {
    return fmt::format("{} {}", ToString(refusal->execution),
                       ToString(refusal->reason));
  }
  const auto& control_outcome = std::get<ControlOutcome>(outcome);
  return std::get<ClaimOutcome>(control_outcome).claim_result ==
                 ClaimResult::kGranted
             ? "granted"
             : "other";
}

struct SubmitRow {
  const char* scenario;
  // Absent for a control VM that is not running.
  std::optional<SubmitBehaviour> first_control;
  std::optional<SubmitBehaviour> second_control;
  const char* expected_outcome;
};

// Guards against a did-not-run refusal for a command that may be in the log,
// after which the caller would run it a second time, and against a refusal
// although the group has a leader.
const SubmitRow kSubmitRows[] = {
    {"no control VM is running", {}, {}, "did_not_run no_quorum"},
    {"the leader accepts the command", SubmitBehaviour::kGrants,
     SubmitBehaviour::kGrants, "granted"},
    {"one of two control VMs is running",
     {},
     SubmitBehaviour::kGrants,
     "granted"},
    {"a follower redirects to the leader", SubmitBehaviour::kRedirects,
     SubmitBehaviour::kGrants, "granted"},
    {"the command is invalid", SubmitBehaviour::kRefusesBadRequest,
     SubmitBehaviour::kRefusesBadRequest, "did_not_run bad_request"},
    {"no control VM has a quorum", SubmitBehaviour::kHasNoQuorum,
     SubmitBehaviour::kHasNoQuorum, "did_not_run no_quorum"},
    {"the first reply is lost", SubmitBehaviour::kClosesOnce,
     SubmitBehaviour::kClosesOnce, "granted"},
    {"every reply is lost", SubmitBehaviour::kCloses, SubmitBehaviour::kCloses,
     "may_have_run no_quorum"},
    {"no control VM replies", SubmitBehaviour::kStaysSilent,
     SubmitBehaviour::kStaysSilent, "may_have_run no_quorum"},
    {"a did-not-run refusal follows a may-have-run refusal",
     SubmitBehaviour::kSaysMayHaveRunOnce, SubmitBehaviour::kSaysMayHaveRunOnce,
     "may_have_run no_quorum"},
};

struct StartRow {
  const char* scenario;
  // Indexes of the lists of the control VMs and the other entry VM. 0 for a VM
  // that is not running.
  std::uint64_t first_control;
  std::uint64_t second_control;
  std::uint64_t other_entry_vm;
  bool has_quorum;
  // The index in the list table when the client reports that it is
  // synchronised.
  std::uint64_t expected_index;
  // The time after which the second control VM and the other entry VM reply.
  Duration reply_delay = Duration::zero();
};

// Guards against an entry VM that serves requests with outdated lists because
// it took the first lists that it received.
const StartRow kStartRows[] = {
    {"both control VMs have the same lists", 5, 5, 0, true, 5},
    {"the first control VM has older lists", 5, 9, 0, true, 9},
    {"the other entry VM has newer lists", 5, 5, 9, true, 9},
    {"only the other entry VM is running", 0, 0, 9, true, 9},
    {"the control VMs have no quorum", 5, 6, 0, false, 6},
    {"the control VM with newer lists replies late", 5, 9, 0, true, 9,
     std::chrono::milliseconds(200)},
    {"the entry VM with newer lists replies late", 5, 5, 9, true, 9,
     std::chrono::milliseconds(200)},
};

struct LearnRow {
  const char* scenario;
  // How the client knows the other entry VM.
  bool is_in_settings;
  bool is_announced;
  // True if the set that is announced last does not contain it.
  bool is_missing_later;
};

const LearnRow kLearnRows[] = {
    {"the settings name the other entry VM", true, false, false},
    {"the control VM has announced the other entry VM", false, true, false},
    {"a new control VM has not heard of the other entry VM yet", false, true,
     true},
};

}  // namespace

ParameterizedTestParameters(ControlClient, SubmitReportsOutcome) {
  return RowIndices(kSubmitRows);
}

ParameterizedTest(std::size_t* index, ControlClient, SubmitReportsOutcome) {
  const SubmitRow& row = kSubmitRows[*index];
  ListTable table;
  ListingTable listing;
  WorkerPool pool(2);
  std::unique_ptr<ScriptedPeer> peers[2];
  const std::optional<SubmitBehaviour> submit_behaviours[] = {
      row.first_control, row.second_control};
  for (int i = 0; i < 2; ++i) {
    if (submit_behaviours[i]) {
      peers[i] = std::make_unique<ScriptedPeer>(pool, Address(i + 1));
      peers[i]->submit_behaviour = *submit_behaviours[i];
      peers[i]->leader = Address(2);
    }
  }
  ControlClient client(pool, table, listing, TestClientSettings());
  std::promise<SubmitOutcome> outcome;
  client.Submit(ClaimAction(), std::chrono::milliseconds(1500),
                [&](SubmitOutcome result) { outcome.set_value(result); });
  const std::string actual = ToText(outcome.get_future().get());
  pool.Stop();
  cr_assert_eq(actual, std::string(row.expected_outcome),
               "%s: expected %s, actual %s", row.scenario, row.expected_outcome,
               actual.c_str());
}

// Guards against a refusal as overloaded, which callers understand as a full
// queue, if the connection to the control VM was refused before the command was
// queued.
Test(ControlClient, RefusedConnectionIsNoFullQueue) {
  constexpr int kCommands = 2'000;
  ListTable table;
  ListingTable listing;
  WorkerPool pool(2);
  ControlClient client(pool, table, listing, TestClientSettings());
  std::atomic<int> overloaded = 0;
  for (int i = 0; i < kCommands; ++i) {
    std::promise<void> done;
    client.Submit(ClaimAction(), std::chrono::microseconds(500),
                  [&](const SubmitOutcome& outcome) {
                    overloaded += ToText(outcome) == "did_not_run overloaded";
                    done.set_value();
                  });
    done.get_future().get();
  }
  pool.Stop();
  cr_assert_eq(overloaded.load(), 0, "expected 0 of %d, actual %d", kCommands,
               overloaded.load());
}

// Guards against a start of all VMs at which each of them gets the lists
// several times, from control VMs of other data centres too.
Test(ControlClient, GetsTheListsOnceIfTheStreamBringsThem) {
  ListTable table;
  ListingTable listing;
  WorkerPool pool(2);
  ScriptedPeer first(pool, Address(1));
  ScriptedPeer second(pool, Address(2));
  first.lists = ListsAt(5);
  second.lists = ListsAt(5);
  ControlClient client(pool, table, listing, TestClientSettings());
  cr_assert(std::holds_alternative<bool>(Capture<bool>([&]() -> Result<bool> {
    BOOST_LEAF_CHECK(client.Start());
    return true;
  })));
  cr_assert(Await(pool, [&] { return client.is_synchronised(); }));
  const int full_replies = first.full_replies + second.full_replies;
  cr_assert_eq(full_replies, 0, "actual %d", full_replies);
  pool.Stop();
}

// Guards against a start that waits for a VM that does not answer although the
// leader has confirmed the lists. The settings do not name the leader.
Test(ControlClient, LeaderReplyMakesOtherRepliesUnnecessary) {
  ListTable table;
  ListingTable listing;
  WorkerPool pool(2);
  ScriptedPeer follower(pool, Address(1));
  ScriptedPeer silent_control(pool, Address(2));
  ScriptedPeer leader(pool, Address(4));
  follower.lists = ListsAt(5);
  follower.known_leader = Address(4);
  leader.lists = ListsAt(9);
  leader.leads = true;
  ControlClientSettings settings = TestClientSettings();
  settings.start_without_quorum_after = kWaitLimit;
  ControlClient client(pool, table, listing, settings);
  cr_assert(std::holds_alternative<bool>(Capture<bool>([&]() -> Result<bool> {
    BOOST_LEAF_CHECK(client.Start());
    return true;
  })));
  // A request without a reply ends after 1 s.
  const bool is_synchronised = Await(
      pool, [&] { return client.is_synchronised(); },
      std::chrono::milliseconds(900));
  cr_assert(is_synchronised, "expected a start with the leader's reply");
  cr_assert_eq(table.index(), LogIndex(9), "expected 9, actual %lu",
               table.index().value());
  pool.Stop();
}

ParameterizedTestParameters(ControlClient, StartsWithTheNewestLists) {
  return RowIndices(kStartRows);
}

ParameterizedTest(std::size_t* index, ControlClient, StartsWithTheNewestLists) {
  const StartRow& row = kStartRows[*index];
  ListTable table;
  ListingTable listing;
  WorkerPool pool(2);
  std::unique_ptr<ScriptedPeer> peers[3];
  const std::uint64_t list_indexes[] = {row.first_control, row.second_control,
                                        row.other_entry_vm};
  for (int i = 0; i < 3; ++i) {
    if (list_indexes[i] > 0) {
      peers[i] = std::make_unique<ScriptedPeer>(pool, Address(i + 1));
      peers[i]->lists = ListsAt(list_indexes[i]);
      peers[i]->reply_delay = i == 0 ? Duration::zero() : row.reply_delay;
      peers[i]->has_quorum = row.has_quorum;
    }
  }
  ControlClientSettings settings = TestClientSettings();
  settings.peers = {Address(3)};
  ControlClient client(pool, table, listing, settings);
  cr_assert(std::holds_alternative<bool>(Capture<bool>([&]() -> Result<bool> {
    BOOST_LEAF_CHECK(client.Start());
    return true;
  })));
  const bool synchronised =
      Await(pool, [&] { return client.is_synchronised(); });
  const std::uint64_t actual = synchronised ? table.index().value() : 0;
  pool.Stop();
  cr_assert_eq(actual, row.expected_index, "%s: expected %lu, actual %lu",
               row.scenario, row.expected_index, actual);
}

// Guards against an entry VM that serves requests without lists, after every
// request for lists has failed and the wait for a quorum has ended.
Test(ControlClient, IsNotSynchronisedWithoutLists) {
  ListTable table;
  ListingTable listing;
  WorkerPool pool(2);
  ControlClient client(pool, table, listing, TestClientSettings());
  client.Start();
  const bool synchronised = Await(
      pool, [&] { return client.is_synchronised(); }, std::chrono::seconds(2));
  pool.Stop();
  cr_assert(!synchronised, "expected not synchronised, actual synchronised");
}

// Guards against a client that keeps its stream although the control VM has
// stopped sending. The entry VM would then miss all further edits.
Test(ControlClient, SilentStreamIsReplaced) {
  ListTable table;
  ListingTable listing;
  WorkerPool pool(2);
  std::unique_ptr<ScriptedPeer> peers[2];
  for (int i = 0; i < 2; ++i) {
    peers[i] = std::make_unique<ScriptedPeer>(pool, Address(i + 1));
    peers[i]->lists = ListsAt(5);
    peers[i]->max_heartbeats = 2;
  }
  ControlClient client(pool, table, listing, TestClientSettings());
  client.Start();
  const bool replaced = Await(pool, [&] {
    return peers[0]->subscriber_count > 0 && peers[1]->subscriber_count > 0;
  });
  pool.Stop();
  cr_assert(replaced, "expected a stream to each control VM, actual %d and %d",
            peers[0]->subscriber_count.load(),
            peers[1]->subscriber_count.load());
}

// Guards against a client that keeps following a control VM without a quorum.
// Its lists are outdated, while another control VM has newer ones.
Test(ControlClient, ControlVmWithoutQuorumIsReplaced) {
  ListTable table;
  ListingTable listing;
  WorkerPool pool(2);
  std::unique_ptr<ScriptedPeer> peers[2];
  for (int i = 0; i < 2; ++i) {
    peers[i] = std::make_unique<ScriptedPeer>(pool, Address(i + 1));
    peers[i]->has_quorum = i == 1;
  }
  ControlClient client(pool, table, listing, TestClientSettings());
  client.Start();
  const bool is_replaced =
      Await(pool, [&] { return peers[1]->subscriber_count > 0; });
  pool.Stop();
  cr_assert(is_replaced,
            "expected a stream to the VM with a quorum, actual none");
}

struct FollowRow {
  const char* scenario;
  // What is wrong with the first control VM. The second one is well.
  bool is_frozen;
  std::optional<LogIndex> reported_index;
};

const FollowRow kFollowRows[] = {
    {"it has frozen before the start", true, {}},
    {"it reports newer lists than it sends", false, LogIndex(9)},
    {"it reports older lists than the client has", false, LogIndex(4)},
};

ParameterizedTestParameters(ControlClient, ControlVmThatFallsBehindIsLeft) {
  return RowIndices(kFollowRows);
}

// Guards against an entry VM that serves by old routes, because the control VM
// that it follows is connected and claims a quorum but does not deliver what is
// new.
ParameterizedTest(std::size_t* index,
                  ControlClient,
                  ControlVmThatFallsBehindIsLeft) {
  const FollowRow& row = kFollowRows[*index];
  ListTable table;
  ListingTable listing;
  WorkerPool pool(2);
  ScriptedPeer behind(pool, Address(1));
  behind.lists = ListsAt(5);
  behind.is_frozen = row.is_frozen;
  behind.reported_index = row.reported_index;
  ScriptedPeer current(pool, Address(2));
  current.lists = ListsAt(9);
  ControlClientSettings settings = TestClientSettings();
  settings.silence_timeout = std::chrono::seconds(10);
  ControlClient client(pool, table, listing, settings);
  client.Start();
  // The client may follow either control VM at first. Configurations have to be
  // in force within 3 s.
  const bool is_current = Await(
      pool, [&] { return current.subscriber_count > 0; },
      std::chrono::seconds(3));
  const bool is_confirmed = Await(pool, [&] {
    return table.index() == LogIndex(9) &&
           client.lists_confirmed_age() < std::chrono::seconds(1);
  });
  pool.Stop();
  cr_assert(is_current && is_confirmed,
            "%s: expected a stream to the other control VM and confirmed lists "
            "at index 9, actual %d, %d, index %lu",
            row.scenario, is_current, is_confirmed, table.index().value());
}

// Guards against an entry VM that does not serve its lists to others. While no
// control VM is reachable, an entry VM that starts would then have no lists.
Test(ControlClient, EntryVmServesListsToAnother) {
  ListTable tables[2];
  ListingTable listings[2];
  WorkerPool pool(2);
  ControlClientSettings settings = TestClientSettings();
  settings.listen = Address(5);
  ControlClient serving(pool, tables[0], listings[0], settings);
  serving.Start();
  tables[0].Apply(MonotonicTime(), ListsAt(7));
  settings.listen = {};
  settings.peers = {Address(5)};
  ControlClient starting(pool, tables[1], listings[1], settings);
  starting.Start();
  const bool is_served =
      Await(pool, [&] { return tables[1].index() == LogIndex(7); });
  pool.Stop();
  cr_assert(is_served, "expected index 7, actual %lu",
            tables[1].index().value());
}

// Guards against an entry VM that forgets the control VMs which have replaced
// the first ones, because one of the first runs on without a quorum and lists
// only the members that it knew.
Test(ControlClient, ReplacedControlVmDoesNotHideItsSuccessors) {
  ListTable table;
  ListingTable listing;
  WorkerPool pool(2);
  ScriptedPeer replaced(pool, Address(1));
  replaced.has_quorum = false;
  replaced.controls = {{Address(1), DataCentreId("dc2")},
                       {Address(3), DataCentreId("dc2")}};
  ScriptedPeer first_successor(pool, Address(2));
  first_successor.lists = ListsAt(5);
  first_successor.controls = {{Address(2), DataCentreId("dc2")},
                              {Address(4), DataCentreId("dc2")}};
  ControlClientSettings settings = TestClientSettings();
  settings.controls = {Address(2), Address(1)};
  ControlClient client(pool, table, listing, settings);
  client.Start();
  cr_assert(Await(pool, [&] { return table.index() == LogIndex(5); }),
            "expected index 5, actual %lu", table.index().value());
  // The client now follows none, and tries all that it knows.
  const int streams_before = replaced.subscriber_count;
  first_successor.is_frozen = true;
  const auto has_tried_replaced = [&] {
    return replaced.subscriber_count > streams_before;
  };
  cr_assert(Await(pool, has_tried_replaced, std::chrono::seconds(5)),
            "expected another stream to the replaced VM, actual none");
  ScriptedPeer second_successor(pool, Address(4));
  second_successor.lists = ListsAt(9);
  const bool is_current = Await(
      pool, [&] { return table.index() == LogIndex(9); },
      std::chrono::seconds(5));
  pool.Stop();
  cr_assert(is_current, "expected index 9, actual %lu", table.index().value());
}

ParameterizedTestParameters(ControlClient, LearnsControlVmsFromAnEntryVm) {
  return RowIndices(kLearnRows);
}

// Guards against an entry VM that keeps old routes for good, because all
// control VMs that it knew were replaced while it could reach none of them.
ParameterizedTest(std::size_t* index,
                  ControlClient,
                  LearnsControlVmsFromAnEntryVm) {
  const LearnRow& row = kLearnRows[*index];
  ListTable table;
  ListingTable listing;
  WorkerPool pool(2);
  ScriptedPeer replaced(pool, Address(1));
  replaced.lists = ListsAt(5);
  replaced.has_quorum = false;
  ScriptedPeer other_entry_vm(pool, Address(5));
  other_entry_vm.lists = ListsAt(5);
  other_entry_vm.controls = {{Address(2), DataCentreId("dc1")}};
  ScriptedPeer current(pool, Address(2));
  current.lists = ListsAt(9);
  ControlClientSettings settings = TestClientSettings();
  settings.controls = {Address(1)};
  if (row.is_in_settings) {
    settings.peers = {Address(5)};
  }
  if (row.is_announced) {
    replaced.aggregators.push_back(
        {true,
         {{VmId("entry-5"), DataCentreId("dc1"), Address(6), Address(5)}},
         {}});
  }
  if (row.is_missing_later) {
    replaced.aggregators.push_back({true, {}, {}});
  }
  ControlClient client(pool, table, listing, settings);
  client.SetAggregatorsHandler([](const AggregatorUpdate&) {});
  client.Start();
  const bool is_current = Await(
      pool, [&] { return table.index() == LogIndex(9); },
      std::chrono::seconds(4));
  pool.Stop();
  cr_assert(is_current, "%s: expected index 9, actual %lu", row.scenario,
            table.index().value());
}

// Guards against an entry VM that refuses paid actions for good, because it
// submits commands only to the control VMs of its settings, which were
// replaced.
Test(ControlClient, SubmitReachesTheListedControlVms) {
  ListTable table;
  ListingTable listing;
  WorkerPool pool(2);
  ScriptedPeer replaced(pool, Address(1));
  replaced.lists = ListsAt(5);
  replaced.controls = {{Address(2), DataCentreId("dc1")}};
  replaced.submit_behaviour = SubmitBehaviour::kHasNoQuorum;
  ScriptedPeer current(pool, Address(2));
  current.lists = ListsAt(5);
  current.controls = {{Address(2), DataCentreId("dc1")}};
  ControlClientSettings settings = TestClientSettings();
  settings.controls = {Address(1)};
  ControlClient client(pool, table, listing, settings);
  client.Start();
  cr_assert(Await(pool, [&] { return current.subscriber_count > 0; }),
            "expected a stream to the listed control VM");
  std::promise<SubmitOutcome> outcome;
  client.Submit(ClaimAction{}, std::chrono::seconds(2),
                [&](SubmitOutcome result) { outcome.set_value(result); });
  const std::string actual = ToText(outcome.get_future().get());
  pool.Stop();
  cr_assert_eq(actual, std::string("granted"),
               "expected \"granted\", actual \"%s\"", actual.c_str());
}

// Guards against an entry VM that does not tell others which control VMs it
// follows. One that starts with addresses of control VMs that are gone would
// then find none.
Test(ControlClient, EntryVmNamesItsControlVmsToAnother) {
  ListTable tables[2];
  ListingTable listings[2];
  WorkerPool pool(2);
  ScriptedPeer control(pool, Address(2));
  control.lists = ListsAt(7);
  control.controls = {{Address(2), DataCentreId("dc1")}};
  ControlClientSettings settings = TestClientSettings();
  settings.controls = {Address(2)};
  settings.listen = Address(5);
  ControlClient serving(pool, tables[0], listings[0], settings);
  serving.Start();
  cr_assert(Await(pool, [&] { return serving.is_synchronised(); }),
            "expected that the first entry VM follows the control VM");
  settings.controls = {Address(1)};
  settings.listen = {};
  settings.peers = {Address(5)};
  ControlClient starting(pool, tables[1], listings[1], settings);
  starting.Start();
  const bool follows =
      Await(pool, [&] { return control.subscriber_count >= 2; });
  pool.Stop();
  cr_assert(follows, "expected a stream of each entry VM, actual %d",
            control.subscriber_count.load());
}

}  // namespace marigold
