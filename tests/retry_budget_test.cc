#include <criterion/criterion.h>

#include <algorithm>
#include <vector>

#include "src/policy/retry_budget.h"
#include "tests/row_indices.h"

namespace marigold {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct LoadRow {
  const char* description;
  // The requests per second in each phase of five seconds.
  std::vector<int> rates;
  double budget_share;
};

const LoadRow kLoadRows[] = {
    {"steady load", {100, 100, 100, 100}, 0.1},
    {"a burst that ends", {500, 500, 0, 0}, 0.1},
    {"load that begins", {0, 0, 300, 300}, 0.1},
    {"no load", {0, 0, 0, 0}, 0.05},
    {"no share of the minimum", {50, 0, 50, 0}, 0},
};

}  // namespace

ParameterizedTestParameters(RetryBudget, NoWindowExceedsTheBudget) {
  return RowIndices(kLoadRows);
}

// Guards against extra sends above the budget in any interval of the window's
// length, which would put more load on an overloaded service. The test spends
// as much as the budget allows at all times.
ParameterizedTest(std::size_t* index, RetryBudget, NoWindowExceedsTheBudget) {
  const LoadRow& row = kLoadRows[*index];
  const RetryBudgetSettings settings{Fraction(0.2), 120, seconds(10)};
  RetryBudget budget;
  std::vector<Duration> requests;
  std::vector<Duration> extra_sends;
  const Duration step = milliseconds(10);
  const MonotonicTime start(seconds(1'000));
  for (Duration at{}; at < seconds(5) * row.rates.size(); at += step) {
    const auto phase = static_cast<std::size_t>(at / seconds(5));
    for (int i = 0; i < row.rates[phase] / 100; ++i) {
      budget.OnRequest(settings, start + at);
      requests.push_back(at);
    }
    while (budget.TrySpend(settings, start + at, Fraction(row.budget_share))) {
      extra_sends.push_back(at);
    }
  }
  const auto count_within = [](const std::vector<Duration>& times,
                               Duration from) {
    return static_cast<double>(
        std::count_if(times.begin(), times.end(), [&](Duration time) {
          return time >= from && time < from + seconds(10);
        }));
  };
  for (Duration from = -seconds(10); from < seconds(20);
       from += milliseconds(250)) {
    const double most_requests =
        std::max({count_within(requests, from),
                  count_within(requests, from - seconds(10)),
                  count_within(requests, from - seconds(5))});
    const double allowed = 0.2 * most_requests + 120 * row.budget_share;
    const double actual = count_within(extra_sends, from);
    cr_assert(actual <= allowed,
              "%s from %lld ms: expected at most %f, actual %f",
              row.description, static_cast<long long>(from.count() / 1000),
              allowed, actual);
  }
}

// Guards against entry VMs that spend the budget twice within one window when
// all of them restart, because the new processes do not know the sends of the
// earlier ones.
Test(RetryBudget, RestartedProcessSpendsLessForOneWindow) {
  RetryBudgetSettings settings{Fraction(0.2), 120, seconds(10)};
  const MonotonicTime start(seconds(1'000));
  const auto spend_all = [&](RetryBudget& budget, MonotonicTime from) {
    int spent = 0;
    for (int i = 0; i < 500; ++i) {
      budget.OnRequest(settings, from + milliseconds(10) * i);
      while (
          budget.TrySpend(settings, from + milliseconds(10) * i, Fraction(1))) {
        ++spent;
      }
    }
    return spent;
  };
  RetryBudget budget_before_restart;
  const int spent_before_restart = spend_all(budget_before_restart, start);
  settings.started_at = start + seconds(5);
  RetryBudget budget_after_restart;
  const int spent_after_restart =
      spend_all(budget_after_restart, start + seconds(5));
  const int allowed = 200 + 120;
  cr_assert(spent_before_restart + spent_after_restart <= allowed,
            "expected at most %d, actual %d + %d", allowed,
            spent_before_restart, spent_after_restart);
  cr_assert(spent_after_restart > 0,
            "expected some extra sends after the restart");
}

}  // namespace marigold
