#include "src/net/backends/backend_pool.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cstring>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "src/core/invariant.h"
#include "src/net/http/http_server.h"
#include "tests/row_indices.h"

namespace marigold {

namespace {

constexpr auto kWaitLimit = std::chrono::seconds(10);

std::string_view Describe(const PoolOutcome& outcome) {
  if (const auto* failure = std::get_if<AttemptFailure>(&outcome)) {
    return ToString(*failure);
  }
  return "response";
}

// A server that sends the same bytes in reply to the first request of every
// connection, then closes the connection.
class RawServer {
 public:
  // `reply` is sent as it is, so it need not be valid HTTP.
  RawServer(const std::string& address, std::string reply)
      : listener(socket(AF_INET, SOCK_STREAM, 0)), answer(std::move(reply)) {
    sockaddr_in name{};
    name.sin_family = AF_INET;
    inet_pton(AF_INET, address.c_str(), &name.sin_addr);
    bind(this->listener, reinterpret_cast<sockaddr*>(&name), sizeof(name));
    listen(this->listener, SOMAXCONN);
    socklen_t size = sizeof(name);
    getsockname(this->listener, reinterpret_cast<sockaddr*>(&name), &size);
    this->endpoint = {address, ntohs(name.sin_port)};
    this->thread = std::thread([this] { this->Serve(); });
  }

  ~RawServer() {
    shutdown(this->listener, SHUT_RDWR);
    this->thread.join();
    close(this->listener);
  }

  Endpoint endpoint;

 private:
  void Serve() {
    std::vector<std::thread> connections;
    while (true) {
      const int accepted = accept(this->listener, nullptr, nullptr);
      if (accepted < 0) {
        break;
      }
      connections.emplace_back([this, accepted] {
        char buffer[4096];
        if (recv(accepted, buffer, sizeof(buffer), 0) > 0) {
          send(accepted, this->answer.data(), this->answer.size(),
               MSG_NOSIGNAL);
        }
        close(accepted);
      });
    }
    for (std::thread& connection : connections) {
      connection.join();
    }
  }

  int listener;
  std::string answer;
  std::thread thread;
};

PoolRequest MakeRequest(std::uint64_t id,
                        Duration timeout,
                        std::function<void(PoolOutcome)> on_outcome) {
  PoolRequest request;
  request.exchange = AttemptId(id);
  request.path = "/v1/search";
  request.encode = [](MonotonicTime) { return std::string("{}"); };
  request.accepts = [](const HttpResponse& response) {
    return response.body != "other";
  };
  request.on_outcome = std::move(on_outcome);
  request.begin_before = SystemClock().Now() + std::chrono::seconds(5);
  request.reply_timeout = timeout;
  return request;
}

BackendPoolEvents NoEvents() {
  return {[](const HttpResponse&) {}, [] {}, [] {}};
}

struct OutcomeRow {
  const char* reply;
  // The text of the expected outcome: "response" or an attempt failure.
  const char* outcome;
};

// If a failure after the first written byte were reported as "not_sent", an
// action could be sent a second time although it has run. If a truncated
// response or one to another request were accepted, the caller would get a
// wrong answer.
const OutcomeRow kOutcomeRows[] = {
    {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "response"},
    {"HTTP/1.1 200 OK\r\n\r\nok", "response"},
    {"", "connection_lost"},
    {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", "connection_lost"},
    {"nonsense\r\n\r\n", "bad_reply"},
    {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother", "bad_reply"},
};

// An HTTP server that the test controls, and pools that connect to it.
struct Fixture {
  // Tests run in parallel, so each one needs its own address.
  Fixture(const std::string& address, HttpHandler handler)
      : endpoint{address, 7131} {
    auto listening = Capture<std::unique_ptr<HttpServer>>([&] {
      return HttpServer::Listen(this->workers, this->endpoint, {},
                                std::move(handler));
    });
    this->server = std::move(std::get<std::unique_ptr<HttpServer>>(listening));
  }

  std::shared_ptr<BackendPool> MakePool(std::uint32_t connections) {
    BackendPoolSettings settings;
    settings.pool.max_connections = connections;
    auto pool = std::make_shared<BackendPool>(this->workers, this->endpoint,
                                              settings, NoEvents());
    pool->SetConnectionLimit(connections);
    return pool;
  }

  WorkerPool workers{2};
  Endpoint endpoint;
  std::unique_ptr<HttpServer> server;
};

void RespondOk(const HttpResponder& respond) {
  HttpResponse response;
  response.body = "{}";
  respond(std::move(response));
}

template <class T>
T Await(std::promise<T>& promise) {
  auto future = promise.get_future();
  cr_assert(future.wait_for(kWaitLimit) == std::future_status::ready,
            "expected an event within 10 s, actual none");
  return future.get();
}

}  // namespace

ParameterizedTestParameters(BackendPool, OutcomeMatchesTheReply) {
  return RowIndices(kOutcomeRows);
}

ParameterizedTest(std::size_t* index, BackendPool, OutcomeMatchesTheReply) {
  const OutcomeRow& row = kOutcomeRows[*index];
  RawServer server("127.0.0.32", row.reply);
  std::promise<PoolOutcome> done;
  {
    WorkerPool workers(1);
    auto pool = std::make_shared<BackendPool>(
        workers, server.endpoint, BackendPoolSettings(), NoEvents());
    pool->Send(MakeRequest(
        1, std::chrono::seconds(5),
        [&](PoolOutcome outcome) { done.set_value(std::move(outcome)); }));
    const std::string actual(Describe(Await(done)));
    cr_assert_eq(actual, std::string(row.outcome),
                 "reply \"%s\": expected %s, actual %s", row.reply, row.outcome,
                 actual.c_str());
  }
}

// If a refused connect did not fail the exchange, a caller would wait until its
// deadline for a server that does not run.
Test(BackendPool, RefusedConnectIsReportedAsNotSent) {
  WorkerPool workers(1);
  std::promise<PoolOutcome> done;
  auto pool = std::make_shared<BackendPool>(
      workers, Endpoint{"127.0.0.33", 7133}, BackendPoolSettings(), NoEvents());
  pool->Send(MakeRequest(1, std::chrono::seconds(5), [&](PoolOutcome outcome) {
    done.set_value(std::move(outcome));
  }));
  const std::string actual(Describe(Await(done)));
  cr_assert_eq(actual, "not_sent", "expected not_sent, actual %s",
               actual.c_str());
}

// If a missing reply were always attributed to the connection, a server that
// never answers would never count as failing.
Test(BackendPool, MissingReplyOnTheOnlyConnectionIsATimeout) {
  std::vector<HttpResponder> unanswered;
  Fixture fixture("127.0.0.34", [&](const HttpRequest&, HttpResponder respond) {
    unanswered.push_back(std::move(respond));
  });
  const auto pool = fixture.MakePool(1);
  std::promise<PoolOutcome> done;
  pool->Send(MakeRequest(
      1, std::chrono::milliseconds(50),
      [&](PoolOutcome outcome) { done.set_value(std::move(outcome)); }));
  const std::string actual(Describe(Await(done)));
  cr_assert_eq(actual, "timeout", "expected timeout, actual %s",
               actual.c_str());
}

// If one connection gets no reply while later requests on other connections do,
// the fault lies in the connection. The server must not count as failing.
Test(BackendPool, MissingReplyIsSilentWhenANewerExchangeIsAnswered) {
  std::atomic<int> requests = 0;
  HttpResponder unanswered;
  std::promise<void> first_arrived;
  Fixture fixture("127.0.0.35", [&](const HttpRequest&, HttpResponder respond) {
    if (requests++ == 0) {
      unanswered = std::move(respond);
      first_arrived.set_value();
    } else {
      RespondOk(respond);
    }
  });
  const auto pool = fixture.MakePool(2);
  std::promise<PoolOutcome> first;
  std::promise<PoolOutcome> second;
  pool->Send(MakeRequest(
      1, std::chrono::milliseconds(500),
      [&](PoolOutcome outcome) { first.set_value(std::move(outcome)); }));
  Await(first_arrived);
  pool->Send(MakeRequest(2, std::chrono::seconds(5), [&](PoolOutcome outcome) {
    second.set_value(std::move(outcome));
  }));
  Await(second);
  const std::string actual(Describe(Await(first)));
  cr_assert_eq(actual, "silent", "expected silent, actual %s", actual.c_str());
}

// If the cancellation did not reach the server, it would keep working on an
// attempt whose result nobody uses.
Test(BackendPool, CancelReachesTheServer) {
  std::promise<void> arrived;
  std::promise<std::string> cancelled;
  HttpResponder unanswered;
  Fixture fixture("127.0.0.36",
                  [&](const HttpRequest& request, HttpResponder respond) {
                    if (request.path == "/v1/cancel") {
                      cancelled.set_value(request.body);
                      RespondOk(respond);
                    } else if (request.path == "/v1/search") {
                      unanswered = std::move(respond);
                      arrived.set_value();
                    } else {
                      RespondOk(respond);
                    }
                  });
  const auto pool = fixture.MakePool(2);
  std::promise<PoolOutcome> other;
  pool->Send(
      MakeRequest(7, std::chrono::seconds(5), [](const PoolOutcome&) {}));
  Await(arrived);
  // Once this exchange has its response, its connection is idle and can carry
  // the cancellation.
  PoolRequest second = MakeRequest(
      8, std::chrono::seconds(5),
      [&](PoolOutcome outcome) { other.set_value(std::move(outcome)); });
  second.path = "/other";
  pool->Send(std::move(second));
  Await(other);
  pool->Cancel(AttemptId(7));
  const std::string actual = Await(cancelled);
  cr_assert_eq(actual, R"({"attempt_id":7})",
               "expected {\"attempt_id\":7}, actual %s", actual.c_str());
}

}  // namespace marigold
