#include "src/net/http/http_client.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <future>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "src/net/http/http_server.h"
#include "tests/row_indices.h"
#include "tests/tcp_server.h"

namespace marigold {

namespace {

struct ReuseRow {
  const char* name;
  std::size_t body_bytes;
  int exchanges;
};

// The client closes a connection if a response arrives before its request was
// sent. If the completion of the write were handled after the read of the
// response, a connection would be closed although its response is whole, and
// the next request would need a new connection.
const ReuseRow kReuseRows[] = {
    {"empty request body", 0, 3000},
    {"request body of 300 bytes, sent in one write", 300, 3000},
    {"request body of 1 MiB, sent in many writes", 1024 * 1024, 100},
};

// Returns the response to one exchange, or nothing if the exchange failed.
std::optional<HttpResponse> ExchangeOnce(HttpConnection& connection,
                                         const std::string& body) {
  std::promise<ExchangeOutcome> done;
  connection.Exchange(
      HttpMethod::kPost, "/", body, std::chrono::seconds(10),
      [&](ExchangeOutcome outcome) { done.set_value(std::move(outcome)); });
  ExchangeOutcome outcome = done.get_future().get();
  auto* response = std::get_if<HttpResponse>(&outcome);
  if (response == nullptr) {
    return std::nullopt;
  }
  return std::move(*response);
}

// More than the client accepts as a whole response.
constexpr std::size_t kEndlessBytes = 16 * 1024 * 1024;

struct EndlessRow {
  const char* scenario;
  std::string begin;
};

const EndlessRow kEndlessRows[] = {
    {"a header", "HTTP/1.1 200 OK\r\nX: "},
    {"the head of a chunk",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5"},
    {"a trailer",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: "},
};

struct BrokenRow {
  const char* scenario;
  std::string response;
  // The response is whole from this number of bytes on.
  std::size_t whole_bytes;
};

const std::string kHeaderWithoutLength = "HTTP/1.1 200 OK\r\nX: y\r\n\r\n";
const std::string kResponseWithLength =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const std::string kResponseInChunks =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n";

const BrokenRow kBrokenRows[] = {
    {"a response with a length", kResponseWithLength,
     kResponseWithLength.size()},
    {"a response in chunks", kResponseInChunks, kResponseInChunks.size()},
    // Ends with its connection, so any part of its body is a whole response.
    {"a response without a length", kHeaderWithoutLength + "ok",
     kHeaderWithoutLength.size()},
};

// Connects to the server and returns the outcome of one exchange.
ExchangeOutcome ConnectAndExchange(WorkerPool& workers,
                                   const Endpoint& endpoint) {
  HttpConnection connection(workers, endpoint);
  std::promise<bool> connected;
  connection.Connect(std::chrono::seconds(10), [&](bool is_connected) {
    connected.set_value(is_connected);
  });
  cr_assert(connected.get_future().get(), "expected a connection, actual none");
  std::promise<ExchangeOutcome> done;
  connection.Exchange(
      HttpMethod::kGet, "/", "", std::chrono::seconds(10),
      [&](ExchangeOutcome outcome) { done.set_value(std::move(outcome)); });
  return done.get_future().get();
}

// A server that answers each request with scripted bytes. It then closes the
// connection if `does_close` is true.
class ScriptedServer {
 public:
  ScriptedServer(WorkerPool& workers, const Endpoint& endpoint, bool does_close)
      : server(workers,
               endpoint,
               [this, does_close](TcpStream& stream, std::string_view) {
                 const std::lock_guard lock(this->mutex);
                 stream.Write(this->response);
                 if (does_close) {
                   stream.Close();
                 }
               }) {}

  void SetResponse(std::string bytes) {
    const std::lock_guard lock(this->mutex);
    this->response = std::move(bytes);
  }

 private:
  std::mutex mutex;
  std::string response;
  TcpServer server;
};

}  // namespace

ParameterizedTestParameters(HttpClient, ConnectionIsReusedAfterEveryReply) {
  return RowIndices(kReuseRows);
}

ParameterizedTest(std::size_t* index,
                  HttpClient,
                  ConnectionIsReusedAfterEveryReply) {
  const ReuseRow& row = kReuseRows[*index];
  WorkerPool workers(2);
  const Endpoint endpoint{"127.0.0.37",
                          static_cast<std::uint16_t>(7140 + *index)};
  HttpServerLimits limits;
  limits.body_bytes = row.body_bytes;
  auto listening = Capture<std::unique_ptr<HttpServer>>([&] {
    return HttpServer::Listen(
        workers, endpoint, limits,
        [](const HttpRequest&, const HttpResponder& respond) { respond({}); });
  });
  HttpConnection connection(workers, endpoint);
  std::promise<bool> connected;
  connection.Connect(std::chrono::seconds(10), [&](bool is_connected) {
    connected.set_value(is_connected);
  });
  cr_assert(connected.get_future().get(), "expected a connection, actual none");
  const std::string body(row.body_bytes, 'x');
  int answered = 0;
  while (answered < row.exchanges && ExchangeOnce(connection, body)) {
    ++answered;
  }
  cr_assert_eq(answered, row.exchanges,
               "%s: expected %d exchanges on one connection, actual %d",
               row.name, row.exchanges, answered);
}

ParameterizedTestParameters(HttpClient, ResponseWithoutEndIsRefused) {
  return RowIndices(kEndlessRows);
}

// Guards against a server that ends this process by a response of which one
// part never ends.
ParameterizedTest(std::size_t* index, HttpClient, ResponseWithoutEndIsRefused) {
  const EndlessRow& row = kEndlessRows[*index];
  WorkerPool workers(2);
  const Endpoint endpoint{"127.0.0.38",
                          static_cast<std::uint16_t>(7140 + *index)};
  ScriptedServer server(workers, endpoint, false);
  server.SetResponse(row.begin + std::string(kEndlessBytes, '5'));
  const ExchangeOutcome outcome = ConnectAndExchange(workers, endpoint);
  workers.Stop();
  const auto* failure = std::get_if<ExchangeFailure>(&outcome);
  cr_assert(failure != nullptr && *failure == ExchangeFailure::kBadResponse,
            "%s without end: expected a bad response", row.scenario);
}

ParameterizedTestParameters(HttpClient, ResponseThatBreaksOffIsNoResponse) {
  return RowIndices(kBrokenRows);
}

// Guards against a response that stops at any byte of its header or body, and
// is taken for a whole one with an empty or short body.
ParameterizedTest(std::size_t* index,
                  HttpClient,
                  ResponseThatBreaksOffIsNoResponse) {
  const BrokenRow& row = kBrokenRows[*index];
  WorkerPool workers(2);
  const Endpoint endpoint{"127.0.0.39",
                          static_cast<std::uint16_t>(7140 + *index)};
  ScriptedServer server(workers, endpoint, true);
  for (std::size_t size = 0; size <= row.response.size(); ++size) {
    server.SetResponse(row.response.substr(0, size));
    const ExchangeOutcome outcome = ConnectAndExchange(workers, endpoint);
    cr_assert_eq(std::holds_alternative<HttpResponse>(outcome),
                 size >= row.whole_bytes, "%s, %zu of %zu bytes", row.scenario,
                 size, row.response.size());
  }
  workers.Stop();
}

}  // namespace marigold
