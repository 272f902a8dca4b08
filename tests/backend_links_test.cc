#include "src/net/forward/backend_links.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <fmt/format.h>
#include <unistd.h>

#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "tests/row_indices.h"
#include "tests/tcp_server.h"

namespace marigold {

namespace {

// Criterion runs tests concurrently, each in its own process, so the address
// depends on the process id.
Endpoint Address() {
  return {fmt::format("127.81.{}.{}", getpid() / 250 % 250, getpid() % 250 + 1),
          7100};
}

constexpr unsigned kOk = 200;
constexpr unsigned kUnavailable = 503;

std::string FormatReply(std::string_view request, unsigned status) {
  return fmt::format(
      "HTTP/1.1 {} Reply\r\nX-Request-Id: {}\r\nContent-Length: 0\r\n\r\n",
      status, request);
}

// Returns the value of the header field X-Request-Id.
std::string RequestIdOf(std::string_view request_bytes) {
  const std::string_view name = "X-Request-Id: ";
  const std::size_t begin = request_bytes.find(name) + name.size();
  const std::size_t end = request_bytes.find("\r\n", begin);
  return std::string(request_bytes.substr(begin, end - begin));
}

// A server that rejects each request at first and answers it when it arrives
// again. It sends a late copy of a rejection on the connection that carried it,
// before the reply to the same request.
class RepeatingServer {
 public:
  explicit RepeatingServer(WorkerPool& pool)
      : server(pool,
               Address(),
               [this](TcpStream& stream, std::string_view bytes) {
                 stream.Write(this->Reply(&stream, RequestIdOf(bytes)));
               }) {}

 private:
  std::string Reply(TcpStream* stream, const std::string& request) {
    const std::lock_guard lock(this->mutex);
    const auto [rejection, is_first] =
        this->rejecting_streams.try_emplace(request, stream);
    if (is_first) {
      return FormatReply(request, kUnavailable);
    }
    const bool is_same_connection = rejection->second == stream;
    return (is_same_connection ? FormatReply(request, kUnavailable) : "") +
           FormatReply(request, kOk);
  }

  std::mutex mutex;
  // By request: the connection that carried its rejection.
  std::unordered_map<std::string, TcpStream*> rejecting_streams;
  TcpServer server;
};

// Sends the request and returns the status of the reply, or 0 if there is none.
unsigned Send(const std::shared_ptr<Strand>& strand,
              const std::shared_ptr<BackendLinks>& links,
              const std::string& request) {
  std::promise<unsigned> status;
  strand->Post([&] {
    LinkExchange exchange;
    exchange.request = RequestId(request);
    exchange.request_bytes =
        fmt::format("GET / HTTP/1.1\r\nX-Request-Id: {}\r\n\r\n", request);
    exchange.is_expected = [request](const BackendReply& reply) {
      return reply["X-Request-Id"] == request;
    };
    exchange.on_begin = [] {};
    exchange.on_outcome = [&](const LinkOutcome& outcome) {
      const auto* reply = std::get_if<BackendReply>(&outcome);
      status.set_value(reply == nullptr ? 0 : reply->result_int());
    };
    links->Begin(ServerIndex(1), Address(), std::chrono::seconds(10),
                 std::move(exchange));
  });
  return status.get_future().get();
}

struct LateCopyRow {
  const char* scenario;
  // The requests in the order in which they are sent, and the expected replies.
  std::vector<std::string> requests;
  std::vector<unsigned> expected;
  std::size_t expected_connections;
};

const LateCopyRow kLateCopyRows[] = {
    {"the request is sent again at once",
     {"order", "order"},
     {kUnavailable, kOk},
     2},
    {"another request is sent before it is sent again",
     {"order", "query", "order"},
     {kUnavailable, kUnavailable, kOk},
     2},
    {"several requests are sent again",
     {"order", "query", "order", "query"},
     {kUnavailable, kUnavailable, kOk, kOk},
     2},
    {"different requests share a connection",
     {"order", "query", "list"},
     {kUnavailable, kUnavailable, kUnavailable},
     1},
};

struct RoomRow {
  const char* scenario;
  // The sends that are in progress, and those of the next request.
  std::size_t busy_sends;
  std::size_t next_sends;
  bool expected_room;
};

constexpr std::size_t kMaxLinks = 20;

const RoomRow kRoomRows[] = {
    {"no other request", 0, 10, true},
    {"a request that is larger than the limit is alone", 0, 90, true},
    {"half of the links are not exceeded", 5, 5, true},
    {"half of the links are exceeded", 5, 6, false},
    {"a single send when half of the links are busy", 10, 1, false},
};

// Links that are free and can't carry a request that they have carried before.
constexpr std::size_t kMaxExpectedLinks = 32;

}  // namespace

// Guards against connections that pile up until the process has no descriptors
// left, when a caller sends all its requests with the same id, or with none.
Test(BackendLinks, RepeatedIdOpensBoundedConnections) {
  WorkerPool pool(2);
  const RepeatingServer server(pool);
  const auto strand = std::make_shared<Strand>(pool);
  const auto links = std::make_shared<BackendLinks>(strand, ReplyLimits{});
  for (int i = 0; i < 200; ++i) {
    Send(strand, links, "same");
  }
  std::promise<std::size_t> open_links;
  strand->Post([&] { open_links.set_value(links->open_link_count()); });
  const std::size_t actual = open_links.get_future().get();
  pool.Stop();
  cr_assert_leq(actual, kMaxExpectedLinks,
                "expected at most %zu open connections, actual %zu",
                kMaxExpectedLinks, actual);
}

ParameterizedTestParameters(BackendLinks, RoomForRequestsIsBounded) {
  return RowIndices(kRoomRows);
}

// Guards against descriptors that run out while many requests wait for servers
// that do not answer, and against a large request that is never begun.
ParameterizedTest(std::size_t* index, BackendLinks, RoomForRequestsIsBounded) {
  const RoomRow& row = kRoomRows[*index];
  WorkerPool pool(2);
  const TcpServer silent_server(pool, Address(),
                                [](TcpStream&, std::string_view) {});
  const auto strand = std::make_shared<Strand>(pool);
  const auto links =
      std::make_shared<BackendLinks>(strand, ReplyLimits{}, kMaxLinks);
  std::promise<bool> has_room;
  strand->Post([&] {
    for (std::size_t i = 0; i < row.busy_sends; ++i) {
      LinkExchange exchange;
      exchange.request = RequestId(fmt::format("busy-{}", i));
      exchange.request_bytes = "GET / HTTP/1.1\r\n\r\n";
      exchange.on_outcome = [](const LinkOutcome&) {};
      links->Begin(ServerIndex(1), Address(), std::chrono::seconds(10),
                   std::move(exchange));
    }
    has_room.set_value(links->HasRoomFor(row.next_sends));
  });
  const bool actual = has_room.get_future().get();
  pool.Stop();
  cr_assert_eq(actual, row.expected_room, "%s: expected %d, actual %d",
               row.scenario, row.expected_room, actual);
}

ParameterizedTestParameters(BackendLinks, LateCopyIsNoReplyToASecondSend) {
  return RowIndices(kLateCopyRows);
}

// Guards against a late copy of a rejection that passes for the reply to the
// next send of the same request: a request that runs would be sent once more.
ParameterizedTest(std::size_t* index,
                  BackendLinks,
                  LateCopyIsNoReplyToASecondSend) {
  const LateCopyRow& row = kLateCopyRows[*index];
  WorkerPool pool(2);
  const RepeatingServer server(pool);
  const auto strand = std::make_shared<Strand>(pool);
  const auto links = std::make_shared<BackendLinks>(strand, ReplyLimits{});
  for (std::size_t i = 0; i < row.requests.size(); ++i) {
    const unsigned status = Send(strand, links, row.requests[i]);
    cr_assert_eq(status, row.expected[i],
                 "%s: send %zu: expected status %u, actual %u", row.scenario, i,
                 row.expected[i], status);
  }
  cr_assert_eq(links->opened_link_count(), row.expected_connections,
               "%s: expected %zu connections, actual %zu", row.scenario,
               row.expected_connections, links->opened_link_count());
  pool.Stop();
}

}  // namespace marigold
