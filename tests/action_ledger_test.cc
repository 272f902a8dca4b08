#include "src/tables/action_ledger.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <fmt/format.h>

#include <string>
#include <vector>

#include "src/core/binary_codec.h"
#include "src/core/invariant.h"
#include "tests/row_indices.h"

namespace marigold {

namespace {

enum class Step { kClaim, kRelease, kRecord };

constexpr std::int64_t kRetentionMs = 1000;
constexpr std::int64_t kSkewMs = 100;

// One call of the ledger and its expected answer.
struct LedgerStep {
  std::int64_t at_ms;
  Step step;
  std::uint64_t token;
  const char* answer;
  std::int64_t issued_at_ms = 5000;
  std::uint64_t content = 1;
};

struct LedgerRow {
  const char* behaviour;
  std::vector<LedgerStep> steps;
};

const LedgerRow kLedgerRows[] = {
    {"one of two claims is granted",
     {{5000, Step::kClaim, 1, "granted"}, {5000, Step::kClaim, 2, "held"}}},
    {"a resent claim gets the same answer",
     {{5000, Step::kClaim, 1, "granted"}, {5001, Step::kClaim, 1, "granted"}}},
    {"a resent claim that was refused is refused again",
     {{5000, Step::kClaim, 1, "granted"},
      {5000, Step::kClaim, 2, "held"},
      {5001, Step::kRelease, 1, "released"},
      {5002, Step::kClaim, 2, "held"},
      {5003, Step::kClaim, 3, "granted"}}},
    {"a released key may be claimed with a new token",
     {{5000, Step::kClaim, 1, "granted"},
      {5001, Step::kRelease, 1, "released"},
      {5002, Step::kClaim, 1, "void"},
      {5003, Step::kClaim, 2, "granted"}}},
    {"a release before its claim voids the token",
     {{5000, Step::kRelease, 1, "released"},
      {5001, Step::kClaim, 1, "void"},
      {5002, Step::kClaim, 2, "granted"},
      {5003, Step::kClaim, 1, "void"}}},
    {"a release of a token that was never granted changes nothing",
     {{5000, Step::kClaim, 1, "granted"},
      {5001, Step::kRelease, 2, "released"},
      {5002, Step::kClaim, 3, "held"}}},
    {"every later claim gets the recorded result",
     {{5000, Step::kClaim, 1, "granted"},
      {5001, Step::kRecord, 1, "recorded"},
      {5002, Step::kClaim, 2, "completed done-1"},
      {5003, Step::kClaim, 1, "completed done-1"}}},
    {"a release after a result was recorded fails",
     {{5000, Step::kClaim, 1, "granted"},
      {5001, Step::kRecord, 1, "recorded"},
      {5002, Step::kRelease, 1, "kept"},
      {5003, Step::kClaim, 2, "completed done-1"}}},
    {"recording a result twice succeeds",
     {{5000, Step::kClaim, 1, "granted"},
      {5001, Step::kRecord, 1, "recorded"},
      {5002, Step::kRecord, 1, "recorded"}}},
    {"only the holder of the claim can record a result",
     {{5000, Step::kRecord, 1, "refused"},
      {5000, Step::kClaim, 1, "granted"},
      {5001, Step::kRecord, 2, "refused"},
      {5002, Step::kRelease, 1, "released"},
      {5003, Step::kRecord, 1, "refused"}}},
    {"the same key with other content is refused",
     {{5000, Step::kClaim, 1, "granted"},
      {5001, Step::kClaim, 2, "differs", 5000, 2}}},
    {"the same key with another time of issue is refused",
     {{5000, Step::kClaim, 1, "granted"},
      {5900, Step::kClaim, 2, "differs", 5900}}},
    {"a key whose retention has ended is refused",
     {{5999, Step::kClaim, 1, "granted"},
      {6000, Step::kClaim, 1, "expired"},
      {6000, Step::kClaim, 2, "expired"}}},
    {"a key issued too far in the future is refused",
     {{4899, Step::kClaim, 1, "expired"}, {4900, Step::kClaim, 1, "granted"}}},
    {"the lowest and the highest time of issue are refused",
     {{5000, Step::kClaim, 1, "expired", INT64_MIN},
      {5000, Step::kClaim, 2, "expired", INT64_MAX}}},
    {"a release is remembered until its claim would be expired",
     {{5000, Step::kRelease, 1, "released"},
      {5999, Step::kClaim, 1, "void"},
      {6000, Step::kClaim, 1, "expired"}}},
};

ActionLedgerSettings Settings(std::size_t bytes) {
  SetViolationReaction(ViolationReaction::kAbort);
  return {std::chrono::milliseconds(kRetentionMs),
          std::chrono::milliseconds(kSkewMs), bytes};
}

std::string ToText(const ClaimOutcome& outcome) {
  constexpr const char* kNames[] = {"granted", "held",    "completed",
                                    "expired", "differs", "void"};
  std::string text = kNames[static_cast<std::size_t>(outcome.claim_result)];
  return outcome.result.empty() ? text : text + " " + outcome.result;
}

std::string Run(ActionLedger& ledger,
                const LedgerStep& step,
                const std::string& key = "key") {
  const WallTime now{std::chrono::milliseconds(step.at_ms)};
  const CustomerId customer("acme");
  const ClaimToken token(step.token);
  switch (step.step) {
    case Step::kClaim:
      return ToText(ledger.Claim(
          now, {IdempotencyKey(key), customer, token, VmId("entry-1"),
                step.issued_at_ms, step.content}));
    case Step::kRelease:
      return ledger.Release(now, {IdempotencyKey(key), customer, token})
                     .released
                 ? "released"
                 : "kept";
    case Step::kRecord:
      return ledger.Record(now, {IdempotencyKey(key), customer, token,
                                 fmt::format("done-{}", step.token)})
                     .recorded
                 ? "recorded"
                 : "refused";
  }
  return "";
}

}  // namespace

ParameterizedTestParameters(ActionLedger, AnswersStepsInOrder) {
  return RowIndices(kLedgerRows);
}

// Guards against two sends for one key, which run a paid action twice, and
// against a key that stays blocked although its claim was released. Both happen
// if a late, repeated or foreign claim or release changes the state of the key.
ParameterizedTest(std::size_t* index, ActionLedger, AnswersStepsInOrder) {
  const LedgerRow& row = kLedgerRows[*index];
  ActionLedger ledger(Settings(1'000'000));
  for (std::size_t i = 0; i < row.steps.size(); ++i) {
    const std::string actual = Run(ledger, row.steps[i]);
    cr_assert_eq(actual, std::string(row.steps[i].answer),
                 "%s, step %zu: expected \"%s\", actual \"%s\"", row.behaviour,
                 i, row.steps[i].answer, actual.c_str());
  }
}

// Guards against a key that is granted again because its entry was dropped to
// limit the memory. The action would run twice.
Test(ActionLedger, KeyDroppedForMemoryIsRefused) {
  constexpr std::size_t kMaxLedgerBytes = 20'000;
  constexpr std::int64_t kKeys = 500;
  ActionLedger ledger(Settings(kMaxLedgerBytes));
  for (std::int64_t i = 0; i < kKeys; ++i) {
    Run(ledger, {5000, Step::kClaim, 1, "", 4100 + i}, fmt::format("k{}", i));
  }
  cr_assert_leq(ledger.bytes(), kMaxLedgerBytes,
                "expected at most %zu, actual %zu", kMaxLedgerBytes,
                ledger.bytes());
  std::size_t granted = 0;
  for (std::int64_t i = 0; i < kKeys; ++i) {
    const std::string answer = Run(
        ledger, {5000, Step::kClaim, 2, "", 4100 + i}, fmt::format("k{}", i));
    granted += answer == "granted";
  }
  cr_assert_eq(granted, 0U, "expected 0, actual %zu", granted);
}

// Guards against a memory leak: entries of claimed keys, or of keys that were
// only released, which stay in memory after the end of their retention.
Test(ActionLedger, ExpiredEntriesAreDropped) {
  ActionLedger ledger(Settings(1'000'000));
  for (int i = 0; i < 100; ++i) {
    Run(ledger, {5000, Step::kClaim, 1, ""}, fmt::format("claimed-{}", i));
    Run(ledger, {5000, Step::kRelease, 1, ""}, fmt::format("released-{}", i));
  }
  Run(ledger, {5000 + kRetentionMs + kSkewMs, Step::kClaim, 1, "", 6100});
  cr_assert_eq(ledger.size(), 1U, "expected 1, actual %zu", ledger.size());
}

}  // namespace marigold
