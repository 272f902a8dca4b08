#ifndef SRC_TABLES_ACTION_LEDGER_H_
#define SRC_TABLES_ACTION_LEDGER_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "src/commands/control_commands.h"
#include "src/core/ids.h"
#include "src/core/units.h"

namespace marigold {

// Limit on the size of a result, in bytes. A longer result is not recorded.
inline constexpr std::size_t kMaxResultBytes = 64 * 1024;

struct ActionLedgerSettings {
  // Keys of this age or older are refused, and their entries are dropped.
  Duration retention = std::chrono::hours(24);
  // How far a key's time of issue may lie in the future, because clocks differ.
  Duration issue_skew = std::chrono::minutes(5);
  // Limit on the estimated memory of the entries, in bytes. Beyond it, the
  // entries that expire first are dropped, and their keys are refused before
  // the end of the retention.
  std::size_t bytes = 64 * 1024 * 1024;
};

// An idempotency key with its customer. Two customers may use the same key.
struct LedgerKey {
  CustomerId customer;
  IdempotencyKey key;

  auto operator<=>(const LedgerKey&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->customer, this->key);
  }
};

// A token that is never granted again, with the answer that its claim gets.
struct RejectedToken {
  ClaimToken token;
  ClaimResult answer = ClaimResult::kTokenVoid;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->token, this->answer);
  }
};

// The claims and the result of one key.
struct LedgerEntry {
  // False while only releases have arrived, which carry neither the time of
  // issue nor the content of the action.
  bool is_claimed = false;
  std::int64_t issued_at_ms = 0;
  std::uint64_t content_hash = 0;
  // The token that was granted and not released.
  std::optional<ClaimToken> granted_token;
  VmId claimant;
  // The outcome that the holder of `granted_token` recorded.
  std::optional<std::string> result;
  std::vector<RejectedToken> rejected_tokens;
  // Number of grants that were not released. More than one is an error.
  std::uint64_t unreleased_grants = 0;
  // Unix time at which the entry is dropped, and its position among entries
  // with the same time.
  std::int64_t expires_at_ms = 0;
  std::uint64_t sequence = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->is_claimed, this->issued_at_ms, this->content_hash,
            this->granted_token, this->claimant, this->result,
            this->rejected_tokens, this->unreleased_grants, this->expires_at_ms,
            this->sequence);
  }
};

// Records which actions may be sent, which may have run, and their results. A
// key has at most one granted token. Claims carry the key's time of issue, so
// that a key whose entry was dropped can never be granted again. `now` never
// decreases from call to call.
class ActionLedger {
 public:
  explicit ActionLedger(ActionLedgerSettings ledger_settings);

  ActionLedger(ActionLedger&&) = default;
  ActionLedger& operator=(ActionLedger&&) = default;

  // Commands. The command types describe their outcomes.

  ClaimOutcome Claim(WallTime now, const ClaimAction& claim);
  ReleaseOutcome Release(WallTime now, const ReleaseClaim& release);
  RecordOutcomeResponse Record(WallTime now, const RecordOutcome& outcome);

  // Queries.

  std::size_t size() const { return this->entries.size(); }
  // Estimated memory of the entries, in bytes.
  std::size_t bytes() const { return this->entry_bytes; }

  template <class Archive>
  void save(Archive& archive) const {
    archive(this->refused_until_ms, this->next_sequence, this->entries);
  }

  template <class Archive>
  void load(Archive& archive) {
    archive(this->refused_until_ms, this->next_sequence, this->entries);
    this->RebuildExpiryOrder();
  }

 private:
  using Entries = std::map<LedgerKey, LedgerEntry>;
  // Entries ordered by `expires_at_ms` and `sequence`.
  using ExpiryOrder =
      std::map<std::pair<std::int64_t, std::uint64_t>, Entries::iterator>;

  Entries::iterator Find(const CustomerId& customer, const IdempotencyKey& key);
  Entries::iterator Insert(LedgerKey key, std::int64_t expires_at_ms);
  ClaimOutcome Decide(LedgerEntry& entry, const ClaimAction& claim);
  void SetExpiry(Entries::iterator entry, std::int64_t expires_at_ms);
  void Erase(Entries::iterator entry);
  void DropExpired(std::int64_t now_ms);
  void EvictToMemoryLimit();
  bool MayBeClaimed(std::int64_t now_ms, std::int64_t issued_at_ms) const;
  // Changes an entry and updates `entry_bytes`.
  template <class Change>
  void Update(Entries::iterator entry, Change change);
  void RebuildExpiryOrder();

  std::int64_t retention_ms;
  std::int64_t issue_skew_ms;
  std::size_t max_bytes;
  Entries entries;
  ExpiryOrder expiry_order;
  std::uint64_t next_sequence = 0;
  // Keys that were issued at this Unix time or earlier are refused, because
  // entries were dropped to limit the memory.
  std::int64_t refused_until_ms = std::numeric_limits<std::int64_t>::min();
  std::size_t entry_bytes = 0;
};

}  // namespace marigold

#endif  // SRC_TABLES_ACTION_LEDGER_H_
