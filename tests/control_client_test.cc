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
#include "tests/control_rows.h"
#include "tests/row_indices.h"

namespace marigold {

namespace {

constexpr Duration kPoll = std::chrono::milliseconds(2);
constexpr Duration kPatience = std::chrono::seconds(10);

// Criterion runs each test in a process of its own, several at a time.
Endpoint Address(int number) {
  return {fmt::format("127.78.{}.{}", getpid() / 250 % 250, getpid() % 250 + 1),
          static_cast<std::uint16_t>(7100 + number)};
}

// What a control VM of the test does with a command.
enum class Answer {
  kGrants,
  kRefusesBadRequest,
  kHasNoQuorum,
  kRedirects,
  kSaysMayHaveRunOnce,
  kCloses,
  kClosesOnce,
  kStaysSilent,
};

// A control VM or entry VM that follows a script.
class ScriptedPeer {
 public:
  ScriptedPeer(WorkerPool& pool, const Endpoint& endpoint) {
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

  Answer answer = Answer::kGrants;
  Endpoint leader;
  // Lists that it sends to subscribers and readers; no answer without.
  std::optional<ListUpdate> lists;
  bool has_quorum = true;
  // Goes silent after this many heartbeats from the client.
  int most_heartbeats = 1'000'000;
  std::atomic<int> subscribers = 0;

 private:
  void Serve(const std::shared_ptr<FramedConnection>& connection) {
    FramedHandlers handlers;
    handlers.on_body = [this, connection](const std::string& body) {
      auto decoded =
          Capture<ControlMessage>([&] { return DecodeControlMessage(body); });
      std::visit([&](auto& message) { this->On(*connection, message); },
                 std::get<ControlMessage>(decoded));
    };
    handlers.on_closed = [](CloseReason) {};
    connection->Start(std::move(handlers));
  }

  void On(FramedConnection& connection, const Submit& request) {
    const bool is_first = this->commands++ == 0;
    SubmitReply reply{request.call, {}, {}};
    switch (this->answer) {
      case Answer::kGrants:
        reply.outcome = ControlOutcome(ClaimOutcome{ClaimResult::kGranted, ""});
        break;
      case Answer::kRefusesBadRequest:
        reply.outcome =
            Refusal{Execution::kDidNotRun, Reason::kBadRequest, "scripted", {}};
        break;
      case Answer::kRedirects:
        reply.leader = this->leader;
        [[fallthrough]];
      case Answer::kHasNoQuorum:
        reply.outcome =
            Refusal{Execution::kDidNotRun, Reason::kNoQuorum, "scripted", {}};
        break;
      case Answer::kSaysMayHaveRunOnce:
        reply.outcome =
            Refusal{is_first ? Execution::kMayHaveRun : Execution::kDidNotRun,
                    Reason::kNoQuorum,
                    "scripted",
                    {}};
        break;
      case Answer::kCloses:
      case Answer::kClosesOnce:
        if (this->answer == Answer::kCloses || is_first) {
          connection.Close();
          return;
        }
        reply.outcome = ControlOutcome(ClaimOutcome{ClaimResult::kGranted, ""});
        break;
      case Answer::kStaysSilent:
        return;
    }
    connection.Send(EncodeControlMessage(reply));
  }

  void On(FramedConnection& connection, const Subscribe&) {
    ++this->subscribers;
    if (this->lists) {
      connection.Send(EncodeControlMessage(*this->lists));
    }
    this->SendHeartbeat(connection);
  }

  void On(FramedConnection& connection, const StreamHeartbeat&) {
    if (++this->heartbeats <= this->most_heartbeats) {
      this->SendHeartbeat(connection);
    }
  }

  void On(FramedConnection& connection, const ReadLists& request) {
    if (this->lists) {
      ListsReply reply;
      reply.call = request.call;
      reply.index = this->lists->to;
      reply.whole = this->lists->full_lists;
      connection.Send(EncodeControlMessage(reply));
    }
  }

  template <class Message>
  void On(FramedConnection&, const Message&) {}

  void SendHeartbeat(FramedConnection& connection) {
    connection.Send(EncodeControlMessage(StreamHeartbeat{
        this->lists ? this->lists->to : LogIndex(), this->has_quorum}));
  }

  std::atomic<int> commands = 0;
  std::atomic<int> heartbeats = 0;
  std::unique_ptr<FramedServer> server;
};

ListUpdate ListsAt(std::uint64_t index) {
  Lists lists;
  lists.usage_version = ListVersion(index);
  lists.usage[PlanId("gold")] = Usage("gold");
  return {LogIndex(), LogIndex(index), lists, {}};
}

ControlClientSettings ClientSettings() {
  ControlClientSettings settings;
  settings.vm = VmId("entry-1");
  settings.data_centre = DataCentreId("dc1");
  settings.controls = {Address(1), Address(2)};
  settings.heartbeat_interval = std::chrono::milliseconds(50);
  settings.silence_timeout = std::chrono::milliseconds(500);
  settings.cut_off_after = std::chrono::milliseconds(500);
  return settings;
}

// True as soon as `condition` holds, false after `timeout`.
bool Await(WorkerPool& pool,
           const std::function<bool()>& condition,
           Duration timeout = kPatience) {
  const SystemClock clock;
  const MonotonicTime end = clock.Now() + timeout;
  while (!condition()) {
    if (clock.Now() >= end) {
      return false;
    }
    std::promise<void> polled;
    const TimerHandle timer = pool.After(kPoll, [&] { polled.set_value(); });
    polled.get_future().wait();
  }
  return true;
}

std::string ToText(const SubmitOutcome& outcome) {
  if (const auto* refusal = std::get_if<Refusal>(&outcome)) {
    return fmt::format("{} {}", ToString(refusal->execution),
                       ToString(refusal->reason));
  }
  const auto& known = std::get<ControlOutcome>(outcome);
  return std::get<ClaimOutcome>(known).claim == ClaimResult::kGranted
             ? "granted"
             : "other";
}

struct SubmitRow {
  const char* behaviour;
  // Nothing for a control VM that is not there.
  std::optional<Answer> first;
  std::optional<Answer> second;
  const char* outcome;
};

// Guards against did-not-run for a command that may be in the log, and against
// giving up on a group that has a leader.
const SubmitRow kSubmitRows[] = {
    {"nobody is there", {}, {}, "did_not_run no_quorum"},
    {"the leader answers", Answer::kGrants, Answer::kGrants, "granted"},
    {"one of two is there", {}, Answer::kGrants, "granted"},
    {"the others name the leader", Answer::kRedirects, Answer::kGrants,
     "granted"},
    {"the command is refused for good", Answer::kRefusesBadRequest,
     Answer::kRefusesBadRequest, "did_not_run bad_request"},
    {"there is no quorum", Answer::kHasNoQuorum, Answer::kHasNoQuorum,
     "did_not_run no_quorum"},
    {"the answer is lost once", Answer::kClosesOnce, Answer::kClosesOnce,
     "granted"},
    {"every answer is lost", Answer::kCloses, Answer::kCloses,
     "may_have_run no_quorum"},
    {"nobody answers", Answer::kStaysSilent, Answer::kStaysSilent,
     "may_have_run no_quorum"},
    {"a later refusal does not undo may-have-run", Answer::kSaysMayHaveRunOnce,
     Answer::kSaysMayHaveRunOnce, "may_have_run no_quorum"},
};

struct StartRow {
  const char* behaviour;
  // Indexes that the control VMs and the other entry VM know; 0 for one that is
  // not there.
  std::uint64_t first_control;
  std::uint64_t second_control;
  std::uint64_t peer;
  bool has_quorum;
  // In force once the client says that it is synchronised.
  std::uint64_t in_force;
};

// Guards against an entry VM that serves with older lists than were in force.
const StartRow kStartRows[] = {
    {"both control VMs agree", 5, 5, 0, true, 5},
    {"one control VM lags", 5, 9, 0, true, 9},
    {"the other entry VM knows more", 5, 5, 9, true, 9},
    {"only the other entry VM is there", 0, 0, 9, true, 9},
    {"the control VMs have no quorum", 5, 6, 0, false, 6},
};

}  // namespace

ParameterizedTestParameters(ControlClient, SubmitGivesVerdict) {
  return RowIndices(kSubmitRows);
}

ParameterizedTest(std::size_t* index, ControlClient, SubmitGivesVerdict) {
  const SubmitRow& row = kSubmitRows[*index];
  ListTable table;
  std::unique_ptr<ScriptedPeer> peers[2];
  WorkerPool pool(2);
  const std::optional<Answer> answers[] = {row.first, row.second};
  for (int i = 0; i < 2; ++i) {
    if (answers[i]) {
      peers[i] = std::make_unique<ScriptedPeer>(pool, Address(i + 1));
      peers[i]->answer = *answers[i];
      peers[i]->leader = Address(2);
    }
  }
  ListingTable listing;
  ControlClient client(pool, table, listing, ClientSettings());
  std::promise<SubmitOutcome> outcome;
  client.Submit(ClaimAction(), std::chrono::milliseconds(1500),
                [&](SubmitOutcome result) { outcome.set_value(result); });
  const std::string actual = ToText(outcome.get_future().get());
  cr_assert_eq(actual, std::string(row.outcome), "%s: expected %s, actual %s",
               row.behaviour, row.outcome, actual.c_str());
}

ParameterizedTestParameters(ControlClient, StartsWithTheNewestLists) {
  return RowIndices(kStartRows);
}

ParameterizedTest(std::size_t* index, ControlClient, StartsWithTheNewestLists) {
  const StartRow& row = kStartRows[*index];
  ListTable table;
  std::unique_ptr<ScriptedPeer> peers[3];
  WorkerPool pool(2);
  const std::uint64_t known[] = {row.first_control, row.second_control,
                                 row.peer};
  for (int i = 0; i < 3; ++i) {
    if (known[i] > 0) {
      peers[i] = std::make_unique<ScriptedPeer>(pool, Address(i + 1));
      peers[i]->lists = ListsAt(known[i]);
      peers[i]->has_quorum = row.has_quorum;
    }
  }
  ControlClientSettings settings = ClientSettings();
  settings.peers = {Address(3)};
  ListingTable listing;
  ControlClient client(pool, table, listing, settings);
  cr_assert(std::holds_alternative<bool>(Capture<bool>([&]() -> Result<bool> {
    BOOST_LEAF_CHECK(client.Start());
    return true;
  })));
  const bool synchronised =
      Await(pool, [&] { return client.is_synchronised(); });
  const std::uint64_t actual = synchronised ? table.index().value() : 0;
  cr_assert_eq(actual, row.in_force, "%s: expected %lu, actual %lu",
               row.behaviour, row.in_force, actual);
}

// Guards against an entry VM that serves without any lists.
Test(ControlClient, IsNotSynchronisedWithoutLists) {
  ListTable table;
  WorkerPool pool(2);
  ListingTable listing;
  ControlClient client(pool, table, listing, ClientSettings());
  client.Start();
  const bool synchronised = Await(
      pool, [&] { return client.is_synchronised(); }, std::chrono::seconds(2));
  cr_assert(!synchronised, "expected not synchronised, actual synchronised");
}

// Guards against a stream that went silent and is kept.
Test(ControlClient, SilentStreamIsReplaced) {
  ListTable table;
  std::unique_ptr<ScriptedPeer> peers[2];
  WorkerPool pool(2);
  for (int i = 0; i < 2; ++i) {
    peers[i] = std::make_unique<ScriptedPeer>(pool, Address(i + 1));
    peers[i]->lists = ListsAt(5);
    peers[i]->most_heartbeats = 2;
  }
  ListingTable listing;
  ControlClient client(pool, table, listing, ClientSettings());
  client.Start();
  const bool replaced = Await(pool, [&] {
    return peers[0]->subscribers > 0 && peers[1]->subscribers > 0;
  });
  cr_assert(replaced, "expected a stream to each, actual %d and %d",
            peers[0]->subscribers.load(), peers[1]->subscribers.load());
}

// Guards against following a control VM that is cut off while another one is
// not.
Test(ControlClient, ControlVmWithoutQuorumIsLeft) {
  ListTable table;
  std::unique_ptr<ScriptedPeer> peers[2];
  WorkerPool pool(2);
  for (int i = 0; i < 2; ++i) {
    peers[i] = std::make_unique<ScriptedPeer>(pool, Address(i + 1));
    peers[i]->has_quorum = i == 1;
  }
  ListingTable listing;
  ControlClient client(pool, table, listing, ClientSettings());
  client.Start();
  cr_assert(Await(pool, [&] { return peers[1]->subscribers > 0; }),
            "expected a stream to the VM with a quorum, actual none");
}

// Guards against an entry VM that does not share its lists with another one.
Test(ControlClient, EntryVmAnswersAnother) {
  ListTable tables[2];
  WorkerPool pool(2);
  ControlClientSettings settings = ClientSettings();
  settings.listen = Address(5);
  ListingTable listings[2];
  ControlClient serving(pool, tables[0], listings[0], settings);
  serving.Start();
  tables[0].Apply(MonotonicTime(), ListsAt(7));
  settings.listen = {};
  settings.peers = {Address(5)};
  ControlClient starting(pool, tables[1], listings[1], settings);
  starting.Start();
  cr_assert(Await(pool, [&] { return tables[1].index() == LogIndex(7); }),
            "expected index 7, actual %lu", tables[1].index().value());
}

}  // namespace marigold
