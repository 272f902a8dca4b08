#include "src/net/backends/backend_replies.h"

#include <utility>
#include <variant>

#include "src/wire/backend_json.h"

namespace marigold {

namespace {

constexpr int kOk = 200;

AttemptFailure DecodeFailure(AttemptId attempt, const HttpResponse& response) {
  auto decoded =
      Capture<SubRefusal>([&] { return DecodeSubRefusal(response.body); });
  const auto* refusal = std::get_if<SubRefusal>(&decoded);
  if (refusal == nullptr || refusal->attempt != attempt) {
    return AttemptFailure::kBadReply;
  }
  return refusal->failure;
}

}  // namespace

AttemptOutcome DecodeReply(const SendAttempt& attempt,
                           const HttpResponse& response) {
  if (response.status != kOk) {
    return DecodeFailure(attempt.attempt, response);
  }
  auto decoded =
      Capture<SubResponse>([&] { return DecodeSubResponse(response.body); });
  auto* reply = std::get_if<SubResponse>(&decoded);
  if (reply == nullptr || reply->reply.attempt != attempt.attempt ||
      reply->reply.snapshot != attempt.snapshot ||
      reply->reply.shard != attempt.shard) {
    return AttemptFailure::kBadReply;
  }
  return std::move(*reply);
}

ActionAttemptOutcome DecodeActionReply(AttemptId attempt,
                                       const HttpResponse& response) {
  if (response.status != kOk) {
    return DecodeFailure(attempt, response);
  }
  auto decoded = Capture<BackendActionReply>(
      [&] { return DecodeSubActionReply(response.body); });
  auto* reply = std::get_if<BackendActionReply>(&decoded);
  if (reply == nullptr || reply->attempt != attempt) {
    return AttemptFailure::kBadReply;
  }
  return std::move(*reply);
}

std::optional<StatusReport> DecodeStatusReply(const HttpResponse& response) {
  auto decoded =
      Capture<StatusReport>([&] { return DecodeStatus(response.body); });
  if (auto* report = std::get_if<StatusReport>(&decoded)) {
    return std::move(*report);
  }
  return std::nullopt;
}

}  // namespace marigold
