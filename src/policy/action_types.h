#ifndef SRC_POLICY_ACTION_TYPES_H_
#define SRC_POLICY_ACTION_TYPES_H_

#include <string>
#include <variant>

#include "src/core/ids.h"
#include "src/core/units.h"
#include "src/core/verdict.h"
#include "src/policy/search_types.h"

namespace marigold {

// A caller's paid or physical action, decoded and validated.
struct ActionRequest {
  RequestId request;
  CustomerId customer;
  ServiceId service;
  ShardId shard;
  std::string action;
  IdempotencyKey key;
  // When the caller chose the key.
  WallTime key_issued_at;
  std::string payload;
  // Counted from the arrival of the request.
  Duration deadline{};
};

// The action ran and this is what the backend server returned.
struct ActionAnswer {
  std::string result;
  // The action ran for an earlier request with the same key.
  bool is_repeat = false;
};

using ActionOutcome = std::variant<ActionAnswer, Refusal>;

// What the ledger says to a claim, or why there is no answer.
enum class ClaimAnswer {
  kGranted,
  kHeldByOther,
  kCompleted,
  kExpired,
  kContentDiffers,
  kTokenVoid,
  // The claim was surely not appended to the ledger.
  kRefused,
  // The claim may have been appended.
  kOutcomeUnknown,
};

struct ClaimReport {
  ClaimAnswer answer = ClaimAnswer::kOutcomeUnknown;
  // The recorded result of a completed action.
  std::string result;
  // Why a claim was refused or its answer lost.
  Reason reason = Reason::kNoQuorum;
};

// Instructions of an `Action` to the code that drives it.

// Claims the key under a new token.
struct ClaimKey {
  ClaimToken token;
};
// Sends the action once. `token` was granted and is used for nothing else.
struct SendAction {
  AttemptId attempt;
  ClaimToken token;
  ServerIndex server;
  MonotonicTime deadline;
};
// Voids the token. To be repeated until the ledger has it.
struct ReleaseKey {
  ClaimToken token;
};
// Records the result under the token. To be repeated until the ledger has it.
struct RecordKey {
  ClaimToken token;
  std::string result;
};
// Answers the caller. Only `ReleaseKey` and `RecordKey` may follow it.
struct FinishAction {
  ActionOutcome outcome;
};

using ActionStep = std::variant<ClaimKey,
                                SendAction,
                                ReleaseKey,
                                RecordKey,
                                SetTimer,
                                FinishAction>;

}  // namespace marigold

#endif  // SRC_POLICY_ACTION_TYPES_H_
