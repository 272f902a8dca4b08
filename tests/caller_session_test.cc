#include "src/net/forward/caller_session.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <fmt/format.h>
#include <unistd.h>

#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "src/net/forward/caller_listener.h"
#include "tests/raw_client.h"
#include "tests/row_indices.h"

namespace marigold {

namespace {

// Criterion runs tests concurrently, each in its own process, so the address
// depends on the process id.
Endpoint Address() {
  return {fmt::format("127.82.{}.{}", getpid() / 250 % 250, getpid() % 250 + 1),
          7100};
}

constexpr std::size_t kMaxConnections = 10;
constexpr std::size_t kMaxHeaderBytes = 1024;

// Answers every request with status 200.
CallerHandlers AnsweringHandlers() {
  CallerHandlers handlers;
  handlers.on_request = [](const std::shared_ptr<CallerSession>& session,
                           const CallerRequest&) {
    session->Answer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false);
  };
  handlers.on_disconnected = [](const std::shared_ptr<CallerSession>&) {};
  handlers.limits = [] {
    CallerLimits limits;
    limits.header_bytes = kMaxHeaderBytes;
    return limits;
  };
  return handlers;
}

const std::string kChunkedRequest =
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string kLongLine(64 * kMaxHeaderBytes, '5');

struct RequestRow {
  const char* scenario;
  std::string request;
  // The start of the expected answer.
  const char* expected;
};

const RequestRow kRequestRows[] = {
    {"a body in chunks", kChunkedRequest + "2\r\nhi\r\n0\r\n\r\n",
     "HTTP/1.1 200"},
    {"a header without end", "POST / HTTP/1.1\r\nX: " + kLongLine,
     "HTTP/1.1 431"},
    {"the head of a chunk without end", kChunkedRequest + kLongLine,
     "HTTP/1.1 431"},
    {"the extension of a chunk without end", kChunkedRequest + "2;" + kLongLine,
     "HTTP/1.1 431"},
    {"a trailer without end",
     kChunkedRequest + "2\r\nhi\r\n0\r\nX: " + kLongLine, "HTTP/1.1 431"},
};

}  // namespace

// Guards against callers that get no connection, because others have taken all
// of them and send no whole request.
Test(CallerSession, NewCallerTakesThePlaceOfAnIncompleteRequest) {
  WorkerPool pool(1);
  auto listening = Capture<std::unique_ptr<CallerListener>>([&] {
    return CallerListener::Listen(
        pool, Address(), {std::make_shared<Strand>(pool)}, kMaxConnections,
        [](const std::shared_ptr<Strand>&) { return AnsweringHandlers(); });
  });
  const auto& listener = std::get<std::unique_ptr<CallerListener>>(listening);
  std::vector<std::unique_ptr<RawClient>> crowd;
  for (std::size_t i = 0; i < 2 * kMaxConnections; ++i) {
    crowd.push_back(std::make_unique<RawClient>(Address()));
    crowd.back()->Send("GET / HTTP/1.1\r\nX-Unfinished: ");
  }
  RawClient client(Address());
  client.Send("GET / HTTP/1.1\r\n\r\n");
  const std::string answer = client.Receive("\r\n\r\n");
  const std::size_t open_connections = listener->open_connections();
  pool.Stop();
  cr_assert(answer.starts_with("HTTP/1.1 200"), "expected 200, actual \"%s\"",
            answer.c_str());
  cr_assert_leq(open_connections, kMaxConnections,
                "expected at most %zu connections, actual %zu", kMaxConnections,
                open_connections);
}

ParameterizedTestParameters(CallerSession, RequestWithoutEndIsRefused) {
  return RowIndices(kRequestRows);
}

// Guards against a caller whose request takes unbounded memory because a part
// of it never ends.
ParameterizedTest(std::size_t* index,
                  CallerSession,
                  RequestWithoutEndIsRefused) {
  const RequestRow& row = kRequestRows[*index];
  WorkerPool pool(2);
  auto listening = Capture<std::unique_ptr<CallerListener>>([&] {
    return CallerListener::Listen(
        pool, Address(), {std::make_shared<Strand>(pool)}, kMaxConnections,
        [](const std::shared_ptr<Strand>&) { return AnsweringHandlers(); });
  });
  const auto listener =
      std::move(std::get<std::unique_ptr<CallerListener>>(listening));
  const RawClient client(Address());
  client.Send(row.request);
  const std::string answer = client.Receive("\r\n\r\n");
  pool.Stop();
  cr_assert(answer.starts_with(row.expected),
            "%s: expected \"%s\", actual \"%s\"", row.scenario, row.expected,
            answer.c_str());
}

}  // namespace marigold
