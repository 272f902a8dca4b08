#include "src/wire/backend_json.h"

#include <fmt/format.h>

#include <array>
#include <boost/json.hpp>
#include <limits>
#include <utility>

#include "src/wire/json.h"

namespace marigold {

namespace json = boost::json;

namespace {

constexpr std::size_t kMaxIdBytes = 256;
constexpr std::size_t kMaxTextBytes = 64 * 1024;
constexpr std::uint64_t kMaxNumber = std::numeric_limits<std::uint64_t>::max();
constexpr std::uint64_t kMaxCount = 1'000'000;
constexpr double kMaxScore = 1e18;
constexpr std::uint64_t kMaxDeadlineMs = 3'600'000;
constexpr std::size_t kReplyBufferBytes = 8 * 1024;

json::array ToArray(const std::vector<ShardId>& shards) {
  json::array array;
  for (const ShardId shard : shards) {
    array.emplace_back(shard.value());
  }
  return array;
}

std::vector<ShardId> ToShards(const std::vector<std::uint64_t>& numbers) {
  std::vector<ShardId> shards;
  shards.reserve(numbers.size());
  for (const std::uint64_t number : numbers) {
    shards.emplace_back(number);
  }
  return shards;
}

void AddLoadFields(const LoadReport& load, json::object& object) {
  object["load"] = load.load;
  object["newest_snapshot"] = load.newest_snapshot.value();
  object["state"] = ToString(load.state);
}

Result<LoadReport> ReadLoad(JsonReader& reader) {
  LoadReport load;
  load.load = static_cast<std::uint32_t>(reader.Number("load", 0, kMaxCount));
  load.newest_snapshot =
      SnapshotId(reader.Number("newest_snapshot", 0, kMaxNumber));
  const std::string state = reader.Text("state", 1, kMaxIdBytes);
  if (state == "starting") {
    load.state = ServerState::kStarting;
  } else if (state == "serving") {
    load.state = ServerState::kServing;
  } else if (state == "draining") {
    load.state = ServerState::kDraining;
  } else {
    return boost::leaf::new_error(ParseError{
        reader.path() + "state", {}, "starting, serving or draining"});
  }
  return load;
}

std::optional<AttemptFailure> ParseFailureReason(std::string_view reason) {
  // The backend server stopped the work, part of which may have been done.
  if (reason == "cancelled" || reason == "deadline") {
    return AttemptFailure::kTimeout;
  }
  for (const AttemptFailure failure :
       {AttemptFailure::kUnknownSnapshot, AttemptFailure::kUnknownShard,
        AttemptFailure::kShed, AttemptFailure::kDraining,
        AttemptFailure::kStarting}) {
    if (ToString(failure) == reason) {
      return failure;
    }
  }
  return std::nullopt;
}

Result<Match> ReadMatch(const json::object& object, std::string path) {
  JsonReader reader(object, std::move(path));
  Match match;
  match.id = reader.Text("id", 1, kMaxIdBytes);
  match.score = reader.Decimal("score", -kMaxScore, kMaxScore);
  match.text = reader.Text("text", 0, kMaxTextBytes);
  BOOST_LEAF_CHECK(reader.Finish());
  return match;
}

Result<ManifestReport> ReadManifest(const json::object& object,
                                    std::string path) {
  JsonReader reader(object, std::move(path));
  ManifestReport manifest;
  manifest.snapshot = SnapshotId(reader.Number("snapshot", 0, kMaxNumber));
  manifest.all_shards = ToShards(reader.Numbers("all_shards"));
  manifest.shards = ToShards(reader.Numbers("shards"));
  BOOST_LEAF_CHECK(reader.Finish());
  return manifest;
}

}  // namespace

std::string EncodeSubRequest(const SubRequest& request) {
  return fmt::format(
      R"({{"attempt_id":{},"snapshot":{},"shard":{},"query":{},"deadline_ms":{}}})",
      request.attempt.value(), request.snapshot.value(), request.shard.value(),
      QuoteJson(request.query), request.deadline.count() / 1000);
}

Result<SubRequest> DecodeSubRequest(std::string_view body) {
  BOOST_LEAF_AUTO(document, ParseJsonObject(body));
  JsonReader reader(document.get_object(), "");
  SubRequest request;
  request.attempt = AttemptId(reader.Number("attempt_id", 0, kMaxNumber));
  request.snapshot = SnapshotId(reader.Number("snapshot", 0, kMaxNumber));
  request.shard = ShardId(reader.Number("shard", 0, kMaxNumber));
  request.query = reader.Text("query", 0, kMaxTextBytes);
  request.deadline = std::chrono::milliseconds(
      reader.Number("deadline_ms", 0, kMaxDeadlineMs));
  BOOST_LEAF_CHECK(reader.Finish());
  return request;
}

std::string EncodeSubResponse(const SubResponse& response) {
  json::array matches;
  for (const Match& match : response.reply.matches) {
    matches.push_back(json::object{
        {"id", match.id}, {"score", match.score}, {"text", match.text}});
  }
  json::object object{
      {"attempt_id", response.reply.attempt.value()},
      {"snapshot", response.reply.snapshot.value()},
      {"shard", response.reply.shard.value()},
      {"matches", std::move(matches)},
  };
  AddLoadFields(response.load, object);
  return json::serialize(object);
}

Result<SubResponse> DecodeSubResponse(std::string_view body) {
  // Replies are decoded thousands of times a second. Parsing a reply of usual
  // size into this buffer allocates no heap memory.
  std::array<unsigned char, kReplyBufferBytes> buffer;
  json::monotonic_resource memory(buffer.data(), buffer.size());
  BOOST_LEAF_AUTO(document, ParseJsonObject(body, &memory));
  JsonReader reader(document.get_object(), "");
  SubResponse response;
  response.reply.attempt =
      AttemptId(reader.Number("attempt_id", 0, kMaxNumber));
  response.reply.snapshot =
      SnapshotId(reader.Number("snapshot", 0, kMaxNumber));
  response.reply.shard = ShardId(reader.Number("shard", 0, kMaxNumber));
  const auto objects = reader.Objects("matches");
  BOOST_LEAF_ASSIGN(response.load, ReadLoad(reader));
  BOOST_LEAF_CHECK(reader.Finish());
  for (std::size_t i = 0; i < objects.size(); ++i) {
    BOOST_LEAF_AUTO(match,
                    ReadMatch(*objects[i], fmt::format("matches[{}].", i)));
    response.reply.matches.push_back(std::move(match));
  }
  return response;
}

std::string EncodeSubRefusal(const SubRefusal& refusal) {
  return json::serialize(json::object{
      {"attempt_id", refusal.attempt.value()},
      {"reason", ToString(refusal.failure)},
  });
}

Result<SubRefusal> DecodeSubRefusal(std::string_view body) {
  BOOST_LEAF_AUTO(document, ParseJsonObject(body));
  JsonReader reader(document.get_object(), "");
  SubRefusal refusal;
  refusal.attempt = AttemptId(reader.Number("attempt_id", 0, kMaxNumber));
  const std::string reason = reader.Text("reason", 1, kMaxIdBytes);
  BOOST_LEAF_CHECK(reader.Finish());
  const auto failure = ParseFailureReason(reason);
  if (!failure) {
    return boost::leaf::new_error(
        ParseError{"reason", {}, "a reason of the backend protocol"});
  }
  refusal.failure = *failure;
  return refusal;
}

std::string EncodeSubAction(const BackendAction& action) {
  return json::serialize(json::object{
      {"attempt_id", action.attempt.value()},
      {"key", action.key.value()},
      {"action", action.action},
      {"payload", action.payload},
      {"deadline_ms", action.deadline.count() / 1000},
  });
}

Result<BackendAction> DecodeSubAction(std::string_view body) {
  BOOST_LEAF_AUTO(document, ParseJsonObject(body));
  JsonReader reader(document.get_object(), "");
  BackendAction action;
  action.attempt = AttemptId(reader.Number("attempt_id", 0, kMaxNumber));
  action.key = IdempotencyKey(reader.Text("key", 1, kMaxIdBytes));
  action.action = reader.Text("action", 1, kMaxIdBytes);
  action.payload = reader.Text("payload", 0, kMaxTextBytes);
  action.deadline = std::chrono::milliseconds(
      reader.Number("deadline_ms", 0, kMaxDeadlineMs));
  BOOST_LEAF_CHECK(reader.Finish());
  return action;
}

std::string EncodeSubActionReply(const BackendActionReply& reply) {
  json::object object{
      {"attempt_id", reply.attempt.value()},
      {"result", reply.result},
  };
  AddLoadFields(reply.load, object);
  return json::serialize(object);
}

Result<BackendActionReply> DecodeSubActionReply(std::string_view body) {
  BOOST_LEAF_AUTO(document, ParseJsonObject(body));
  JsonReader reader(document.get_object(), "");
  BackendActionReply reply;
  reply.attempt = AttemptId(reader.Number("attempt_id", 0, kMaxNumber));
  reply.result = reader.Text("result", 0, kMaxTextBytes);
  BOOST_LEAF_ASSIGN(reply.load, ReadLoad(reader));
  BOOST_LEAF_CHECK(reader.Finish());
  return reply;
}

std::string EncodeCancel(AttemptId attempt) {
  return fmt::format(R"({{"attempt_id":{}}})", attempt.value());
}

std::string EncodeStatus(const BackendServerId& server,
                         const StatusReport& report) {
  json::array snapshots;
  for (const ManifestReport& manifest : report.snapshots) {
    snapshots.push_back(json::object{
        {"snapshot", manifest.snapshot.value()},
        {"all_shards", ToArray(manifest.all_shards)},
        {"shards", ToArray(manifest.shards)},
    });
  }
  json::object object{
      {"server", server.value()},
      {"slots", report.slots},
      {"connection_limit", report.connection_limit},
      {"snapshots", std::move(snapshots)},
  };
  AddLoadFields(report.load, object);
  return json::serialize(object);
}

Result<StatusReport> DecodeStatus(std::string_view body) {
  BOOST_LEAF_AUTO(document, ParseJsonObject(body));
  JsonReader reader(document.get_object(), "");
  StatusReport report;
  reader.Ignore("server");
  report.slots =
      static_cast<std::uint32_t>(reader.Number("slots", 1, kMaxCount));
  report.connection_limit = static_cast<std::uint32_t>(
      reader.Number("connection_limit", 1, kMaxCount));
  const auto objects = reader.Objects("snapshots");
  BOOST_LEAF_ASSIGN(report.load, ReadLoad(reader));
  BOOST_LEAF_CHECK(reader.Finish());
  for (std::size_t i = 0; i < objects.size(); ++i) {
    BOOST_LEAF_AUTO(
        manifest, ReadManifest(*objects[i], fmt::format("snapshots[{}].", i)));
    report.snapshots.push_back(std::move(manifest));
  }
  return report;
}

}  // namespace marigold
