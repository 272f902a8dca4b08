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

// One `Admission` with its own time; tickets count from 1.
class AdmissionFixture {
 public:
  explicit AdmissionFixture(AdmissionSettings settings = {})
      : admission(settings) {}

  // "run", "queued" or the reason of the refusal.
  std::string Offer(const std::string& customer,
                    AdmissionLimits limits = {RatePerSecond(1000), 1000, 1000,
                                              1},
                    Duration deadline = seconds(1)) {
    const AdmissionDecision decision = this->admission.Offer(
        this->now, {TicketId(++this->last), CustomerId(customer),
                    ServiceId("lookup"), limits, this->now + deadline});
    if (const auto* refusal = std::get_if<Refusal>(&decision)) {
      this->refusal = *refusal;
      return std::string(ToString(refusal->reason));
    }
    this->customers[this->last] = customer;
    return std::holds_alternative<AdmissionGranted>(decision) ? "run"
                                                              : "queued";
  }

  // The customers whose requests begin when this one ends.
  std::string Complete(std::uint64_t ticket,
                       Duration run_time = milliseconds(10),
                       Congestion congestion = Congestion::kNone) {
    const EndedWaits ended_waits = this->admission.Complete(
        this->now, TicketId(ticket), run_time, congestion);
    std::string names;
    for (const TicketId ready : ended_waits.ready) {
      names += this->customers[ready.value()];
    }
    return names;
  }

  // Runs `count` requests one after another.
  void RunSequentially(int count, Duration run_time) {
    for (int i = 0; i < count; ++i) {
      this->Offer("teacher");
      this->now += run_time;
      this->Complete(this->last, run_time);
    }
  }

  Admission admission;
  MonotonicTime now;
  std::uint64_t last = 0;
  Refusal refusal;
  std::map<std::uint64_t, std::string> customers;
};

AdmissionLimits Weighted(std::uint32_t weight) {
  return {RatePerSecond(1000), 1000, 1000, weight};
}

// How many of 60 requests in service order belong to "a" when "a" and "b" keep
// the queue full.
int CountServedOf60(std::uint32_t weight_a, std::uint32_t weight_b) {
  AdmissionFixture fixture({.max_capacity = 1, .max_wait = seconds(10)});
  fixture.Offer("first");
  for (int i = 0; i < 200; ++i) {
    fixture.Offer("a", Weighted(weight_a), seconds(100));
    fixture.Offer("b", Weighted(weight_b), seconds(100));
  }
  std::string order;
  std::uint64_t running = 1;
  while (order.size() < 60) {
    const EndedWaits ended_waits = fixture.admission.Complete(
        fixture.now, TicketId(running), milliseconds(1));
    running = ended_waits.ready.at(0).value();
    order += fixture.customers[running];
  }
  return static_cast<int>(std::count(order.begin(), order.end(), 'a'));
}

struct AdmissionRow {
  const char* behaviour;
  std::string (*actual)();
  const char* expected;
};

// Each row guards against the failure that its comment names.
const AdmissionRow kBehaviourRows[] = {
    // A customer that exceeds its rate.
    {"refuses beyond the burst",
     [] {
       AdmissionFixture fixture;
       const AdmissionLimits limits{RatePerSecond(10), 2, 100, 1};
       const std::string first = fixture.Offer("a", limits);
       const std::string second = fixture.Offer("a", limits);
       return first + " " + second + " " + fixture.Offer("a", limits);
     },
     "run run rate_limited"},
    // A caller told to come back before it can succeed, or much later.
    {"names the time of the next token",
     [] {
       AdmissionFixture fixture;
       const AdmissionLimits limits{RatePerSecond(10), 1, 100, 1};
       fixture.Offer("a", limits);
       fixture.Offer("a", limits);
       const auto after = ToMilliseconds(*fixture.refusal.retry_after);
       fixture.now += *fixture.refusal.retry_after;
       return fmt::format("{} {}", after, fixture.Offer("a", limits));
     },
     "100 run"},
    // A refusal that might have run.
    {"refuses as did-not-run",
     [] {
       AdmissionFixture fixture;
       fixture.Offer("a", {RatePerSecond(0), 0, 100, 1});
       return std::string(ToString(fixture.refusal.execution));
     },
     "did_not_run"},
    // More requests in flight than the plan allows.
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
    // A limit of one customer applied to another.
    {"keeps the limits of customers apart",
     [] {
       AdmissionFixture fixture;
       const AdmissionLimits limits{RatePerSecond(1), 1, 1, 1};
       fixture.Offer("a", limits);
       return fixture.Offer("b", limits);
     },
     "run"},
    // Work done for a caller that is gone when it ends.
    {"refuses what cannot be done before its deadline",
     [] {
       AdmissionFixture fixture;
       fixture.RunSequentially(128, milliseconds(100));
       return fixture.Offer("a", Weighted(1), milliseconds(20));
     },
     "deadline_too_short"},
    // A caller that waits in vain.
    {"refuses early when the queue is too long",
     [] {
       AdmissionFixture fixture({.max_capacity = 1});
       fixture.RunSequentially(128, milliseconds(10));
       std::string all;
       for (int i = 0; i < 3; ++i) {
         all += fixture.Offer("a") + " ";
       }
       return all;
     },
     "run queued overloaded "},
    // Requests that wait although nothing runs.
    {"gives freed capacity to the next",
     [] {
       AdmissionFixture fixture({.max_capacity = 1});
       fixture.Offer("a");
       fixture.Offer("b");
       return fixture.Complete(1);
     },
     "b"},
    // A caller that is told late that its request did not run.
    {"expires what waited too long",
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
    // A request that begins after its caller was told that it did not run.
    {"does not begin what has expired",
     [] {
       AdmissionFixture fixture({.max_capacity = 1});
       fixture.Offer("a");
       fixture.Offer("b");
       fixture.now += milliseconds(20);
       return "\"" + fixture.Complete(1) + "\"";
     },
     "\"\""},
    // A full queue that keeps out customers within their shares.
    {"makes room for a customer behind its share",
     [] {
       AdmissionFixture fixture({.max_capacity = 1, .max_queue_length = 4});
       for (int i = 0; i < 5; ++i) {
         fixture.Offer("a");
       }
       const std::string other = fixture.Offer("b");
       const std::size_t expired =
           fixture.admission.Expire(fixture.now).expired.size();
       return fmt::format("{} {} {}", other, expired, fixture.Complete(1));
     },
     "queued 1 b"},
    // Capacity kept while servers have queues.
    {"lowers the capacity while servers are overloaded",
     [] {
       AdmissionFixture fixture;
       const std::uint32_t before = fixture.admission.capacity();
       for (int i = 0; i < 100; ++i) {
         fixture.Offer("a");
         fixture.now += milliseconds(10);
         fixture.Complete(fixture.last, milliseconds(10),
                          Congestion::kOverload);
       }
       return fmt::format("{} {}", before, fixture.admission.capacity());
     },
     "16 1"},
    // Capacity that stays low after an overload.
    {"raises the capacity after an overload",
     [] {
       AdmissionFixture fixture;
       for (int i = 0; i < 100; ++i) {
         fixture.Offer("a");
         fixture.now += milliseconds(10);
         fixture.Complete(fixture.last, milliseconds(10),
                          Congestion::kOverload);
       }
       fixture.RunSequentially(400, milliseconds(10));
       return fmt::format("{}", fixture.admission.capacity() >= 8);
     },
     "true"},
    // The tail of all customers lengthened by one that takes far more than its
    // share.
    {"holds a greedy customer to its share while requests wait",
     [] {
       AdmissionFixture fixture;
       int greedy = 0;
       int modest = 0;
       for (int i = 0; i < 4000; ++i) {
         fixture.now += milliseconds(5);
         const bool is_modest = i % 20 == 0;
         if (fixture.Offer(is_modest ? "b" : "a") == "run") {
           // The first half is the time in which it is noticed.
           (is_modest ? modest : greedy) += i < 2000 ? 0 : 1;
           fixture.Complete(fixture.last, milliseconds(5), Congestion::kQueues);
         }
       }
       // The mean of both is the share, and 1.5 shares are allowed.
       return fmt::format("modest {} greedy at most 330: {}", modest,
                          greedy <= 330);
     },
     "modest 100 greedy at most 330: true"},
    // A large customer refused although there is room for all.
    {"lets a customer take what nobody needs",
     [] {
       AdmissionFixture fixture;
       int greedy = 0;
       for (int i = 0; i < 4000; ++i) {
         fixture.now += milliseconds(5);
         if (fixture.Offer(i % 20 == 0 ? "b" : "a") == "run") {
           greedy += i % 20 == 0 ? 0 : 1;
           fixture.Complete(fixture.last, milliseconds(5), Congestion::kNone);
         }
       }
       return fmt::format("{}", greedy);
     },
     "3800"},
};

struct WeightRow {
  std::uint32_t weight_a;
  std::uint32_t weight_b;
  int expected;
};

// Guards against contended capacity divided otherwise than by weight.
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
