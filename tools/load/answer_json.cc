#include "tools/load/answer_json.h"

#include <boost/json.hpp>
#include <limits>

#include "src/wire/json.h"

namespace marigold {

namespace {

constexpr std::size_t kMaxIdBytes = 1024;
constexpr std::size_t kMaxTextBytes = 64 * 1024;
constexpr std::uint64_t kMaxNumber = std::numeric_limits<std::uint64_t>::max();
constexpr double kMaxScore = 1e18;
constexpr std::uint64_t kMaxRetryAfterMs = 3'600'000;

}  // namespace

Result<DecodedAnswer> DecodeAnswer(std::string_view body) {
  BOOST_LEAF_AUTO(document, ParseJsonObject(body));
  JsonReader reader(document.get_object(), "");
  DecodedAnswer answer;
  answer.request_id = reader.Text("request_id", 1, kMaxIdBytes);
  answer.snapshot = SnapshotId(reader.Number("snapshot", 0, kMaxNumber));
  answer.coverage = reader.Decimal("coverage", 0, 1);
  answer.covered = reader.Numbers("shards_covered");
  const auto missing = reader.Objects("shards_missing");
  const auto matches = reader.Objects("matches");
  BOOST_LEAF_CHECK(reader.Finish());
  for (const auto* object : missing) {
    JsonReader item(*object, "shards_missing.");
    answer.missing.push_back(item.Number("shard", 0, kMaxNumber));
    item.Text("reason", 1, kMaxIdBytes);
    BOOST_LEAF_CHECK(item.Finish());
  }
  for (const auto* object : matches) {
    JsonReader item(*object, "matches.");
    Match match;
    match.id = item.Text("id", 1, kMaxIdBytes);
    match.score = item.Decimal("score", -kMaxScore, kMaxScore);
    match.text = item.Text("text", 0, kMaxTextBytes);
    BOOST_LEAF_CHECK(item.Finish());
    answer.matches.push_back(std::move(match));
  }
  return answer;
}

Result<DecodedRefusal> DecodeRefusal(std::string_view body) {
  BOOST_LEAF_AUTO(document, ParseJsonObject(body));
  JsonReader reader(document.get_object(), "");
  DecodedRefusal refusal;
  refusal.request_id = reader.Text("request_id", 0, kMaxIdBytes);
  refusal.verdict = reader.Text("verdict", 1, kMaxIdBytes);
  refusal.reason = reader.Text("reason", 1, kMaxIdBytes);
  reader.Text("detail", 0, kMaxTextBytes);
  reader.NumberOr("retry_after_ms", 0, kMaxRetryAfterMs, 0);
  BOOST_LEAF_CHECK(reader.Finish());
  return refusal;
}

}  // namespace marigold
