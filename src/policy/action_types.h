#ifndef SRC_POLICY_ACTION_TYPES_H_
#define SRC_POLICY_ACTION_TYPES_H_

#include <string>
#include <variant>

#include "src/core/ids.h"
#include "src/core/units.h"
#include "src/core/verdict.h"
#include "src/policy/search_types.h"

namespace marigold {

// A caller's request for a paid or physical action, decoded and validated.
struct ActionRequest {
  RequestId request;
  CustomerId customer;
  ServiceId service;
  ShardId shard;
  std::string action;
  IdempotencyKey key;
  // When the caller generated the key.
  WallTime key_issued_at;
  std::string payload;
  // The time that the caller allows, from the arrival of the request.
  Duration deadline{};
};

// The answer to an action that ran: the result that the backend server
// returned.
struct ActionAnswer {
  std::string result;
  // True if the action ran for an earlier request with the same key and
  // `result` is the recorded one.
  bool is_repeat = false;
};

using ActionOutcome = std::variant<ActionAnswer, Refusal>;

// The ledger's answer to a claim on an idempotency key, or the reason that
// there is none.
enum class ClaimAnswer {
  kGranted,
  // Another claim on the key is neither completed nor released.
  kHeldByOther,
  // The action already ran for the key.
  kCompleted,
  // The key is so old that the ledger no longer has a record of it.
  kExpired,
  // The key was used for a request with other content.
  kContentDiffers,
  // The token was released before the claim arrived.
  kTokenVoid,
  // There is no answer, and the claim is known not to have been appended to the
  // ledger.
  kRefused,
  // There is no answer, and the claim may have been appended to the ledger.
  kOutcomeUnknown,
};

struct ClaimReport {
  ClaimAnswer answer = ClaimAnswer::kOutcomeUnknown;
  // The recorded result if the answer is `kCompleted`, otherwise empty.
  std::string result;
  // Used only if the answer is `kRefused` or `kOutcomeUnknown`.
  Reason reason = Reason::kNoQuorum;
};

// The steps that an `Action` returns for its driver to carry out.

// Claims the idempotency key under a new token.
struct ClaimKey {
  ClaimToken token;
};
// Sends the action once, under a claim that the ledger granted. No other send
// uses `token`.
struct SendAction {
  AttemptId attempt;
  ClaimToken token;
  ServerIndex server;
  MonotonicTime deadline;
};
// Releases the claim and voids its token. The driver repeats the command until
// the ledger has recorded it.
struct ReleaseKey {
  ClaimToken token;
};
// Records the result under the token. The driver repeats the command until the
// ledger has recorded it.
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
