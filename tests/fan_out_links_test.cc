#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <fmt/format.h>
#include <unistd.h>

#include <future>
#include <memory>
#include <string>
#include <utility>
#include <variant>

#include "src/net/control/framed_server.h"
#include "src/net/fan_out/aggregator_links.h"
#include "tests/row_indices.h"

namespace marigold {

namespace {

// Criterion runs tests concurrently, each in its own process, so the address
// depends on the process id.
Endpoint Address() {
  return {fmt::format("127.80.{}.{}", getpid() / 250 % 250, getpid() % 250 + 1),
          7100};
}

// How a `ScriptedAggregator` responds to a query.
enum class Behaviour {
  kAnswers,
  // Answers after 1 s.
  kAnswersLate,
  kNotRunning,
  kCloses,
  kSendsBadBytes,
  kSendsUnknownShard,
  kSendsAQuery,
};

class ScriptedAggregator {
 public:
  ScriptedAggregator(WorkerPool& worker_pool, Behaviour scripted)
      : pool(worker_pool), behaviour(scripted) {
    if (scripted == Behaviour::kNotRunning) {
      return;
    }
    auto listening = Capture<std::unique_ptr<FramedServer>>([&] {
      return FramedServer::Listen(
          pool, Address(), {}, 100,
          [this](const std::shared_ptr<FramedConnection>& connection) {
            this->Serve(connection);
          });
    });
    this->server =
        std::move(std::get<std::unique_ptr<FramedServer>>(listening));
  }

 private:
  void Serve(const std::shared_ptr<FramedConnection>& connection) {
    FramedHandlers handlers;
    handlers.on_body = [this, connection](const std::string& body) {
      auto decoded =
          Capture<FanOutMessage>([&] { return DecodeFanOutMessage(body); });
      const auto& message = std::get<FanOutMessage>(decoded);
      if (const auto* query = std::get_if<GroupQuery>(&message)) {
        this->Respond(*connection, *query);
      }
    };
    handlers.on_closed = [](CloseReason) {};
    connection->Start(std::move(handlers));
  }

  void Respond(FramedConnection& connection, const GroupQuery& query) const {
    GroupQueryReport report;
    report.query = query.query;
    report.report.is_final = true;
    report.report.failed = {{0, 1, true}};
    switch (this->behaviour) {
      case Behaviour::kNotRunning:
        return;
      case Behaviour::kAnswers:
        break;
      case Behaviour::kAnswersLate:
        this->pool.PostAfter(std::chrono::seconds(1),
                             [weak = connection.weak_from_this(), report] {
                               if (const auto open = weak.lock()) {
                                 open->Send(EncodeFanOutMessage(report));
                               }
                             });
        return;
      case Behaviour::kCloses:
        connection.Close();
        return;
      case Behaviour::kSendsBadBytes:
        connection.Send("no message");
        return;
      case Behaviour::kSendsUnknownShard:
        report.report.failed = {{9, 1, true}};
        break;
      case Behaviour::kSendsAQuery:
        connection.Send(EncodeFanOutMessage(query));
        return;
    }
    connection.Send(EncodeFanOutMessage(report));
  }

  WorkerPool& pool;
  const Behaviour behaviour;
  std::unique_ptr<FramedServer> server;
};

struct LinkRow {
  const char* scenario;
  Behaviour behaviour;
  const char* expected;
};

const LinkRow kLinkRows[] = {
    {"a report arrives", Behaviour::kAnswers, "report"},
    {"no process listens", Behaviour::kNotRunning, "not_delivered"},
    {"the connection closes after the query", Behaviour::kCloses,
     "may_have_run"},
    {"the bytes are no message", Behaviour::kSendsBadBytes, "may_have_run"},
    {"the report names an unknown shard", Behaviour::kSendsUnknownShard,
     "may_have_run"},
    {"a query comes back", Behaviour::kSendsAQuery, "may_have_run"},
};

}  // namespace

ParameterizedTestParameters(AggregatorLinks, TellsWhetherAQueryMayHaveRun) {
  return RowIndices(kLinkRows);
}

// Guards against running work that is given up because its VM is slow to
// report: a later query gets a new connection, and the report of the first one
// is still used.
Test(AggregatorLinks, SlowAggregatorKeepsItsRunningQueries) {
  WorkerPool pool(2);
  const ScriptedAggregator aggregator(pool, Behaviour::kAnswersLate);
  const auto strand = std::make_shared<Strand>(pool);
  const auto links = std::make_shared<AggregatorLinks>(strand);
  std::promise<std::string> first_outcome;
  const auto begin_query = [&](std::function<void(const char*)> on_outcome) {
    GroupQuery query;
    query.shards = {{ServiceId("s"), std::nullopt}};
    links->Begin(Address(), query,
                 {[on_outcome](const GroupReport&) { on_outcome("report"); },
                  [on_outcome](QueryLoss) { on_outcome("lost"); }});
  };
  std::promise<std::size_t> link_count;
  strand->Post([&] {
    begin_query([&](const char* outcome) { first_outcome.set_value(outcome); });
    // Later than the time after which the link counts as stalled.
    strand->RunAt(strand->Now() + std::chrono::milliseconds(700), [&] {
      begin_query([](const char*) {});
      link_count.set_value(links->link_count());
    });
  });
  cr_assert_eq(link_count.get_future().get(), std::size_t{2});
  const std::string actual = first_outcome.get_future().get();
  cr_assert(actual == "report", "expected report, actual %s", actual.c_str());
  pool.Stop();
}

// Guards against attempts that are used twice because a delivered query is
// taken for an undelivered one, against a crash on messages that another VM
// should not send, and against a query whose end is never reported.
ParameterizedTest(std::size_t* index,
                  AggregatorLinks,
                  TellsWhetherAQueryMayHaveRun) {
  const LinkRow& row = kLinkRows[*index];
  WorkerPool pool(2);
  const ScriptedAggregator aggregator(pool, row.behaviour);
  const auto strand = std::make_shared<Strand>(pool);
  const auto links = std::make_shared<AggregatorLinks>(strand);
  std::promise<std::string> outcome;
  strand->Post([&] {
    GroupQuery query;
    query.shards = {{ServiceId("s"), std::nullopt}};
    links->Begin(Address(), query,
                 {[&](const GroupReport&) { outcome.set_value("report"); },
                  [&](QueryLoss loss) {
                    outcome.set_value(loss == QueryLoss::kNotDelivered
                                          ? "not_delivered"
                                          : "may_have_run");
                  }});
  });
  const std::string actual = outcome.get_future().get();
  cr_assert(actual == row.expected, "%s: expected %s, actual %s", row.scenario,
            row.expected, actual.c_str());
  pool.Stop();
}

}  // namespace marigold
