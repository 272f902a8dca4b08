#include "src/policy/quota/quota_coordinator.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

#include "src/policy/quota/quota_gate.h"
#include "tests/row_indices.h"

namespace marigold {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kStart{seconds(1'000)};
const CustomerId kCustomer("shop");

std::vector<RoutedCustomer> Customers(double rate, double burst) {
  RoutedCustomer customer;
  customer.customer = kCustomer;
  customer.quota = {RatePerSecond(rate), burst};
  return {customer};
}

// Reports of one entry process. `count` requests were offered and admitted
// since the report before.
class Reporter {
 public:
  explicit Reporter(int number)
      : vm("e" + std::to_string(number)), process(number + 1) {}

  QuotaUsageReport Report(std::uint32_t count) {
    this->number = Next(this->number);
    this->total += count;
    const float rate = static_cast<float>(count);
    return {this->vm,
            this->process,
            this->number,
            {{kCustomer, this->total, this->total, count, count, rate, rate}}};
  }

  std::uint32_t total = 0;

 private:
  VmId vm;
  EntryProcessId process;
  UsageReportNumber number;
};

// Runs a round at `end` and returns the level of the customer, whose ratio
// must be below 1.
double LevelAt(QuotaCoordinator& coordinator, MonotonicTime end) {
  coordinator.Round(end);
  const auto limited = coordinator.Limited();
  cr_assert_eq(limited.size(), 1);
  return limited.front().level;
}

struct CountingRow {
  const char* description;
  // Reports in the order in which they arrive.
  std::vector<QuotaUsageReport> (*reports)();
  double used;
};

const CountingRow kCountingRows[] = {
    {"each report counts",
     [] {
       Reporter reporter(1);
       return std::vector{reporter.Report(100), reporter.Report(50)};
     },
     150},
    {"a repeated report counts once",
     [] {
       Reporter reporter(1);
       const auto report = reporter.Report(100);
       return std::vector{report, report, report};
     },
     100},
    {"a lost report counts with the next one",
     [] {
       Reporter reporter(1);
       const auto first = reporter.Report(100);
       reporter.Report(30);
       return std::vector{first, reporter.Report(20)};
     },
     150},
    {"a late report does not count twice",
     [] {
       Reporter reporter(1);
       const auto first = reporter.Report(100);
       const auto late = reporter.Report(30);
       return std::vector{first, reporter.Report(20), late};
     },
     150},
    {"what a process counted before is not counted",
     [] {
       Reporter reporter(1);
       reporter.total = 5'000;
       return std::vector{reporter.Report(120)};
     },
     120},
    {"counts wrap around",
     [] {
       Reporter reporter(1);
       reporter.total = 0xffff'ffff - 110;
       return std::vector{reporter.Report(100), reporter.Report(50)};
     },
     150},
    {"VMs add up",
     [] {
       return std::vector{Reporter(1).Report(100), Reporter(2).Report(50)};
     },
     150},
};

}  // namespace

ParameterizedTestParameters(QuotaCoordinator, CountsEachRequestOnce) {
  return RowIndices(kCountingRows);
}

// Guards against requests that count twice or not at all when reports are lost,
// repeated or late.
ParameterizedTest(std::size_t* index, QuotaCoordinator, CountsEachRequestOnce) {
  const CountingRow& row = kCountingRows[*index];
  QuotaCoordinator coordinator(kStart, Term(1));
  coordinator.SetCustomers(kStart, Customers(10, 40));
  const MonotonicTime later = kStart + seconds(20);
  coordinator.Round(later);
  for (const QuotaUsageReport& report : row.reports()) {
    coordinator.OnReport(later, report);
  }
  const double level = LevelAt(coordinator, later);
  cr_expect_float_eq(level, 40 + kQuotaBurstMargin - row.used, 0.01,
                     "%s: level %.1f", row.description, level);
}

// Guards against a silent VM whose use is forgotten, counted twice after its
// return, or reserved for ever.
Test(QuotaCoordinator, ReservesForASilentVm) {
  QuotaCoordinator coordinator(kStart, Term(1));
  coordinator.SetCustomers(kStart, Customers(10, 40));
  MonotonicTime now = kStart + seconds(20);
  coordinator.Round(now);
  Reporter silent(1);
  Reporter other(2);
  coordinator.OnReport(now, silent.Report(4));
  for (int i = 0; i < 40; ++i) {
    now += milliseconds(100);
    coordinator.OnReport(now, other.Report(100));
    coordinator.Round(now);
  }
  cr_assert_eq(coordinator.Limited().size(), 1);
  cr_expect_float_eq(coordinator.Limited()[0].reserved.value(), 4 * 1.25, 0.01);
  const double before = LevelAt(coordinator, now);
  // 3 s of the reservation come back, and 4 requests are counted.
  coordinator.OnReport(now, silent.Report(4));
  const double after = LevelAt(coordinator, now);
  cr_expect_float_eq(after - before, 3.1 * 5 - 4, 0.6, "returned %.1f",
                     after - before);
  for (int i = 0; i < 135; ++i) {
    now += milliseconds(100);
    coordinator.OnReport(now, other.Report(100));
    coordinator.Round(now);
  }
  cr_expect_eq(coordinator.vm_count(), 1);
  cr_expect_float_eq(coordinator.Limited()[0].reserved.value(), 0, 0.01);
}

// Guards against memory that grows with customers and VMs that are gone.
Test(QuotaCoordinator, ForgetsWhatIsGone) {
  QuotaCoordinator coordinator(kStart, Term(1));
  coordinator.SetCustomers(kStart, Customers(10, 40));
  MonotonicTime now = kStart;
  for (int i = 0; i < 400; ++i) {
    now += milliseconds(100);
    coordinator.OnReport(now, Reporter(i).Report(1));
    coordinator.Round(now);
  }
  cr_expect(coordinator.vm_count() <= 131, "%zu VMs", coordinator.vm_count());
  coordinator.SetCustomers(now, {});
  cr_expect_eq(coordinator.customer_count(), 0);
  coordinator.OnReport(now, Reporter(1).Report(1));
  cr_expect_eq(coordinator.customer_count(), 0);
}

// Guards against a burst of the old quota after it was lowered.
Test(QuotaCoordinator, CutsTheLevelToALoweredBurst) {
  QuotaCoordinator coordinator(kStart, Term(1));
  coordinator.SetCustomers(kStart, Customers(100, 500));
  const MonotonicTime now = kStart + seconds(20);
  coordinator.Round(now);
  coordinator.SetCustomers(now, Customers(10, 40));
  coordinator.OnReport(now, Reporter(1).Report(100));
  cr_expect_float_eq(LevelAt(coordinator, now), 40 + kQuotaBurstMargin - 100,
                     0.01);
}

}  // namespace marigold
