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

// A row of the plan list.
struct PlanRow {
  CustomerId customer;
  PlanId plan;

  bool operator==(const PlanRow&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->customer, this->plan);
  }
};

// A row of the usage list: what customers of a plan may use, each customer on
// its own.
struct UsageRow {
  PlanId plan;
  std::vector<ServiceId> services;
  // Requests per second over all entry VMs.
  double rate = 0;
  // Requests that may come at once.
  std::uint32_t burst = 0;
  // Requests in flight over all entry VMs.
  std::uint32_t concurrency = 0;
  // Share of contended slots relative to other customers.
  std::uint32_t weight = 1;

  bool operator==(const UsageRow&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->plan, this->services, this->rate, this->burst,
            this->concurrency, this->weight);
  }
};

// One edit of one list: rows to set and keys to remove, as a whole or not at
// all.
struct PutRows {
  ListKind list = ListKind::kPlans;
  ChangeId change;
  // The version that the operator edited.
  ListVersion expected;
  std::vector<PlanRow> plans;
  std::vector<UsageRow> usage;
  // Customers or plans, by the list.
  std::vector<std::string> removed;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->list, this->change, this->expected, this->plans, this->usage,
            this->removed);
  }
};

// Permits the holder of `token` to send the action once.
struct ClaimAction {
  IdempotencyKey key;
  CustomerId customer;
  ClaimToken token;
  VmId claimant;
  // Chosen by the caller with the key; a key older than the ledger's retention
  // is refused.
  std::int64_t issued_at_ms = 0;
  // Hash of the action's content; the same key with other content is refused.
  std::uint64_t content_hash = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->key, this->customer, this->token, this->claimant,
            this->issued_at_ms, this->content_hash);
  }
};

// Says that the holder of `token` did not send, or that the action surely did
// not run. Voids the token, also where its claim has not arrived yet.
struct ReleaseClaim {
  IdempotencyKey key;
  CustomerId customer;
  ClaimToken token;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->key, this->customer, this->token);
  }
};

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

// Puts a route table in force unless one with this or a higher version is.
struct PutRoutes {
  RouteTable table;
  // The table as its writer sent it, for reading back.
  std::string document;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->table, this->document);
  }
};

using ControlCommand =
    std::variant<PutRows, ClaimAction, ReleaseClaim, RecordOutcome, PutRoutes>;

// The first answer to an edit; resends of its change id get the same.
struct PutRowsOutcome {
  bool accepted = false;
  // The list's version after the edit, or the current one if not accepted.
  ListVersion version;
  // Why it was not accepted.
  Reason reason = Reason::kInternal;
  std::vector<std::string> errors;
  // Of an edit that was not accepted: `kMayHaveRun` for a conflict where the
  // edit that made the next version is no longer remembered, since it may have
  // been this one.
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
  // The key is older than the ledger's retention, or lies in the future.
  kExpired,
  // The key was used with other content.
  kContentDiffers,
  // The token was released before.
  kTokenVoid,
};

struct ClaimOutcome {
  ClaimResult claim = ClaimResult::kHeldByOther;
  std::string result;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->claim, this->result);
  }
};

struct ReleaseOutcome {
  // False if the token's outcome is already recorded.
  bool released = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->released);
  }
};

struct RecordOutcomeResponse {
  // False if the token does not hold the claim.
  bool recorded = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->recorded);
  }
};

struct PutRoutesOutcome {
  // False if the version in force was not lower; then nothing has changed.
  bool changed = false;
  // The version in force afterwards.
  RouteVersion version;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->changed, this->version);
  }
};

using ControlOutcome = std::variant<PutRowsOutcome,
                                    ClaimOutcome,
                                    ReleaseOutcome,
                                    RecordOutcomeResponse,
                                    PutRoutesOutcome>;

template <>
inline constexpr std::uint64_t kEnumValues<ListKind> = 2;
template <>
inline constexpr std::uint64_t kEnumValues<ClaimResult> = 6;

}  // namespace marigold

#endif  // SRC_COMMANDS_CONTROL_COMMANDS_H_
