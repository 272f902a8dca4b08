#include "src/net/forward/quota_check.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

#include "platform/http_dialect.h"
#include "src/tables/quota_table.h"
#include "tests/row_indices.h"

namespace marigold {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The requests beyond the burst that a quota allows at once.
constexpr int kMargin = static_cast<int>(kQuotaBurstMargin);
const CustomerId kCustomer("shop");

RoutedCustomer Customer(const std::string& name, double rate, double burst) {
  RoutedCustomer customer;
  customer.customer = CustomerId(name);
  customer.quota = {RatePerSecond(rate), burst};
  return customer;
}

// A quota table with the routes of a configuration.
struct Fixture {
  explicit Fixture(std::vector<RoutedCustomer> customers) {
    this->SetCustomers(std::move(customers));
  }

  void SetCustomers(std::vector<RoutedCustomer> customers) {
    ListUpdate update;
    update.from = this->lists.index();
    update.to = Next(update.from);
    update.routes = RouteTable();
    update.routes->version = RouteVersion(update.to.value());
    update.routes->customers = std::move(customers);
    this->lists.Apply(this->now, update);
  }

  void ApplyState(double ratio) {
    this->state_number = Next(this->state_number);
    this->quotas.Apply(this->now, {Term(1),
                                   this->state_number,
                                   Duration::zero(),
                                   {{kCustomer, Fraction(ratio)}}});
  }

  int CountAdmitted(int offered, const CustomerId& customer = kCustomer) {
    int admitted = 0;
    for (int i = 0; i < offered; ++i) {
      admitted += this->quotas.Admit(this->now, customer).is_admitted() ? 1 : 0;
    }
    return admitted;
  }

  MonotonicTime now{seconds(1'000)};
  ListTable lists;
  QuotaTable quotas{VmId("e1"), lists};
  QuotaStateNumber state_number;
};

struct AdmissionRow {
  const char* description;
  std::vector<RoutedCustomer> customers;
  // Absent if no state has arrived.
  std::optional<double> ratio;
  // The age of the state when the requests arrive.
  Duration age;
  int offered;
  int min_admitted;
  int max_admitted;
};

const AdmissionRow kAdmissionRows[] = {
    {"no customers", {}, 1, {}, 100, 100, 100},
    {"no quota", {Customer("shop", 0, 0)}, 0.1, {}, 100, 100, 100},
    {"another customer", {Customer("other", 1, 1)}, 1, {}, 100, 100, 100},
    {"one VM uses the quota alone",
     {Customer("shop", 10, 30)},
     1,
     {},
     100,
     30 + kMargin,
     30 + kMargin},
    {"ratio", {Customer("shop", 100, 100)}, 0.25, {}, 100, 25, 26},
    {"ratio 0", {Customer("shop", 100, 100)}, 0, {}, 100, 0, 0},
    {"no state", {Customer("shop", 100, 100)}, std::nullopt, {}, 100, 1, 1},
    {"state no longer fresh",
     {Customer("shop", 100, 100)},
     1,
     seconds(1),
     100,
     1,
     1},
    {"ratio of a state no longer fresh",
     {Customer("shop", 100, 100)},
     0,
     seconds(1),
     100,
     0,
     0},
    {"old state", {Customer("shop", 100, 100)}, 0, seconds(20), 100, 1, 1},
};

}  // namespace

ParameterizedTestParameters(QuotaTable, AdmitsByTheNewestState) {
  return RowIndices(kAdmissionRows);
}

// Guards against refusals of customers without a quota, and against use beyond
// the quota when a state is missing or old.
ParameterizedTest(std::size_t* index, QuotaTable, AdmitsByTheNewestState) {
  const AdmissionRow& row = kAdmissionRows[*index];
  Fixture fixture(row.customers);
  if (row.ratio) {
    fixture.ApplyState(*row.ratio);
  }
  fixture.now += row.age;
  const int admitted = fixture.CountAdmitted(row.offered);
  cr_expect(admitted >= row.min_admitted && admitted <= row.max_admitted,
            "%s: %d admitted", row.description, admitted);
}

// Guards against an entry VM that keeps the quota of an old configuration.
Test(QuotaTable, FollowsTheRoutesInForce) {
  Fixture fixture({Customer("shop", 10, 30)});
  fixture.ApplyState(1);
  cr_expect_eq(fixture.CountAdmitted(100), 30 + kMargin);
  fixture.SetCustomers({Customer("shop", 0, 0)});
  cr_expect_eq(fixture.CountAdmitted(100), 100);
  fixture.SetCustomers({Customer("shop", 1, 1)});
  cr_expect_eq(fixture.CountAdmitted(100), 1 + kMargin);
}

// Guards against refusals of a customer whose quota has just been introduced,
// before the first state arrives, and against a gate that goes on without one.
Test(QuotaTable, AdmitsTheQuotaWhenItIsIntroduced) {
  Fixture fixture({});
  // Without customers, no request asks the table.
  fixture.quotas.FollowLists(fixture.now);
  fixture.SetCustomers({Customer("shop", 10, 30)});
  cr_expect_eq(fixture.CountAdmitted(100), 30 + kMargin);
  fixture.now += seconds(10);
  cr_expect_eq(fixture.CountAdmitted(100), 1);
}

// Guards against a state of a former leader that takes effect.
Test(QuotaTable, DropsOlderStates) {
  Fixture fixture({Customer("shop", 100, 100)});
  const auto apply = [&](std::uint64_t term, std::uint64_t number,
                         double ratio) {
    fixture.quotas.Apply(fixture.now, {Term(term),
                                       QuotaStateNumber(number),
                                       Duration::zero(),
                                       {{kCustomer, Fraction(ratio)}}});
  };
  apply(2, 1, 0);
  apply(1, 9, 1);
  apply(2, 1, 1);
  cr_expect_eq(fixture.CountAdmitted(10), 0);
  apply(2, 2, 1);
  cr_expect_eq(fixture.CountAdmitted(10), 10);
}

// Guards against reports without requests, several timers for one report, and
// counts that are lost with a report.
Test(QuotaTable, ReportsWhileThereAreRequests) {
  Fixture fixture({Customer("shop", 100, 100)});
  std::vector<MonotonicTime> arranged;
  fixture.quotas.SetReportHandler(
      [&](MonotonicTime at) { arranged.push_back(at); });
  fixture.ApplyState(1);
  cr_expect(arranged.empty());
  fixture.CountAdmitted(3);
  cr_assert_eq(arranged.size(), 1);
  auto report = fixture.quotas.TakeReport(fixture.now);
  cr_assert(report && report->usages.size() == 1);
  cr_expect_eq(report->usages[0].new_admitted, 3);
  fixture.quotas.GiveBack(kCustomer);
  fixture.now += milliseconds(100);
  report = fixture.quotas.TakeReport(fixture.now);
  cr_assert(report && report->usages.size() == 1);
  cr_expect_eq(report->usages[0].admitted, 2);
  int idle_reports = 0;
  while (arranged.back() > fixture.now) {
    fixture.now = arranged.back();
    idle_reports += fixture.quotas.TakeReport(fixture.now) ? 1 : 0;
  }
  cr_expect(idle_reports >= 18 && idle_reports <= 20, "%d idle reports",
            idle_reports);
}

// Guards against reports of an entry VM with many customers that take more than
// 1 KB/s.
Test(QuotaTable, LimitsTheSizeOfReports) {
  std::vector<RoutedCustomer> customers;
  for (int i = 0; i < 1'000; ++i) {
    customers.push_back(Customer("customer-" + std::to_string(i), 10, 10));
  }
  Fixture fixture(customers);
  fixture.ApplyState(1);
  std::size_t reported = 0;
  for (Duration time{}; time < seconds(20); time += milliseconds(5)) {
    fixture.now += milliseconds(5);
    fixture.CountAdmitted(1, customers[time.count() % 997].customer);
    if (const auto report = fixture.quotas.TakeReport(fixture.now)) {
      reported += report->usages.size();
    }
  }
  cr_expect(reported <= 20 * 17 + 32, "%zu customers reported", reported);
}

// Guards against a refusal that a caller takes for another fault, and against a
// request that was sent nowhere but counts.
Test(QuotaTable, RefusalTellsTheCallerWhenToTryAgain) {
  Fixture fixture({Customer("shop", 2, 0)});
  fixture.ApplyState(1);
  ForwardPlan plan;
  cr_expect(!CheckQuota(fixture.quotas, plan, fixture.now));
  plan.customer = kCustomer;
  for (int i = 0; i < kMargin; ++i) {
    cr_expect(!CheckQuota(fixture.quotas, plan, fixture.now));
  }
  const auto refusal = CheckQuota(fixture.quotas, plan, fixture.now);
  cr_assert(refusal.has_value());
  const std::string answer =
      platform::HttpDialect::WriteLocalAnswer(*refusal, false);
  cr_expect(answer.starts_with("HTTP/1.1 429"), "%s", answer.c_str());
  cr_expect(answer.find("Retry-After: 0.5") != std::string::npos, "%s",
            answer.c_str());
  QuotaRefund(fixture.quotas, plan)();
  cr_expect(!CheckQuota(fixture.quotas, plan, fixture.now));
}

}  // namespace marigold
