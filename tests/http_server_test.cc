#include "src/net/http/http_server.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <future>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "tests/raw_client.h"
#include "tests/row_indices.h"

namespace marigold {

namespace {

constexpr std::uint16_t kPort = 7140;
constexpr auto kWaitLimit = std::chrono::seconds(10);

std::unique_ptr<HttpServer> Listen(WorkerPool& workers,
                                   const std::string& address,
                                   HttpServerLimits limits,
                                   HttpHandler handler) {
  auto listening = Capture<std::unique_ptr<HttpServer>>([&] {
    return HttpServer::Listen(workers, {address, kPort}, limits,
                              std::move(handler));
  });
  return std::move(std::get<std::unique_ptr<HttpServer>>(listening));
}

void Echo(const HttpRequest& request, const HttpResponder& respond) {
  HttpResponse response;
  response.body = "<" + request.path + "|" + request.body + ">";
  respond(std::move(response));
}

template <class T>
T Await(std::promise<T>& promise) {
  auto future = promise.get_future();
  cr_assert(future.wait_for(kWaitLimit) == std::future_status::ready,
            "expected an event within 10 s, actual none");
  return future.get();
}

// Returns the status codes of all responses, followed by those of three marker
// texts that occur: the refusal verdict, the start of an echoed body, and the
// header field that announces a close.
std::string Summarise(const std::string& received) {
  std::string summary;
  std::size_t at = 0;
  while ((at = received.find("HTTP/1.1 ", at)) != std::string::npos) {
    summary += (summary.empty() ? "" : " ") + received.substr(at + 9, 3);
    ++at;
  }
  for (const char* word : {"did_not_run", "<", "Connection: close"}) {
    if (received.find(word) != std::string::npos) {
      summary += std::string(" ") + word;
    }
  }
  return summary;
}

struct RequestRow {
  const char* name;
  std::string request;
  // The expected result of `Summarise`.
  const char* expected;
};

const std::string kLongValue(9000, 'x');

// If the server accepted malformed, oversized or incomplete requests, they
// would reach the handler, get no answer, or keep their connection open
// forever.
const RequestRow kRequestRows[] = {
    {"a complete request",
     "POST /a?b HTTP/1.1\r\nContent-Length: 2\r\nConnection: "
     "close\r\n\r\nhi",
     "200 < Connection: close"},
    {"two pipelined requests",
     "GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\nConnection: close\r\n\r\n",
     "200 200 < Connection: close"},
    {"a chunked body",
     "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n"
     "\r\n2\r\nhi\r\n0\r\n\r\n",
     "200 < Connection: close"},
    {"an HTTP/1.0 request", "GET / HTTP/1.0\r\n\r\n",
     "200 < Connection: close"},
    {"a client that waits for 100 Continue",
     "POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n"
     "Connection: close\r\n\r\nhi",
     "100 200 < Connection: close"},
    {"bytes that are not HTTP", "hello\r\n\r\n",
     "400 did_not_run Connection: close"},
    {"a Content-Length that is not a number",
     "POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n",
     "400 did_not_run Connection: close"},
    {"two different Content-Length fields",
     "POST / HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nhi",
     "400 did_not_run Connection: close"},
    {"a header above the size limit",
     "GET / HTTP/1.1\r\nX: " + kLongValue + "\r\n\r\n",
     "431 did_not_run Connection: close"},
    {"a request line above the size limit",
     "GET /" + kLongValue + " HTTP/1.1\r\n\r\n",
     "431 did_not_run Connection: close"},
    {"a Content-Length above the body limit",
     "POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n",
     "413 did_not_run Connection: close"},
    {"a chunked body above the body limit",
     "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" +
         std::string(101, 'x') + "\r\n0\r\n\r\n",
     "413 did_not_run Connection: close"},
    {"the head of a chunk above the size limit",
     "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" +
         std::string(20'000, '5'),
     "431 did_not_run Connection: close"},
    {"a trailer above the size limit",
     "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: " +
         std::string(20'000, 'x'),
     "431 did_not_run Connection: close"},
    {"a header that stays incomplete", "GET / HTTP/1.1\r\nX: y",
     "408 did_not_run Connection: close"},
    {"a body that stays incomplete",
     "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nhi",
     "408 did_not_run Connection: close"},
    {"no bytes", "", ""},
};

}  // namespace

ParameterizedTestParameters(HttpServer, RequestGetsExpectedResponse) {
  return RowIndices(kRequestRows);
}

ParameterizedTest(std::size_t* index, HttpServer, RequestGetsExpectedResponse) {
  const RequestRow& row = kRequestRows[*index];
  const std::string address = "127.0.41." + std::to_string(*index + 1);
  WorkerPool workers(1);
  HttpServerLimits limits;
  limits.body_bytes = 100;
  limits.read_timeout = std::chrono::milliseconds(50);
  limits.idle_timeout = std::chrono::milliseconds(100);
  const auto server = Listen(workers, address, limits, Echo);
  const RawClient client({address, kPort});
  client.Send(row.request);
  const std::string actual = Summarise(client.Receive());
  workers.Stop();
  cr_assert_eq(actual, std::string(row.expected),
               "%s: expected \"%s\", actual \"%s\"", row.name, row.expected,
               actual.c_str());
}

// Without a limit on connections, a burst of clients would exhaust the memory.
// A client beyond the limit must learn why it is refused.
Test(HttpServer, ConnectionBeyondTheLimitIsRefusedWith503) {
  WorkerPool workers(1);
  HttpServerLimits limits;
  limits.connections = 1;
  const auto server = Listen(workers, "127.0.42.1", limits, Echo);
  const RawClient first({"127.0.42.1", kPort});
  first.Send("GET / HTTP/1.1\r\n\r\n");
  first.Receive(">");
  const RawClient second({"127.0.42.1", kPort});
  const std::string actual = Summarise(second.Receive());
  workers.Stop();
  cr_assert_eq(actual, "503 did_not_run Connection: close",
               "expected 503 did_not_run, actual \"%s\"", actual.c_str());
}

// Without a limit on the sum of all arriving bodies, many large requests at the
// same time would exhaust the memory.
Test(HttpServer, BodiesBeyondTheTotalLimitAreRefused) {
  WorkerPool workers(1);
  HttpServerLimits limits;
  limits.total_body_bytes = 100;
  std::promise<void> begun;
  const auto server = Listen(workers, "127.0.42.2", limits, Echo);
  const RawClient first({"127.0.42.2", kPort});
  first.Send(
      "POST / HTTP/1.1\r\nContent-Length: 60\r\nExpect: 100-continue\r\n\r\n");
  first.Receive("Continue");
  const RawClient second({"127.0.42.2", kPort});
  second.Send("POST / HTTP/1.1\r\nContent-Length: 60\r\n\r\n");
  const std::string actual = Summarise(second.Receive());
  workers.Stop();
  cr_assert_eq(actual, "503 did_not_run Connection: close",
               "expected 503 did_not_run, actual \"%s\"", actual.c_str());
}

// If connections stayed open, clients would keep sending requests to a process
// that is about to stop.
Test(HttpServer, DisabledKeepAliveClosesAfterTheNextResponse) {
  WorkerPool workers(1);
  const auto server = Listen(workers, "127.0.42.3", {}, Echo);
  const RawClient client({"127.0.42.3", kPort});
  server->DisableKeepAlive();
  client.Send("GET / HTTP/1.1\r\n\r\n");
  const std::string actual = Summarise(client.Receive());
  workers.Stop();
  cr_assert_eq(actual, "200 < Connection: close",
               "expected a closing response, actual \"%s\"", actual.c_str());
}

// If a shutdown closed the connection of a request that the handler is still
// working on, its client would get no answer.
Test(HttpServer, DrainWaitsForTheRequestInFlight) {
  WorkerPool workers(2);
  std::promise<HttpResponder> arrived;
  const auto server = Listen(workers, "127.0.42.4", {},
                             [&](const HttpRequest&, HttpResponder respond) {
                               arrived.set_value(std::move(respond));
                             });
  const RawClient client({"127.0.42.4", kPort});
  client.Send("GET / HTTP/1.1\r\n\r\n");
  const HttpResponder respond = Await(arrived);
  std::promise<void> drained;
  server->Drain([&] { drained.set_value(); });
  Echo({}, respond);
  const std::string actual = Summarise(client.Receive());
  Await(drained);
  workers.Stop();
  cr_assert_eq(actual, "200 < Connection: close",
               "expected the response, actual \"%s\"", actual.c_str());
}

// If a shutdown closed the connection of a request that has only partly
// arrived, its client would not know whether the request ran.
Test(HttpServer, DrainWaitsForTheRestOfARequest) {
  WorkerPool workers(2);
  const auto server = Listen(workers, "127.0.42.5", {}, Echo);
  const RawClient client({"127.0.42.5", kPort});
  client.Send(
      "POST / HTTP/1.1\r\nContent-Length: 2\r\nExpect: "
      "100-continue\r\n\r\n");
  client.Receive("Continue");
  std::promise<void> drained;
  server->Drain([&] { drained.set_value(); });
  client.Send("hi");
  const std::string actual = Summarise(client.Receive());
  Await(drained);
  workers.Stop();
  cr_assert_eq(actual, "200 < Connection: close",
               "expected the response, actual \"%s\"", actual.c_str());
}

// If idle connections stayed open, a shutdown would wait for clients that send
// no request.
Test(HttpServer, DrainClosesIdleConnections) {
  WorkerPool workers(2);
  const auto server = Listen(workers, "127.0.42.6", {}, Echo);
  const RawClient client({"127.0.42.6", kPort});
  client.Send("GET / HTTP/1.1\r\n\r\n");
  client.Receive(">");
  std::promise<void> drained;
  server->Drain([&] { drained.set_value(); });
  const std::string actual = Summarise(client.Receive());
  Await(drained);
  workers.Stop();
  cr_assert_eq(actual, "", "expected a close, actual \"%s\"", actual.c_str());
}

// If the server still accepted connections after it has drained, their requests
// would be lost when the process exits.
Test(HttpServer, DrainStopsAcceptingConnections) {
  WorkerPool workers(2);
  const auto server = Listen(workers, "127.0.42.7", {}, Echo);
  std::promise<void> drained;
  server->Drain([&] { drained.set_value(); });
  Await(drained);
  const RawClient client({"127.0.42.7", kPort});
  workers.Stop();
  cr_assert_not(client.is_connected,
                "expected a refused connect, actual success");
}

}  // namespace marigold
