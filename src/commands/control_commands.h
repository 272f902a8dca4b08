#ifndef SRC_COMMANDS_CONTROL_COMMANDS_H_
#define SRC_COMMANDS_CONTROL_COMMANDS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "src/core/binary_codec.h"
#include "src/core/ids.h"
#include "src/core/units.h"
#include "src/core/verdict.h"
#include "src/policy/routes.h"

namespace marigold {

// The two lists that operators edit.
enum class ListKind : std::uint8_t { kPlans, kUsage };

// A row of the plan list: the plan of one customer.
struct PlanRow {
  CustomerId customer;
  PlanId plan;

  bool operator==(const PlanRow&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->customer, this->plan);
  }
};

// A row of the usage list: the services and limits of a plan. The limits apply
// to each customer of the plan separately.
struct UsageRow {
  PlanId plan;
  std::vector<ServiceId> services;
  // Requests per second over all entry VMs.
  double rate = 0;
  // Requests that may arrive at once: the size of the token bucket.
  std::uint32_t burst = 0;
  // Requests in flight over all entry VMs.
  std::uint32_t concurrency = 0;
  // Weight of the customer's share of slots when customers compete for them.
  std::uint32_t weight = 1;

  bool operator==(const UsageRow&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->plan, this->services, this->rate, this->burst,
            this->concurrency, this->weight);
  }
};

// One edit of one list: rows to set and keys to remove. It is applied
// completely or not at all.
struct PutRows {
  ListKind list = ListKind::kPlans;
  ChangeId change;
  // The list version that the operator edited. The edit is refused if another
  // version is current.
  ListVersion expected;
  std::vector<PlanRow> plans;
  std::vector<UsageRow> usage;
  // Keys of the rows to remove: customers for the plan list, plans for the
  // usage list.
  std::vector<std::string> removed;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->list, this->change, this->expected, this->plans, this->usage,
            this->removed);
  }
};

// Claims an idempotency key. If the claim is granted, the holder of `token` may
// send the action once.
struct ClaimAction {
  IdempotencyKey key;
  CustomerId customer;
  ClaimToken token;
  VmId claimant;
  // When the caller issued the key, in Unix milliseconds. A key that is older
  // than the ledger's retention is refused.
  std::int64_t issued_at_ms = 0;
  // Hash of the action's content. A claim of the same key with other content is
  // refused.
  std::uint64_t content_hash = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->key, this->customer, this->token, this->claimant,
            this->issued_at_ms, this->content_hash);
  }
};

// States that the holder of `token` did not send the action, or that the action
// certainly did not run. Voids the token, even if its claim has not arrived
// yet.
struct ReleaseClaim {
  IdempotencyKey key;
  CustomerId customer;
  ClaimToken token;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->key, this->customer, this->token);
  }
};

// Records the result of the action that the holder of `token` sent.
struct RecordOutcome {
  IdempotencyKey key;
  CustomerId customer;
  ClaimToken token;
  std::string result;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->key, this->customer, this->token, this->result);
  }
};

// Replaces the route table, unless the one in force has the same or a higher
// version.
struct PutRoutes {
  RouteTable table;
  // The table as its writer sent it, for readers that ask for the original.
  std::string document;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->table, this->document);
  }
};

// Begins or ends the evacuation of a data centre, whose backend servers get no
// requests meanwhile. Changes nothing if the data centre is in that state.
struct SetEvacuation {
  DataCentreId data_centre;
  bool is_evacuated = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->data_centre, this->is_evacuated);
  }
};

// A command is identified by its position, so new ones are added at the end.
using ControlCommand = std::variant<PutRows,
                                    ClaimAction,
                                    ReleaseClaim,
                                    RecordOutcome,
                                    PutRoutes,
                                    SetEvacuation>;

// The answer to an edit. A resend with the same change id gets the first answer
// again.
struct PutRowsOutcome {
  bool accepted = false;
  // The list's version after the edit, or the current one if not accepted.
  ListVersion version;
  // Why it was not accepted.
  Reason reason = Reason::kInternal;
  std::vector<std::string> errors;
  // Says whether an edit that was not accepted may have been applied before.
  // This is `kMayHaveRun` for a version conflict if the edit that produced the
  // version after the expected one is no longer remembered, because it may have
  // been this edit.
  Execution execution = Execution::kDidNotRun;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->accepted, this->version, this->reason, this->errors,
            this->execution);
  }
};

enum class ClaimResult : std::uint8_t {
  // The token may be used for one send.
  kGranted,
  // Another token holds the claim; the action may have run.
  kHeldByOther,
  // The action ran; `result` holds its recorded outcome.
  kCompleted,
  // The key is older than the ledger's retention, or was issued too far in the
  // future.
  kExpired,
  // The key was used with other content.
  kContentDiffers,
  // The token was released before.
  kTokenVoid,
};

// The answer to `ClaimAction`.
struct ClaimOutcome {
  ClaimResult claim_result = ClaimResult::kHeldByOther;
  // The recorded outcome of the action; empty unless `kCompleted`.
  std::string result;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->claim_result, this->result);
  }
};

// The answer to `ReleaseClaim`.
struct ReleaseOutcome {
  // False if the token's outcome is already recorded.
  bool released = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->released);
  }
};

// The answer to `RecordOutcome`.
struct RecordOutcomeResponse {
  // False if the token does not hold the claim.
  bool recorded = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->recorded);
  }
};

// The answer to `PutRoutes`.
struct PutRoutesOutcome {
  // False if the version in force was the same or higher. Nothing has changed
  // then.
  bool changed = false;
  // The version in force after the command.
  RouteVersion version;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->changed, this->version);
  }
};

// The answer to `SetEvacuation`.
struct SetEvacuationOutcome {
  // False if the data centre was in the wanted state before. Nothing has
  // changed then.
  bool changed = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->changed);
  }
};

using ControlOutcome = std::variant<PutRowsOutcome,
                                    ClaimOutcome,
                                    ReleaseOutcome,
                                    RecordOutcomeResponse,
                                    PutRoutesOutcome,
                                    SetEvacuationOutcome>;

template <>
inline constexpr std::uint64_t kEnumValues<ListKind> = 2;
template <>
inline constexpr std::uint64_t kEnumValues<ClaimResult> = 6;

}  // namespace marigold

#endif  // SRC_COMMANDS_CONTROL_COMMANDS_H_
