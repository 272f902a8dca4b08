#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "src/policy/admission.h"
#include "tests/row_indices.h"

namespace marigold {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// An `Admission` with a clock that the test sets. Tickets count from 1.
class AdmissionFixture {
 public:
  explicit AdmissionFixture(AdmissionSettings settings = {})
      : admission(settings) {}

  // Offers a request of the customer. Returns "run", "queued" or the reason of
  // the refusal.
  std::string Offer(const std::string& customer,
                    AdmissionLimits limits = {RatePerSecond(1000), 1000, 1000,
                                              1},
                    Duration time_left = seconds(1)) {
    const AdmissionDecision decision = this->admission.Offer(
        this->now, {TicketId(++this->last_ticket), CustomerId(customer),
                    ServiceId("lookup"), limits, this->now + time_left});
    if (const auto* refusal = std::get_if<Refusal>(&decision)) {
      this->last_refusal = *refusal;
      return std::string(ToString(refusal->reason));
    }
    this->customers_by_ticket[this->last_ticket] = customer;
    return std::holds_alternative<AdmissionGranted>(decision) ? "run"
                                                              : "queued";
  }

  // Ends a request. Returns the names of the customers whose requests start
  // then, joined to one string.
  std::string Complete(std::uint64_t ticket,
                       Duration run_time = milliseconds(10),
                       Congestion congestion = Congestion::kNone) {
    const EndedWaits ended_waits = this->admission.Complete(
        this->now, TicketId(ticket), run_time, congestion);
    std::string names;
    for (const TicketId ready : ended_waits.ready) {
      names += this->customers_by_ticket[ready.value()];
    }
    return names;
  }

  // Runs `count` requests one after another, each for `run_time`.
  void RunSequentially(int count, Duration run_time) {
    for (int i = 0; i < count; ++i) {
      this->Offer("warm-up");
      this->now += run_time;
      this->Complete(this->last_ticket, run_time);
    }
  }

  Admission admission;
  MonotonicTime now;
  std::uint64_t last_ticket = 0;
  Refusal last_refusal;
  std::map<std::uint64_t, std::string> customers_by_ticket;
};

AdmissionLimits LimitsWithWeight(std::uint32_t weight) {
  return {RatePerSecond(1000), 1000, 1000, weight};
}

// Returns the number of requests of "a" among the first 60 that start while
// both "a" and "b" keep requests in the queue.
int CountServedOf60(std::uint32_t weight_a, std::uint32_t weight_b) {
  AdmissionFixture fixture({.max_capacity = 1, .max_wait = seconds(10)});
  fixture.Offer("first");
  for (int i = 0; i < 200; ++i) {
    fixture.Offer("a", LimitsWithWeight(weight_a), seconds(100));
    fixture.Offer("b", LimitsWithWeight(weight_b), seconds(100));
  }
  std::string start_order;
  std::uint64_t running_ticket = 1;
  while (start_order.size() < 60) {
    const EndedWaits ended_waits = fixture.admission.Complete(
        fixture.now, TicketId(running_ticket), milliseconds(1));
    running_ticket = ended_waits.ready.at(0).value();
    start_order += fixture.customers_by_ticket[running_ticket];
  }
  return static_cast<int>(
      std::count(start_order.begin(), start_order.end(), 'a'));
}

struct AdmissionRow {
  const char* behaviour;
  std::string (*actual)();
  const char* expected;
};

// The comment of each row describes the failure that the row guards against.
const AdmissionRow kBehaviourRows[] = {
    // A customer sends more requests than its rate and burst allow, at the cost
    // of other customers.
    {"refuses requests beyond the burst",
     [] {
       AdmissionFixture fixture;
       const AdmissionLimits limits{RatePerSecond(10), 2, 100, 1};
       const std::string first = fixture.Offer("a", limits);
       const std::string second = fixture.Offer("a", limits);
       return first + " " + second + " " + fixture.Offer("a", limits);
     },
     "run run rate_limited"},
    // A caller is told a retry time at which it is refused again, or that is
    // much later than the next token.
    {"returns the time of the next token",
     [] {
       AdmissionFixture fixture;
       const AdmissionLimits limits{RatePerSecond(10), 1, 100, 1};
       fixture.Offer("a", limits);
       fixture.Offer("a", limits);
       const auto retry_after_ms =
           ToMilliseconds(*fixture.last_refusal.retry_after);
       fixture.now += *fixture.last_refusal.retry_after;
       return fmt::format("{} {}", retry_after_ms, fixture.Offer("a", limits));
     },
     "100 run"},
    // A refused caller is told that its request may have run, so that it cannot
    // retry safely.
    {"reports a refused request as did-not-run",
     [] {
       AdmissionFixture fixture;
       fixture.Offer("a", {RatePerSecond(0), 0, 100, 1});
       return std::string(ToString(fixture.last_refusal.execution));
     },
     "did_not_run"},
    // A customer has more requests in flight than its plan allows.
    {"limits the concurrency of a customer",
     [] {
       AdmissionFixture fixture;
       const AdmissionLimits limits{RatePerSecond(1000), 100, 1, 1};
       const std::string first = fixture.Offer("a", limits);
       const std::string second = fixture.Offer("a", limits);
       fixture.Complete(1);
       return first + " " + second + " " + fixture.Offer("a", limits);
     },
     "run concurrency_limited run"},
    // A customer is refused because another one has used up its own limit.
    {"applies limits to each customer separately",
     [] {
       AdmissionFixture fixture;
       const AdmissionLimits limits{RatePerSecond(1), 1, 1, 1};
       fixture.Offer("a", limits);
       return fixture.Offer("b", limits);
     },
     "run"},
    // Backend servers run a request that cannot end before its deadline, when
    // its caller no longer waits.
    {"refuses requests that cannot end before their deadline",
     [] {
       AdmissionFixture fixture;
       fixture.RunSequentially(128, milliseconds(100));
       return fixture.Offer("a", LimitsWithWeight(1), milliseconds(20));
     },
     "deadline_too_short"},
    // A request is queued although it cannot start within the maximum wait, so
    // that its caller learns late that it is refused.
    {"refuses early when the queue is too long",
     [] {
       AdmissionFixture fixture({.max_capacity = 1});
       fixture.RunSequentially(128, milliseconds(10));
       std::string decisions;
       for (int i = 0; i < 3; ++i) {
         decisions += fixture.Offer("a") + " ";
       }
       return decisions;
     },
     "run queued overloaded "},
    // A request keeps waiting although capacity is free, because the end of
    // another request does not start it.
    {"starts the next request when one ends",
     [] {
       AdmissionFixture fixture({.max_capacity = 1});
       fixture.Offer("a");
       fixture.Offer("b");
       return fixture.Complete(1);
     },
     "b"},
    // A request stays in the queue after the maximum wait, and its caller
    // learns late that it did not run.
    {"expires requests that have waited too long",
     [] {
       AdmissionFixture fixture({.max_capacity = 1});
       fixture.Offer("a");
       fixture.Offer("b");
       const Duration wait = fixture.admission.NextExpiry() - fixture.now;
       fixture.now = fixture.admission.NextExpiry();
       return fmt::format("{} {}", wait.count(),
                          fixture.admission.Expire(fixture.now).expired.size());
     },
     "15000 1"},
    // A request starts after its maximum wait, although its caller is told that
    // it did not run.
    {"does not start expired requests",
     [] {
       AdmissionFixture fixture({.max_capacity = 1});
       fixture.Offer("a");
       fixture.Offer("b");
       fixture.now += milliseconds(20);
       return "\"" + fixture.Complete(1) + "\"";
     },
     "\"\""},
    // A customer within its share is refused because another one has filled the
    // queue.
    {"evicts a request for a customer below its share",
     [] {
       AdmissionFixture fixture({.max_capacity = 1, .max_queue_length = 4});
       for (int i = 0; i < 5; ++i) {
         fixture.Offer("a");
       }
       const std::string decision_for_b = fixture.Offer("b");
       const std::size_t expired =
           fixture.admission.Expire(fixture.now).expired.size();
       return fmt::format("{} {} {}", decision_for_b, expired,
                          fixture.Complete(1));
     },
     "queued 1 b"},
    // The entry VM does not reduce the number of requests in flight while they
    // queue at the backend servers.
    {"lowers the capacity while servers are overloaded",
     [] {
       AdmissionFixture fixture;
       const std::uint32_t initial_capacity = fixture.admission.capacity();
       for (int i = 0; i < 100; ++i) {
         fixture.Offer("a");
         fixture.now += milliseconds(10);
         fixture.Complete(fixture.last_ticket, milliseconds(10),
                          Congestion::kOverload);
       }
       return fmt::format("{} {}", initial_capacity,
                          fixture.admission.capacity());
     },
     "16 1"},
    // Requests are refused long after an overload because the capacity does not
    // rise again.
    {"raises the capacity after an overload",
     [] {
       AdmissionFixture fixture;
       for (int i = 0; i < 100; ++i) {
         fixture.Offer("a");
         fixture.now += milliseconds(10);
         fixture.Complete(fixture.last_ticket, milliseconds(10),
                          Congestion::kOverload);
       }
       fixture.RunSequentially(400, milliseconds(10));
       return fmt::format("{}", fixture.admission.capacity() >= 8);
     },
     "true"},
    // One customer takes far more than its share while requests queue at the
    // backend servers, and tail latency grows for all customers.
    {"limits a customer above its share while requests queue at the servers",
     [] {
       AdmissionFixture fixture;
       int heavy_count = 0;
       int light_count = 0;
       for (int i = 0; i < 4000; ++i) {
         fixture.now += milliseconds(5);
         const bool is_light_customer = i % 20 == 0;
         if (fixture.Offer(is_light_customer ? "b" : "a") == "run") {
           // Only the second half counts. In the first half the limiter
           // adjusts.
           (is_light_customer ? light_count : heavy_count) += i < 2000 ? 0 : 1;
           fixture.Complete(fixture.last_ticket, milliseconds(5),
                            Congestion::kQueueing);
         }
       }
       // The fair share is the mean usage of both customers, and a customer may
       // use at least 1.5 fair shares.
       return fmt::format("light {} heavy at most 330: {}", light_count,
                          heavy_count <= 330);
     },
     "light 100 heavy at most 330: true"},
    // A customer is limited to its share although no requests queue at the
    // backend servers.
    {"lets a customer use capacity that others do not need",
     [] {
       AdmissionFixture fixture;
       int heavy_count = 0;
       for (int i = 0; i < 4000; ++i) {
         fixture.now += milliseconds(5);
         if (fixture.Offer(i % 20 == 0 ? "b" : "a") == "run") {
           heavy_count += i % 20 == 0 ? 0 : 1;
           fixture.Complete(fixture.last_ticket, milliseconds(5),
                            Congestion::kNone);
         }
       }
       return fmt::format("{}", heavy_count);
     },
     "3800"},
};

struct WeightRow {
  std::uint32_t weight_a;
  std::uint32_t weight_b;
  int expected;
};

// Guards against contended capacity that is not divided in proportion to the
// weights of the customers.
const WeightRow kWeightRows[] = {{1, 1, 30},
                                 {2, 1, 40},
                                 {1, 3, 15},
                                 {5, 1, 50}};

}  // namespace

ParameterizedTestParameters(Admission, Behaves) {
  return RowIndices(kBehaviourRows);
}

ParameterizedTest(std::size_t* index, Admission, Behaves) {
  const AdmissionRow& row = kBehaviourRows[*index];
  const std::string actual = row.actual();
  cr_assert_eq(actual, std::string(row.expected),
               "%s: expected \"%s\", actual \"%s\"", row.behaviour,
               row.expected, actual.c_str());
}

ParameterizedTestParameters(Admission, DividesCapacityByWeight) {
  return RowIndices(kWeightRows);
}

ParameterizedTest(std::size_t* index, Admission, DividesCapacityByWeight) {
  const WeightRow& row = kWeightRows[*index];
  const int actual = CountServedOf60(row.weight_a, row.weight_b);
  cr_assert(std::abs(actual - row.expected) <= 1,
            "weights %u and %u: expected %d of 60, actual %d", row.weight_a,
            row.weight_b, row.expected, actual);
}

}  // namespace marigold
