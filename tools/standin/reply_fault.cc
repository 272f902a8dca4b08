#include "tools/standin/reply_fault.h"

namespace marigold {

namespace {

constexpr std::array<std::string_view, kReplyFaultCount> kNames = {
    "none", "late", "duplicate", "foreign", "truncated", "malformed", "silent"};

}  // namespace

std::string_view ToString(ReplyFault fault) {
  return kNames[static_cast<std::size_t>(fault)];
}

std::optional<ReplyFault> ParseReplyFault(std::string_view name) {
  for (std::size_t i = 1; i < kReplyFaultCount; ++i) {
    if (kNames[i] == name) {
      return static_cast<ReplyFault>(i);
    }
  }
  return std::nullopt;
}

ReplyFault DrawReplyFault(const ReplyFaultSettings& settings,
                          SeededRandom& random) {
  double remaining = random.NextDouble();
  for (std::size_t i = 1; i < kReplyFaultCount; ++i) {
    remaining -= settings.shares[i];
    if (remaining < 0) {
      return static_cast<ReplyFault>(i);
    }
  }
  return ReplyFault::kNone;
}

}  // namespace marigold
