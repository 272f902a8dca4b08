#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <fmt/format.h>

#include <sstream>
#include <string>
#include <variant>

#include "src/core/invariant.h"
#include "src/policy/connection_pool.h"
#include "tests/row_indices.h"

namespace marigold {

namespace {

// One sequence of events of a pool. Events are separated by commas: `at MS`,
// `offer ID [BEGIN_BEFORE_MS]` (an exchange), `probe ID` (a status call),
// `cancel ID`, `connected C`, `refused C`, `unreachable C`, `replied C`, `last
// C` (a reply after which the connection is closed), `broken C`, `silent C`,
// `unused C`, `closed C`, `limit N`, `mode active|watching|retired`, `timer`.
// Connections count from 1.
struct PoolRow {
  const char* name;
  // The failure that the row guards against.
  const char* guarded_failure;
  const char* events;
  // The steps that the last event returns.
  const char* steps;
};

const PoolRow kPoolRows[] = {
    {"warm connections are opened ahead",
     "the first attempt waiting 6 ms for a connect", "limit 3",
     "open 1, open 2"},
    {"no more connections than the limit",
     "an entry VM using up the backend server's connection limit",
     "limit 2, connected 1, connected 2, offer 11, offer 12, offer 13", ""},
    {"a spare is opened while one is used",
     "the next attempt waiting for a connect",
     "limit 3, connected 1, connected 2, offer 11, offer 12",
     "begin 12 on 1, open 3"},
    {"waiting exchanges begin in order of arrival",
     "a later attempt overtaking an earlier one",
     "limit 1, connected 1, offer 11, offer 12, offer 13, replied 1",
     "begin 12 on 1"},
    {"a cancelled waiting exchange is never sent",
     "a server working on an attempt that was cancelled",
     "limit 1, connected 1, offer 11, offer 12, offer 13, cancel 12, replied 1",
     "begin 13 on 1"},
    {"an expired waiting exchange fails as not begun",
     "an attempt sent after its deadline",
     "limit 1, connected 1, offer 11, offer 12 50, at 60, timer",
     "fail 12 not_begun"},
    {"an expired exchange is not begun when a connection gets free",
     "an attempt sent after its deadline",
     "limit 1, connected 1, offer 11, offer 12 50, at 60, replied 1",
     "fail 12 not_begun"},
    {"cancelling tells the server over an idle connection",
     "a reconnect for each cancelled hedge",
     "limit 2, connected 1, connected 2, offer 11, cancel 11",
     "cancel 11 on 1"},
    {"cancelling without an idle connection closes",
     "a cancelled attempt occupying a connection until its reply",
     "limit 1, connected 1, offer 11, cancel 11", "close 1, open 2"},
    {"an abandoned connection is used again only after its reply",
     "a late reply reaching another request",
     "limit 2, connected 1, connected 2, offer 11, cancel 11, offer 12, "
     "replied 1",
     "begin 12 on 1"},
    {"an abandoned connection without a reply is closed and idle ones probed",
     "a silent connection staying open",
     "limit 2, connected 1, connected 2, offer 11, cancel 11, replied 1, at "
     "100, timer",
     "close 2, probe 1, open 3"},
    {"a silent connection causes probes of the idle ones",
     "the next attempt going out on another silent connection",
     "limit 3, connected 1, connected 2, offer 11, silent 2",
     "probe 1, open 3"},
    {"a connection is not used for exchanges during its probe",
     "an attempt sent on a connection that may be silent too",
     "limit 2, connected 1, connected 2, offer 11, silent 2, offer 12", ""},
    {"a connection is used again after its probe was answered",
     "a probed connection never being used again",
     "limit 2, connected 1, connected 2, offer 11, silent 2, offer 12, replied "
     "1",
     "begin 12 on 1"},
    {"a connection idle for long is probed",
     "a connection going silent unnoticed while idle",
     "limit 1, connected 1, at 30000, timer", "probe 1"},
    {"a status call takes the connection that was idle longest",
     "status calls verifying the same connection every time",
     "limit 2, connected 1, at 10, connected 2, probe 11", "begin 11 on 1"},
    {"other exchanges take the connection that was used last",
     "load spread over more connections than it needs",
     "limit 2, connected 1, at 10, connected 2, offer 11", "begin 11 on 2"},
    {"a refused connect fails the waiting exchanges",
     "an attempt waiting for a server that is down",
     "limit 1, offer 11, refused 1", "fail 11 not_sent"},
    {"an exchange fails at once during backoff",
     "an attempt waiting for a server that is down",
     "limit 1, refused 1, offer 11", "fail 11 not_sent"},
    {"failed connects are repeated after the backoff",
     "a server that is up again staying unused",
     "limit 1, refused 1, at 100, timer", "open 2"},
    {"failed connects are not repeated before half of the backoff",
     "a storm of connects to a server that is down",
     "limit 1, refused 1, at 49, timer", ""},
    {"only one connection is tried while unreachable",
     "a storm of connects to a server that is down",
     "limit 3, refused 1, refused 2, at 300, timer", "open 3"},
    {"the first connection after a failure is probed",
     "a server that is up again staying lost until the next status call",
     "limit 1, refused 1, at 100, timer, connected 2", "probe 2"},
    {"a connect failure leaves waiting exchanges to open connections",
     "attempts failing while the server replies",
     "limit 2, connected 1, offer 11, offer 12, refused 2", ""},
    {"a closed idle connection is replaced",
     "too few warm connections after the server closed them",
     "limit 2, connected 1, connected 2, closed 1", "open 3"},
    {"a lowered limit closes idle connections",
     "connections beyond the limit after another entry VM joined",
     "limit 2, connected 1, connected 2, limit 1", "close 1"},
    {"connections beyond the warm ones are closed after 30 s without use",
     "connections staying open for ever after a burst",
     "limit 4, connected 1, connected 2, offer 11, offer 12, offer 13, "
     "connected 3, connected 4, replied 1, replied 2, replied 3, at 30000, "
     "timer",
     "close 4, close 1, probe 2, probe 3"},
    {"a retired pool closes idle connections",
     "connections held to a server that left",
     "limit 2, connected 1, connected 2, mode retired", "close 1, close 2"},
    {"a retired pool refuses exchanges", "new work for a leaving server",
     "limit 1, connected 1, mode retired, offer 11", "fail 11 not_sent"},
    {"a retired pool fails the waiting exchanges",
     "new work for a leaving server",
     "limit 1, connected 1, offer 11, offer 12, mode retired",
     "fail 12 not_sent"},
    {"a retired pool lets the exchange in flight end",
     "a reply lost because its server began to leave",
     "limit 1, connected 1, offer 11, mode retired, replied 1", "close 1"},
    {"a watching pool sends no probe", "probes to a draining server",
     "limit 1, connected 1, mode watching, at 30000, timer", ""},
    {"a watching pool keeps one connection",
     "connections held to a draining server",
     "limit 2, connected 1, connected 2, mode watching", "close 1"},
    {"a watching pool reports a restart",
     "a restarted server staying out of use while the platform's list lags",
     "limit 1, connected 1, mode watching, closed 1, refused 2, at 100, timer, "
     "connected 3",
     "restarted, probe 3"},
    {"a watched server that was only unreachable has not restarted",
     "a probe to a draining server after a partition",
     "limit 1, connected 1, mode watching, closed 1, unreachable 2, at 100, "
     "timer, connected 3",
     ""},
};

std::string ToText(const PoolStep& step) {
  struct Printer {
    std::string operator()(const OpenConnection& s) const {
      return fmt::format("open {}", s.connection.value());
    }
    std::string operator()(const BeginExchange& s) const {
      return fmt::format("begin {} on {}", s.exchange.value(),
                         s.connection.value());
    }
    std::string operator()(const BeginProbe& s) const {
      return fmt::format("probe {}", s.connection.value());
    }
    std::string operator()(const BeginCancel& s) const {
      return fmt::format("cancel {} on {}", s.exchange.value(),
                         s.connection.value());
    }
    std::string operator()(const CloseConnection& s) const {
      return fmt::format("close {}", s.connection.value());
    }
    std::string operator()(const FailExchange& s) const {
      return fmt::format("fail {} {}", s.exchange.value(), ToString(s.failure));
    }
    std::string operator()(const ReportRestart&) const { return "restarted"; }
  };
  return std::visit(Printer(), step);
}

MonotonicTime AtMilliseconds(std::uint64_t milliseconds) {
  return MonotonicTime(std::chrono::seconds(1000) +
                       std::chrono::milliseconds(milliseconds));
}

// Passes events to a pool and keeps the steps that the last one returned.
class Script {
 public:
  void Run(const std::string& events) {
    std::istringstream stream(events);
    std::string event;
    while (std::getline(stream, event, ',')) {
      std::istringstream words(event);
      std::string name;
      words >> name;
      this->steps = this->Apply(name, words);
    }
  }

  std::string Steps() const {
    std::string text;
    for (const PoolStep& step : this->steps) {
      text += (text.empty() ? "" : ", ") + ToText(step);
    }
    return text;
  }

 private:
  ConnectionPool::Steps Apply(const std::string& name,
                              std::istringstream& words) {
    if (name == "mode") {
      std::string mode;
      words >> mode;
      return this->pool.SetMode(this->now, mode == "active" ? PoolMode::kActive
                                           : mode == "watching"
                                               ? PoolMode::kWatching
                                               : PoolMode::kRetired);
    }
    std::uint64_t number = 0;
    words >> number;
    if (name == "at") {
      this->now = AtMilliseconds(number);
      return {};
    }
    if (name == "timer") {
      return this->pool.OnTimer(this->now);
    }
    if (name == "limit") {
      return this->pool.SetConnectionLimit(this->now,
                                           static_cast<std::uint32_t>(number));
    }
    if (name == "offer" || name == "probe") {
      std::uint64_t begin_before = 100'000;
      words >> begin_before;
      return this->pool.Submit(
          this->now,
          {AttemptId(number), AtMilliseconds(begin_before), name == "probe"});
    }
    if (name == "cancel") {
      return this->pool.Cancel(this->now, AttemptId(number));
    }
    return this->OnConnection(name, PooledConnectionId(number));
  }

  ConnectionPool::Steps OnConnection(const std::string& name,
                                     PooledConnectionId connection) {
    if (name == "connected") {
      return this->pool.OnConnected(this->now, connection);
    }
    if (name == "refused" || name == "unreachable") {
      return this->pool.OnConnectFailed(this->now, connection,
                                        name == "refused");
    }
    if (name == "closed") {
      return this->pool.OnIdleClosed(this->now, connection);
    }
    const ExchangeEnd end = name == "replied"  ? ExchangeEnd::kReplied
                            : name == "last"   ? ExchangeEnd::kRepliedAndClosed
                            : name == "broken" ? ExchangeEnd::kBroken
                            : name == "silent" ? ExchangeEnd::kSilent
                                               : ExchangeEnd::kUnused;
    return this->pool.OnExchangeEnded(this->now, connection, end);
  }

  ConnectionPool pool{ConnectionPoolSettings(), 1};
  MonotonicTime now = AtMilliseconds(0);
  ConnectionPool::Steps steps;
};

}  // namespace

ParameterizedTestParameters(ConnectionPool, StepsFollowFromEvents) {
  return RowIndices(kPoolRows);
}

ParameterizedTest(std::size_t* index, ConnectionPool, StepsFollowFromEvents) {
  SetViolationReaction(ViolationReaction::kAbort);
  const PoolRow& row = kPoolRows[*index];
  Script script;
  script.Run(row.events);
  const std::string actual = script.Steps();
  cr_assert_eq(actual, std::string(row.steps),
               "%s (guards against %s): expected \"%s\", actual \"%s\"",
               row.name, row.guarded_failure, row.steps, actual.c_str());
}

}  // namespace marigold
