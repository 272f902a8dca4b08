#include "src/core/verdict.h"

#include <array>
#include <cstddef>

namespace marigold {

namespace {

struct ReasonRow {
  Reason reason;
  std::string_view code;
  std::string_view meaning;
};

constexpr auto kReasonRows = std::to_array<ReasonRow>({
#define REASON(enumerator, code, meaning) {Reason::enumerator, code, meaning},
#include "src/core/reason_codes.def"
#undef REASON
});

const ReasonRow& RowOf(Reason reason) {
  return kReasonRows[static_cast<std::size_t>(reason)];
}

}  // namespace

std::string_view ToString(Execution execution) {
  switch (execution) {
    case Execution::kDidNotRun:
      return "did_not_run";
    case Execution::kMayHaveRun:
      return "may_have_run";
    case Execution::kRan:
      return "ran";
  }
  return "unknown";
}

std::string_view ToString(Reason reason) {
  return RowOf(reason).code;
}

std::string_view Describe(Reason reason) {
  return RowOf(reason).meaning;
}

std::optional<Reason> ParseReason(std::string_view code) {
  for (const ReasonRow& row : kReasonRows) {
    if (row.code == code) {
      return row.reason;
    }
  }
  return std::nullopt;
}

}  // namespace marigold
