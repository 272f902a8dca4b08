#include "src/tables/action_ledger.h"

#include <algorithm>
#include <chrono>

#include "src/core/invariant.h"

namespace marigold {

namespace {

// Rejected tokens that are kept for a key. A caller that retries under
// contention adds one with each attempt. Beyond this number the oldest is
// dropped. A delayed duplicate of its claim could then be granted although
// nobody waits for the answer. That blocks the key but never repeats the
// action.
constexpr std::size_t kMaxRejectedTokens = 16;

std::int64_t ToWholeMilliseconds(WallTime time) {
  return std::chrono::floor<std::chrono::milliseconds>(time.time_since_epoch())
      .count();
}

std::int64_t ToWholeMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

std::size_t BytesOf(const LedgerKey& key, const LedgerEntry& entry) {
  // The entry and two map nodes with their pointers.
  constexpr std::size_t kFixedBytes =
      sizeof(LedgerKey) + sizeof(LedgerEntry) + 160;
  return kFixedBytes + key.customer.value().size() + key.key.value().size() +
         entry.claimant.value().size() +
         entry.rejected_tokens.size() * sizeof(RejectedToken) +
         (entry.result ? entry.result->size() : 0);
}

const RejectedToken* FindRejected(const LedgerEntry& entry, ClaimToken token) {
  const auto position = std::find_if(
      entry.rejected_tokens.begin(), entry.rejected_tokens.end(),
      [&](const RejectedToken& rejected) { return rejected.token == token; });
  return position == entry.rejected_tokens.end() ? nullptr : &*position;
}

void RejectToken(LedgerEntry& entry, ClaimToken token, ClaimResult answer) {
  std::erase_if(entry.rejected_tokens, [&](const RejectedToken& rejected) {
    return rejected.token == token;
  });
  entry.rejected_tokens.push_back({token, answer});
  if (entry.rejected_tokens.size() > kMaxRejectedTokens) {
    entry.rejected_tokens.erase(entry.rejected_tokens.begin());
  }
}

}  // namespace

ActionLedger::ActionLedger(ActionLedgerSettings ledger_settings)
    : retention_ms(ToWholeMilliseconds(ledger_settings.retention)),
      issue_skew_ms(ToWholeMilliseconds(ledger_settings.issue_skew)),
      max_bytes(ledger_settings.bytes) {}

ClaimOutcome ActionLedger::Claim(WallTime now, const ClaimAction& claim) {
  const std::int64_t now_ms = ToWholeMilliseconds(now);
  this->DropExpired(now_ms);
  auto entry = this->Find(claim.customer, claim.key);
  const bool is_known =
      entry != this->entries.end() && entry->second.is_claimed;
  if (!is_known && !this->MayBeClaimed(now_ms, claim.issued_at_ms)) {
    return {ClaimResult::kExpired, ""};
  }
  const std::int64_t expires_at_ms = claim.issued_at_ms + this->retention_ms;
  if (entry == this->entries.end()) {
    entry = this->Insert({claim.customer, claim.key}, expires_at_ms);
  }
  if (!is_known) {
    this->SetExpiry(entry, expires_at_ms);
    entry->second.is_claimed = true;
    entry->second.issued_at_ms = claim.issued_at_ms;
    entry->second.content_hash = claim.content_hash;
  }
  ClaimOutcome outcome;
  this->Update(entry, [&](LedgerEntry& changed) {
    outcome = this->Decide(changed, claim);
  });
  this->EvictToMemoryLimit();
  return outcome;
}

ClaimOutcome ActionLedger::Decide(LedgerEntry& entry,
                                  const ClaimAction& claim) {
  if (entry.issued_at_ms != claim.issued_at_ms ||
      entry.content_hash != claim.content_hash) {
    return {ClaimResult::kContentDiffers, ""};
  }
  if (const RejectedToken* rejected = FindRejected(entry, claim.token)) {
    return {rejected->answer, ""};
  }
  if (entry.result) {
    return {ClaimResult::kCompleted, *entry.result};
  }
  if (entry.granted_token == claim.token) {
    return {ClaimResult::kGranted, ""};
  }
  if (entry.granted_token) {
    RejectToken(entry, claim.token, ClaimResult::kHeldByOther);
    return {ClaimResult::kHeldByOther, ""};
  }
  entry.granted_token = claim.token;
  entry.claimant = claim.claimant;
  ++entry.unreleased_grants;
  CheckInvariant(Invariant::kAtMostOnce, entry.unreleased_grants == 1,
                 "two granted tokens for key " + claim.key.value());
  return {ClaimResult::kGranted, ""};
}

ReleaseOutcome ActionLedger::Release(WallTime now,
                                     const ReleaseClaim& release) {
  const std::int64_t now_ms = ToWholeMilliseconds(now);
  this->DropExpired(now_ms);
  auto entry = this->Find(release.customer, release.key);
  if (entry == this->entries.end()) {
    // The claim may arrive after its release. The entry is kept until the claim
    // would be refused as expired.
    entry = this->Insert({release.customer, release.key},
                         now_ms + this->issue_skew_ms + this->retention_ms);
  }
  bool released = true;
  this->Update(entry, [&](LedgerEntry& changed) {
    if (changed.granted_token == release.token) {
      released = !changed.result.has_value();
      if (released) {
        changed.granted_token.reset();
        --changed.unreleased_grants;
      }
    }
    if (released) {
      RejectToken(changed, release.token, ClaimResult::kTokenVoid);
    }
  });
  this->EvictToMemoryLimit();
  return {released};
}

RecordOutcomeResponse ActionLedger::Record(WallTime now,
                                           const RecordOutcome& outcome) {
  this->DropExpired(ToWholeMilliseconds(now));
  const auto entry = this->Find(outcome.customer, outcome.key);
  if (entry == this->entries.end() ||
      entry->second.granted_token != outcome.token ||
      outcome.result.size() > kMaxResultBytes) {
    return {false};
  }
  this->Update(entry, [&](LedgerEntry& changed) {
    if (!changed.result) {
      changed.result = outcome.result;
    }
  });
  this->EvictToMemoryLimit();
  return {true};
}

bool ActionLedger::MayBeClaimed(std::int64_t now_ms,
                                std::int64_t issued_at_ms) const {
  return issued_at_ms > now_ms - this->retention_ms &&
         issued_at_ms <= now_ms + this->issue_skew_ms &&
         issued_at_ms > this->refused_until_ms;
}

ActionLedger::Entries::iterator ActionLedger::Find(const CustomerId& customer,
                                                   const IdempotencyKey& key) {
  return this->entries.find(LedgerKey{customer, key});
}

ActionLedger::Entries::iterator ActionLedger::Insert(
    LedgerKey key,
    std::int64_t expires_at_ms) {
  const auto [entry, is_new] =
      this->entries.try_emplace(std::move(key), LedgerEntry());
  entry->second.sequence = this->next_sequence++;
  entry->second.expires_at_ms = expires_at_ms;
  this->expiry_order[{expires_at_ms, entry->second.sequence}] = entry;
  this->entry_bytes += BytesOf(entry->first, entry->second);
  return entry;
}

template <class Change>
void ActionLedger::Update(Entries::iterator entry, Change change) {
  this->entry_bytes -= BytesOf(entry->first, entry->second);
  change(entry->second);
  this->entry_bytes += BytesOf(entry->first, entry->second);
}

void ActionLedger::SetExpiry(Entries::iterator entry,
                             std::int64_t expires_at_ms) {
  this->expiry_order.erase(
      {entry->second.expires_at_ms, entry->second.sequence});
  entry->second.expires_at_ms = expires_at_ms;
  this->expiry_order[{expires_at_ms, entry->second.sequence}] = entry;
}

void ActionLedger::Erase(Entries::iterator entry) {
  this->entry_bytes -= BytesOf(entry->first, entry->second);
  this->expiry_order.erase(
      {entry->second.expires_at_ms, entry->second.sequence});
  this->entries.erase(entry);
}

void ActionLedger::DropExpired(std::int64_t now_ms) {
  while (!this->expiry_order.empty() &&
         this->expiry_order.begin()->first.first <= now_ms) {
    this->Erase(this->expiry_order.begin()->second);
  }
}

void ActionLedger::EvictToMemoryLimit() {
  while (this->entry_bytes > this->max_bytes) {
    const auto entry = this->expiry_order.begin()->second;
    if (entry->second.is_claimed) {
      this->refused_until_ms =
          std::max(this->refused_until_ms, entry->second.issued_at_ms);
    }
    this->Erase(entry);
  }
}

void ActionLedger::RebuildExpiryOrder() {
  this->expiry_order.clear();
  this->entry_bytes = 0;
  for (auto entry = this->entries.begin(); entry != this->entries.end();
       ++entry) {
    this->expiry_order[{entry->second.expires_at_ms, entry->second.sequence}] =
        entry;
    this->entry_bytes += BytesOf(entry->first, entry->second);
  }
}

}  // namespace marigold
