#include "src/policy/search_types.h"

namespace marigold {

std::string_view ToString(AttemptFailure failure) {
  switch (failure) {
    case AttemptFailure::kUnknownSnapshot:
      return "unknown_snapshot";
    case AttemptFailure::kUnknownShard:
      return "unknown_shard";
    case AttemptFailure::kShed:
      return "shedding";
    case AttemptFailure::kDraining:
      return "draining";
    case AttemptFailure::kStarting:
      return "starting";
    case AttemptFailure::kNotSent:
      return "not_sent";
    case AttemptFailure::kNotBegun:
      return "not_begun";
    case AttemptFailure::kConnectionLost:
      return "connection_lost";
    case AttemptFailure::kTimeout:
      return "timeout";
    case AttemptFailure::kSilent:
      return "silent";
    case AttemptFailure::kBadReply:
      return "bad_reply";
  }
  return "unknown";
}

bool SurelyDidNotRun(AttemptFailure failure) {
  switch (failure) {
    case AttemptFailure::kUnknownSnapshot:
    case AttemptFailure::kUnknownShard:
    case AttemptFailure::kShed:
    case AttemptFailure::kDraining:
    case AttemptFailure::kStarting:
    case AttemptFailure::kNotSent:
    case AttemptFailure::kNotBegun:
      return true;
    case AttemptFailure::kConnectionLost:
    case AttemptFailure::kTimeout:
    case AttemptFailure::kSilent:
    case AttemptFailure::kBadReply:
      return false;
  }
  return false;
}

std::string_view ToString(MissingReason reason) {
  switch (reason) {
    case MissingReason::kNoServer:
      return "no_server";
    case MissingReason::kDeadline:
      return "deadline";
    case MissingReason::kFailed:
      return "failed";
    case MissingReason::kAbandoned:
      return "abandoned";
  }
  return "unknown";
}

std::string_view ToString(AttemptKind kind) {
  switch (kind) {
    case AttemptKind::kPrimary:
      return "primary";
    case AttemptKind::kRetry:
      return "retry";
    case AttemptKind::kHedge:
      return "hedge";
    case AttemptKind::kTrial:
      return "trial";
  }
  return "unknown";
}

Fraction Coverage(const SearchAnswer& answer) {
  const std::size_t total = answer.covered.size() + answer.missing.size();
  if (total == 0) {
    return Fraction(1);
  }
  return Fraction(static_cast<double>(answer.covered.size()) /
                  static_cast<double>(total));
}

}  // namespace marigold
