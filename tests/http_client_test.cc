#include "src/net/http/http_client.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <future>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "src/net/http/http_server.h"
#include "tests/row_indices.h"

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

}  // namespace marigold
