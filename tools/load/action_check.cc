#include <fmt/format.h>

#include <boost/json.hpp>
#include <limits>
#include <utility>

#include "src/wire/json.h"
#include "tools/load/action_audit.h"
#include "tools/load/answer_json.h"

namespace marigold {

namespace {

constexpr int kOk = 200;
constexpr int kFirstErrorStatus = 400;
constexpr std::size_t kMaxIdBytes = 1024;
constexpr std::size_t kMaxTextBytes = 64 * 1024;
constexpr std::uint64_t kMaxNumber = std::numeric_limits<std::uint64_t>::max();

struct DecodedExecution {
  std::string request_id;
  std::string verdict;
  CheckedExecution execution;
};

Result<DecodedExecution> DecodeExecution(std::string_view body) {
  BOOST_LEAF_AUTO(document, ParseJsonObject(body));
  const boost::json::object& object = document.get_object();
  JsonReader reader(object, "");
  DecodedExecution decoded;
  decoded.request_id = reader.Text("request_id", 1, kMaxIdBytes);
  decoded.verdict = reader.Text("verdict", 1, kMaxIdBytes);
  decoded.execution.result = reader.Text("result", 0, kMaxTextBytes);
  reader.Ignore("is_repeat");
  BOOST_LEAF_CHECK(reader.Finish());
  const auto* repeat = object.if_contains("is_repeat");
  if (repeat == nullptr || !repeat->is_bool()) {
    return boost::leaf::new_error(ParseError{"is_repeat", {}, "true or false"});
  }
  decoded.execution.is_repeat = repeat->get_bool();
  return decoded;
}

ActionCheck CheckExecution(const ActionLoadRequest& action,
                           std::string_view body) {
  const auto outcome =
      Capture<DecodedExecution>([&] { return DecodeExecution(body); });
  const auto* decoded = std::get_if<DecodedExecution>(&outcome);
  if (decoded == nullptr || decoded->verdict != "ran") {
    return Violation{"the JSON body of an action that ran", std::string(body)};
  }
  if (decoded->request_id != action.request.id.value()) {
    return Violation{"request id " + action.request.id.value(),
                     "request id " + decoded->request_id};
  }
  if (!decoded->execution.result.starts_with("receipt ") ||
      !decoded->execution.result.ends_with(" " + action.key.value())) {
    return Violation{"a receipt for key " + action.key.value(),
                     decoded->execution.result};
  }
  return decoded->execution;
}

Result<RecordedExecution> ReadRecordedExecution(
    const boost::json::object& object) {
  JsonReader reader(object, "actions.");
  RecordedExecution execution;
  execution.key = reader.Text("key", 1, kMaxIdBytes);
  execution.server = reader.Text("server", 1, kMaxIdBytes);
  reader.Number("at_ms", 0, kMaxNumber);
  BOOST_LEAF_CHECK(reader.Finish());
  return execution;
}

}  // namespace

ActionCheck CheckActionResponse(const ActionLoadRequest& action,
                                int status,
                                std::string_view body) {
  if (status == kOk) {
    return CheckExecution(action, body);
  }
  if (status < kFirstErrorStatus) {
    return Violation{"status 200, 4xx or 5xx",
                     fmt::format("status {}", status)};
  }
  auto refusal = CheckRefusal(action.request, body);
  if (auto* violation = std::get_if<Violation>(&refusal)) {
    return std::move(*violation);
  }
  return std::get<CheckedRefusal>(std::move(refusal));
}

Result<std::vector<RecordedExecution>> ParseActionRecord(
    std::string_view body) {
  BOOST_LEAF_AUTO(document, ParseJsonObject(body));
  JsonReader reader(document.get_object(), "");
  const auto objects = reader.Objects("actions");
  BOOST_LEAF_CHECK(reader.Finish());
  std::vector<RecordedExecution> executions;
  for (const auto* object : objects) {
    BOOST_LEAF_AUTO(execution, ReadRecordedExecution(*object));
    executions.push_back(std::move(execution));
  }
  return executions;
}

}  // namespace marigold
