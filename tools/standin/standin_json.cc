#include "tools/standin/standin_json.h"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <limits>

#include "src/wire/json.h"

namespace marigold {

namespace json = boost::json;

namespace {

constexpr std::uint64_t kMaxNumber = std::numeric_limits<std::uint64_t>::max();

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

std::string DescribeError(const AnyError& error) {
  const auto* parse = std::get_if<ParseError>(&error);
  return parse == nullptr ? "the body can't be read" : ToString(*parse);
}

template <class T>
std::variant<SubRequest, BackendAction, std::string> ToWork(
    const std::variant<T, AnyError>& decoded) {
  if (const auto* work = std::get_if<T>(&decoded)) {
    return *work;
  }
  return DescribeError(std::get<AnyError>(decoded));
}

int StatusOf(AttemptFailure failure) {
  return failure == AttemptFailure::kUnknownSnapshot ||
                 failure == AttemptFailure::kUnknownShard
             ? kConflict
             : kUnavailable;
}

std::string EncodeStopped(const WorkStopped& stopped) {
  return json::serialize(json::object{{"attempt_id", stopped.attempt.value()},
                                      {"reason", stopped.reason}});
}

}  // namespace

std::variant<SubRequest, BackendAction, std::string> DecodeWork(
    std::string_view path,
    std::string_view body) {
  if (path == "/v1/search") {
    return ToWork<SubRequest>(
        Capture<SubRequest>([&] { return DecodeSubRequest(body); }));
  }
  if (path == "/v1/action") {
    return ToWork<BackendAction>(
        Capture<BackendAction>([&] { return DecodeSubAction(body); }));
  }
  return fmt::format("no such resource: {}", path);
}

Result<AttemptId> DecodeCancel(std::string_view body) {
  BOOST_LEAF_AUTO(document, ParseJsonObject(body));
  JsonReader reader(document.get_object(), "");
  const AttemptId attempt(reader.Number("attempt_id", 0, kMaxNumber));
  BOOST_LEAF_CHECK(reader.Finish());
  return attempt;
}

std::pair<int, std::string> EncodeReply(const ReplyBody& reply) {
  if (const auto* response = std::get_if<SubResponse>(&reply)) {
    return {kOk, EncodeSubResponse(*response)};
  }
  if (const auto* action = std::get_if<BackendActionReply>(&reply)) {
    return {kOk, EncodeSubActionReply(*action)};
  }
  if (const auto* refusal = std::get_if<SubRefusal>(&reply)) {
    return {StatusOf(refusal->failure), EncodeSubRefusal(*refusal)};
  }
  return {kGatewayTimeout, EncodeStopped(std::get<WorkStopped>(reply))};
}

std::string EncodeError(std::string_view detail) {
  return json::serialize(json::object{{"error", detail}});
}

std::string EncodeActions(const std::vector<ExecutedAction>& actions) {
  json::array rows;
  for (const ExecutedAction& action : actions) {
    rows.push_back(json::object{
        {"key", action.key.value()},
        {"server", action.server.value()},
        {"at_ms", action.started_at.time_since_epoch().count() / 1000},
    });
  }
  return json::serialize(json::object{{"actions", std::move(rows)}});
}

std::string EncodeSnapshots(
    const std::map<ServiceId, SnapshotLayout>& snapshots) {
  json::object services;
  for (const auto& [service, layout] : snapshots) {
    services[service.value()] = json::object{
        {"snapshot", layout.snapshot.value()}, {"shards", layout.shards}};
  }
  return json::serialize(json::object{{"services", std::move(services)}});
}

}  // namespace marigold
