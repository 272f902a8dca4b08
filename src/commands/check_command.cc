#include "src/commands/check_command.h"

#include <fmt/format.h>

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "src/tables/action_ledger.h"
#include "src/tables/list_edits.h"

namespace marigold {

namespace {

Refusal Refuse(Reason reason, std::string detail) {
  return {Execution::kDidNotRun, reason, std::move(detail), {}};
}

std::optional<Refusal> CheckId(std::string_view field, std::string_view text) {
  if (IsId(text)) {
    return std::nullopt;
  }
  return Refuse(Reason::kBadRequest,
                fmt::format("{}: expected UTF-8 text of 1 to {} bytes without "
                            "control characters",
                            field, kMaxCommandIdBytes));
}

template <class Command>
std::optional<Refusal> CheckKey(const Command& command) {
  if (auto refusal = CheckId("customer", command.customer.value())) {
    return refusal;
  }
  return CheckId("key", command.key.value());
}

std::optional<Refusal> Check(const PutRows& edit) {
  return CheckId("change", edit.change.value());
}

std::optional<Refusal> Check(const ClaimAction& claim) {
  if (auto refusal = CheckKey(claim)) {
    return refusal;
  }
  return CheckId("claimant", claim.claimant.value());
}

std::optional<Refusal> Check(const ReleaseClaim& release) {
  return CheckKey(release);
}

std::optional<Refusal> Check(const RecordOutcome& outcome) {
  if (outcome.result.size() > kMaxResultBytes) {
    return Refuse(
        Reason::kTooLarge,
        fmt::format("result: expected at most {} bytes", kMaxResultBytes));
  }
  return CheckKey(outcome);
}

std::optional<Refusal> Check(const PutRoutes& put) {
  const std::vector<std::string> errors = ValidateRoutes(put.table);
  if (errors.empty()) {
    return std::nullopt;
  }
  return Refuse(Reason::kBadRequest,
                fmt::format("{}", fmt::join(errors, "; ")));
}

std::optional<Refusal> Check(const SetEvacuation& order) {
  return CheckId("data centre", order.data_centre.value());
}

}  // namespace

std::optional<Refusal> CheckCommand(const ControlCommand& command) {
  return std::visit([](const auto& typed) { return Check(typed); }, command);
}

}  // namespace marigold
