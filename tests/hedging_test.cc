#include <criterion/criterion.h>
#include <fmt/format.h>

#include <string>

#include "src/core/random.h"
#include "src/policy/hedging.h"
#include "src/policy/retries.h"
#include "tests/row_indices.h"

namespace marigold {

namespace {

using std::chrono::milliseconds;

// Returns traffic with attempt latencies of 1 to 1000 ms, each once per round.
ServiceTraffic UniformTraffic(int rounds) {
  ServiceTraffic traffic{TrafficSettings()};
  for (int round = 0; round < rounds; ++round) {
    for (int i = 1; i <= 1000; ++i) {
      traffic.OnAttemptLatency(milliseconds(i));
    }
  }
  return traffic;
}

struct QuantileRow {
  double quantile;
  double expected_ms;
};

// Guards against a quantile that is off by a histogram bucket, which would make
// the hedge delay wrong by the width of the bucket.
const QuantileRow kQuantileRows[] = {{0.01, 10},
                                     {0.5, 500},
                                     {0.9, 900},
                                     {0.985, 985},
                                     {1, 1000}};

struct DelayRow {
  const char* behaviour;
  // The number of attempts, of 1000, that take 100 ms instead of 10 ms.
  int slow_attempts;
  double expected_ms;
};

const DelayRow kDelayRows[] = {
    // Hedging earlier would add more load than is acceptable for a service
    // without stragglers.
    {"a light tail is hedged late", 0, 10},
    // Hedging later would make searches wait for stragglers although another
    // replica is idle.
    {"a heavy tail is hedged after 3.5 medians", 20, 35},
    // Hedging a fifth of all attempts would exceed the hedge budget.
    {"common slow attempts are hedged late", 200, 100},
};

struct BudgetRow {
  const char* behaviour;
  int (*actual)();
  int expected;
};

int HedgesAllowedAfter(int primaries, bool is_shedding) {
  ServiceTraffic traffic{
      TrafficSettings{.hedge_share = Fraction(0.02), .max_hedge_tokens = 20}};
  MonotonicTime now;
  while (traffic.TryHedge(now)) {
  }
  for (int i = 0; i < primaries; ++i) {
    traffic.OnPrimary();
  }
  if (is_shedding) {
    traffic.OnOutcome(now, true);
  }
  int hedges = 0;
  while (traffic.TryHedge(now + milliseconds(100))) {
    ++hedges;
  }
  return hedges;
}

const BudgetRow kBudgetRows[] = {
    // Hedged requests would exceed their share of the primary sub-requests.
    {"hedged requests are a share of the primary sub-requests",
     [] { return HedgesAllowedAfter(505, false); }, 10},
    // Tokens saved over a long time would permit a burst of hedged requests.
    {"the number of saved tokens is bounded",
     [] { return HedgesAllowedAfter(100'000, false); }, 20},
    // Hedged requests would add load to servers that already shed it.
    {"no hedged requests while servers shed load",
     [] { return HedgesAllowedAfter(505, true); }, 0},
};

struct RetryRow {
  AttemptFailure failure;
  Idempotence idempotence;
  bool expected;
};

// Guards against a retry of an attempt that may have run, for a request that
// must run at most once.
const RetryRow kRetryRows[] = {
    {AttemptFailure::kShed, Idempotence::kNotIdempotent, true},
    {AttemptFailure::kNotSent, Idempotence::kNotIdempotent, true},
    {AttemptFailure::kConnectionLost, Idempotence::kNotIdempotent, false},
    {AttemptFailure::kTimeout, Idempotence::kNotIdempotent, false},
    {AttemptFailure::kConnectionLost, Idempotence::kIdempotent, true},
};

}  // namespace

ParameterizedTestParameters(LatencyDigest, QuantileIsCloseToTheSample) {
  return RowIndices(kQuantileRows);
}

ParameterizedTest(std::size_t* index,
                  LatencyDigest,
                  QuantileIsCloseToTheSample) {
  const QuantileRow& row = kQuantileRows[*index];
  const ServiceTraffic traffic = UniformTraffic(2);
  const double actual = ToMilliseconds(
      *traffic.attempt_digest().Quantile(Fraction(row.quantile)));
  constexpr double kTolerance = 0.04;
  cr_assert(
      std::abs(actual - row.expected_ms) <= row.expected_ms * kTolerance + 1,
      "quantile %g: expected %g ms, actual %g ms", row.quantile,
      row.expected_ms, actual);
}

// Guards against quantiles that keep including old samples, so that the hedge
// delay does not follow a service that gets slower.
Test(LatencyDigest, ForgetsOldSamples) {
  LatencyDigest digest(256);
  for (int i = 0; i < 1000; ++i) {
    digest.Add(milliseconds(1));
  }
  for (int i = 0; i < 512; ++i) {
    digest.Add(milliseconds(100));
  }
  const double actual = ToMilliseconds(*digest.Quantile(Fraction(0.1)));
  cr_assert(actual > 90, "expected about 100 ms, actual %g ms", actual);
}

// Guards against a hedge delay that is the percentile of a few samples only.
Test(Hedging, HasNoDelayWithTooFewSamples) {
  ServiceTraffic traffic{TrafficSettings()};
  for (int i = 0; i < 10; ++i) {
    traffic.OnAttemptLatency(milliseconds(5));
  }
  cr_assert(!PercentileHedge().Delay(traffic), "expected no delay, actual one");
}

ParameterizedTestParameters(Hedging, DelayFollowsTheTail) {
  return RowIndices(kDelayRows);
}

ParameterizedTest(std::size_t* index, Hedging, DelayFollowsTheTail) {
  const DelayRow& row = kDelayRows[*index];
  ServiceTraffic traffic{TrafficSettings()};
  for (int i = 0; i < 1000; ++i) {
    traffic.OnAttemptLatency(milliseconds(i < row.slow_attempts ? 100 : 10));
  }
  const double actual = ToMilliseconds(*PercentileHedge().Delay(traffic));
  constexpr double kTolerance = 0.07;
  cr_assert(std::abs(actual - row.expected_ms) <= row.expected_ms * kTolerance,
            "%s: expected %g ms, actual %g ms", row.behaviour, row.expected_ms,
            actual);
}

ParameterizedTestParameters(Hedging, BudgetBoundsHedgedRequests) {
  return RowIndices(kBudgetRows);
}

ParameterizedTest(std::size_t* index, Hedging, BudgetBoundsHedgedRequests) {
  const BudgetRow& row = kBudgetRows[*index];
  const int actual = row.actual();
  cr_assert_eq(actual, row.expected, "%s: expected %d, actual %d",
               row.behaviour, row.expected, actual);
}

ParameterizedTestParameters(Retries, AllowOnlySafeRepeats) {
  return RowIndices(kRetryRows);
}

ParameterizedTest(std::size_t* index, Retries, AllowOnlySafeRepeats) {
  const RetryRow& row = kRetryRows[*index];
  const bool actual = BackoffRetry().Allows(row.failure, row.idempotence);
  cr_assert_eq(actual, row.expected, "%s: expected %d, actual %d",
               std::string(ToString(row.failure)).c_str(), row.expected,
               actual);
}

// Guards against searches that failed at the same time and all retry at the
// same time.
Test(Retries, BackoffGrowsAndIsSpread) {
  SeededRandom random(1);
  const Duration first_delay = *BackoffRetry().Backoff(2, random);
  const Duration second_delay = *BackoffRetry().Backoff(2, random);
  const Duration later_delay = *BackoffRetry().Backoff(5, random);
  cr_assert(first_delay != second_delay && later_delay > first_delay * 3,
            "expected two different delays and a longer one, actual %ld, %ld "
            "and %ld us",
            first_delay.count(), second_delay.count(), later_delay.count());
}

}  // namespace marigold
