#include "src/wire/caller_json.h"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <iterator>
#include <limits>
#include <utility>

#include "src/wire/json.h"

namespace marigold {

namespace json = boost::json;

namespace {

constexpr std::size_t kMaxIdBytes = 128;
constexpr std::size_t kMaxTextBytes = 16 * 1024;
constexpr std::uint64_t kMaxDeadlineMs = 60'000;
constexpr std::uint64_t kMaxNumber = std::numeric_limits<std::uint64_t>::max();
// Milliseconds from 1970 to the end of the year 9999.
constexpr std::uint64_t kLatestUnixMs = 253'402'300'799'999;

// Calls `append` for each item and separates the items in `text` by commas.
template <class T, class Append>
void AppendCommaSeparated(const std::vector<T>& items,
                          std::string& text,
                          Append append) {
  bool is_first = true;
  for (const T& item : items) {
    text += is_first ? "" : ",";
    is_first = false;
    append(item);
  }
}

}  // namespace

Result<SearchRequest> DecodeSearchRequest(std::string_view body) {
  BOOST_LEAF_AUTO(document, ParseJsonObject(body));
  JsonReader reader(document.get_object(), "");
  SearchRequest request;
  request.request = RequestId(reader.Text("request_id", 1, kMaxIdBytes));
  request.customer = CustomerId(reader.Text("customer", 1, kMaxIdBytes));
  request.service = ServiceId(reader.Text("service", 1, kMaxIdBytes));
  request.query = reader.Text("query", 0, kMaxTextBytes);
  request.deadline = std::chrono::milliseconds(
      reader.Number("deadline_ms", 1, kMaxDeadlineMs));
  request.minimum_coverage =
      Fraction(reader.DecimalOr("minimum_coverage", 0, 1, 0));
  BOOST_LEAF_CHECK(reader.Finish());
  return request;
}

std::string EncodeSearchAnswer(const RequestId& request,
                               const SearchAnswer& answer) {
  std::string text;
  const auto out = std::back_inserter(text);
  fmt::format_to(
      out,
      R"({{"request_id":{},"snapshot":{},"coverage":{},"shards_covered":[)",
      QuoteJson(request.value()), answer.snapshot.value(),
      Coverage(answer).value());
  AppendCommaSeparated(answer.covered, text, [&](ShardId shard) {
    fmt::format_to(out, "{}", shard.value());
  });
  text += R"(],"shards_missing":[)";
  AppendCommaSeparated(answer.missing, text, [&](const MissingShard& shard) {
    fmt::format_to(out, R"({{"shard":{},"reason":"{}"}})", shard.shard.value(),
                   ToString(shard.reason));
  });
  text += R"(],"matches":[)";
  AppendCommaSeparated(answer.matches, text, [&](const Match& match) {
    fmt::format_to(out, R"({{"id":{},"score":{},"text":{}}})",
                   QuoteJson(match.id), match.score, QuoteJson(match.text));
  });
  text += "]}";
  return text;
}

Result<ActionRequest> DecodeActionRequest(std::string_view body) {
  BOOST_LEAF_AUTO(document, ParseJsonObject(body));
  JsonReader reader(document.get_object(), "");
  ActionRequest request;
  request.request = RequestId(reader.Text("request_id", 1, kMaxIdBytes));
  request.customer = CustomerId(reader.Text("customer", 1, kMaxIdBytes));
  request.service = ServiceId(reader.Text("service", 1, kMaxIdBytes));
  request.shard = ShardId(reader.Number("shard", 0, kMaxNumber));
  request.action = reader.Text("action", 1, kMaxIdBytes);
  request.key = IdempotencyKey(reader.Text("idempotency_key", 1, kMaxIdBytes));
  request.key_issued_at = WallTime(std::chrono::milliseconds(
      reader.Number("key_issued_at_ms", 0, kLatestUnixMs)));
  request.payload = reader.Text("payload", 0, kMaxTextBytes);
  request.deadline = std::chrono::milliseconds(
      reader.Number("deadline_ms", 1, kMaxDeadlineMs));
  BOOST_LEAF_CHECK(reader.Finish());
  return request;
}

std::string EncodeActionAnswer(const RequestId& request,
                               const ActionAnswer& answer) {
  return json::serialize(json::object{
      {"request_id", request.value()},
      {"verdict", ToString(Execution::kRan)},
      {"result", answer.result},
      {"is_repeat", answer.is_repeat},
  });
}

std::string EncodeRefusal(const RequestId& request, const Refusal& refusal) {
  json::object object{
      {"request_id", request.value()},
      {"verdict", ToString(refusal.execution)},
      {"reason", ToString(refusal.reason)},
      {"detail", refusal.detail},
  };
  if (refusal.retry_after) {
    object["retry_after_ms"] = refusal.retry_after->count() / 1000;
  }
  return json::serialize(object);
}

int HttpStatusOf(const Refusal& refusal) {
  switch (refusal.reason) {
    case Reason::kBadRequest:
    case Reason::kInvalidList:
      return 400;
    case Reason::kTooLarge:
      return 413;
    case Reason::kUnknownCustomer:
    case Reason::kServiceNotInPlan:
      return 403;
    case Reason::kUnknownService:
      return 404;
    case Reason::kVersionConflict:
    case Reason::kChangeIdReused:
    case Reason::kKeyReused:
    case Reason::kInProgress:
      return 409;
    case Reason::kKeyExpired:
      return 410;
    case Reason::kRateLimited:
    case Reason::kConcurrencyLimited:
      return 429;
    case Reason::kDeadlineTooShort:
    case Reason::kDeadlineExceeded:
    case Reason::kCoverageTooLow:
      return 504;
    case Reason::kRefusedByServer:
    case Reason::kConnectionLost:
      return 502;
    case Reason::kOverloaded:
    case Reason::kNoSnapshot:
    case Reason::kNoBackendServer:
    case Reason::kStarting:
    case Reason::kStopping:
    case Reason::kNoQuorum:
    case Reason::kStorageFailed:
      return 503;
    case Reason::kInternal:
      return 500;
  }
  return 500;
}

}  // namespace marigold
