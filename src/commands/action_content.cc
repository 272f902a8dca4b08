#include "src/commands/action_content.h"

#include <fmt/format.h>

#include <string>

#include "src/core/checksum.h"

namespace marigold {

namespace {

ClaimAnswer ToClaimAnswer(ClaimResult result) {
  switch (result) {
    case ClaimResult::kGranted:
      return ClaimAnswer::kGranted;
    case ClaimResult::kHeldByOther:
      return ClaimAnswer::kHeldByOther;
    case ClaimResult::kCompleted:
      return ClaimAnswer::kCompleted;
    case ClaimResult::kExpired:
      return ClaimAnswer::kExpired;
    case ClaimResult::kContentDiffers:
      return ClaimAnswer::kContentDiffers;
    case ClaimResult::kTokenVoid:
      return ClaimAnswer::kTokenVoid;
  }
  return ClaimAnswer::kOutcomeUnknown;
}

}  // namespace

std::uint64_t HashContent(const ActionRequest& request) {
  // The size in front of each text field keeps different requests from
  // producing the same text.
  const std::string content = fmt::format(
      "{}:{}{}:{}:{}{}:{}", request.service.value().size(),
      request.service.value(), request.shard.value(), request.action.size(),
      request.action, request.payload.size(), request.payload);
  return Checksum(content);
}

std::int64_t ToUnixMilliseconds(WallTime time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             time.time_since_epoch())
      .count();
}

ClaimReport ToClaimReport(
    const std::variant<ControlOutcome, Refusal>& outcome) {
  ClaimReport report;
  if (const auto* refusal = std::get_if<Refusal>(&outcome)) {
    report.answer = refusal->execution == Execution::kDidNotRun
                        ? ClaimAnswer::kRefused
                        : ClaimAnswer::kOutcomeUnknown;
    report.reason = refusal->reason;
    return report;
  }
  const auto* claim =
      std::get_if<ClaimOutcome>(&std::get<ControlOutcome>(outcome));
  if (claim != nullptr) {
    report.answer = ToClaimAnswer(claim->claim_result);
    report.result = claim->result;
  }
  return report;
}

}  // namespace marigold
