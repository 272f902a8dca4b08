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
class Gate {
 public:
  explicit Gate(AdmissionSettings settings = {}) : admission(settings) {}

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
    return std::holds_alternative<AdmissionRun>(decision) ? "run" : "queued";
  }

  // The customers whose requests begin when this one ends.
  std::string Complete(std::uint64_t ticket,
                       Duration run_time = milliseconds(10),
                       Congestion congestion = Congestion::kNone) {
    const AdmissionProgress progress = this->admission.Complete(
        this->now, TicketId(ticket), run_time, congestion);
    std::string names;
    for (const TicketId ready : progress.ready) {
      names += this->customers[ready.value()];
    }
    return names;
  }

  // Runs `count` requests one after another.
  void Learn(int count, Duration run_time) {
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
int ServedOf60(std::uint32_t weight_a, std::uint32_t weight_b) {
  Gate gate({.capacity = 1, .longest_wait = seconds(10)});
  gate.Offer("first");
  for (int i = 0; i < 200; ++i) {
    gate.Offer("a", Weighted(weight_a), seconds(100));
    gate.Offer("b", Weighted(weight_b), seconds(100));
  }
  std::string order;
  std::uint64_t running = 1;
  while (order.size() < 60) {
    const AdmissionProgress progress =
        gate.admission.Complete(gate.now, TicketId(running), milliseconds(1));
    running = progress.ready.at(0).value();
    order += gate.customers[running];
  }
  return static_cast<int>(std::count(order.begin(), order.end(), 'a'));
}

struct AdmissionRow {
  const char* behaviour;
  std::string (*actual)();
  const char* expected;
};

// Each row guards against the failure that its comment names.
const AdmissionRow kRows[] = {
    // A customer that exceeds its rate.
    {"refuses beyond the burst",
     [] {
       Gate gate;
       const AdmissionLimits limits{RatePerSecond(10), 2, 100, 1};
       const std::string first = gate.Offer("a", limits);
       const std::string second = gate.Offer("a", limits);
       return first + " " + second + " " + gate.Offer("a", limits);
     },
     "run run rate_limited"},
    // A caller told to come back before it can succeed, or much later.
    {"names the time of the next token",
     [] {
       Gate gate;
       const AdmissionLimits limits{RatePerSecond(10), 1, 100, 1};
       gate.Offer("a", limits);
       gate.Offer("a", limits);
       const auto after = ToMilliseconds(*gate.refusal.retry_after);
       gate.now += *gate.refusal.retry_after;
       return fmt::format("{} {}", after, gate.Offer("a", limits));
     },
     "100 run"},
    // A refusal that might have run.
    {"refuses as did-not-run",
     [] {
       Gate gate;
       gate.Offer("a", {RatePerSecond(0), 0, 100, 1});
       return std::string(ToString(gate.refusal.execution));
     },
     "did_not_run"},
    // More requests in flight than the plan allows.
    {"limits the concurrency of a customer",
     [] {
       Gate gate;
       const AdmissionLimits limits{RatePerSecond(1000), 100, 1, 1};
       const std::string first = gate.Offer("a", limits);
       const std::string second = gate.Offer("a", limits);
       gate.Complete(1);
       return first + " " + second + " " + gate.Offer("a", limits);
     },
     "run concurrency_limited run"},
    // A limit of one customer applied to another.
    {"keeps the limits of customers apart",
     [] {
       Gate gate;
       const AdmissionLimits limits{RatePerSecond(1), 1, 1, 1};
       gate.Offer("a", limits);
       return gate.Offer("b", limits);
     },
     "run"},
    // Work done for a caller that is gone when it ends.
    {"refuses what cannot be done before its deadline",
     [] {
       Gate gate;
       gate.Learn(128, milliseconds(100));
       return gate.Offer("a", Weighted(1), milliseconds(20));
     },
     "deadline_too_short"},
    // A caller that waits in vain.
    {"refuses early when the queue is too long",
     [] {
       Gate gate({.capacity = 1});
       gate.Learn(128, milliseconds(10));
       std::string all;
       for (int i = 0; i < 3; ++i) {
         all += gate.Offer("a") + " ";
       }
       return all;
     },
     "run queued overloaded "},
    // Requests that wait although nothing runs.
    {"gives freed capacity to the next",
     [] {
       Gate gate({.capacity = 1});
       gate.Offer("a");
       gate.Offer("b");
       return gate.Complete(1);
     },
     "b"},
    // A caller that is told late that its request did not run.
    {"expires what waited too long",
     [] {
       Gate gate({.capacity = 1});
       gate.Offer("a");
       gate.Offer("b");
       const Duration wait = gate.admission.NextExpiry() - gate.now;
       gate.now = gate.admission.NextExpiry();
       return fmt::format("{} {}", wait.count(),
                          gate.admission.Expire(gate.now).expired.size());
     },
     "15000 1"},
    // A request that begins after its caller was told that it did not run.
    {"does not begin what has expired",
     [] {
       Gate gate({.capacity = 1});
       gate.Offer("a");
       gate.Offer("b");
       gate.now += milliseconds(20);
       return "\"" + gate.Complete(1) + "\"";
     },
     "\"\""},
    // A full queue that keeps out customers within their shares.
    {"makes room for a customer behind its share",
     [] {
       Gate gate({.capacity = 1, .queue_length = 4});
       for (int i = 0; i < 5; ++i) {
         gate.Offer("a");
       }
       const std::string other = gate.Offer("b");
       const std::size_t expired =
           gate.admission.Expire(gate.now).expired.size();
       return fmt::format("{} {} {}", other, expired, gate.Complete(1));
     },
     "queued 1 b"},
    // Capacity kept while servers have queues.
    {"lowers the capacity while servers are overloaded",
     [] {
       Gate gate;
       const std::uint32_t before = gate.admission.capacity();
       for (int i = 0; i < 100; ++i) {
         gate.Offer("a");
         gate.now += milliseconds(10);
         gate.Complete(gate.last, milliseconds(10), Congestion::kOverload);
       }
       return fmt::format("{} {}", before, gate.admission.capacity());
     },
     "16 1"},
    // Capacity that stays low after an overload.
    {"raises the capacity after an overload",
     [] {
       Gate gate;
       for (int i = 0; i < 100; ++i) {
         gate.Offer("a");
         gate.now += milliseconds(10);
         gate.Complete(gate.last, milliseconds(10), Congestion::kOverload);
       }
       gate.Learn(400, milliseconds(10));
       return fmt::format("{}", gate.admission.capacity() >= 8);
     },
     "true"},
    // The tail of all customers lengthened by one that takes far more than its
    // share.
    {"holds a greedy customer to its share while requests wait",
     [] {
       Gate gate;
       int greedy = 0;
       int modest = 0;
       for (int i = 0; i < 4000; ++i) {
         gate.now += milliseconds(5);
         const bool is_modest = i % 20 == 0;
         if (gate.Offer(is_modest ? "b" : "a") == "run") {
           // The first half is the time in which it is noticed.
           (is_modest ? modest : greedy) += i < 2000 ? 0 : 1;
           gate.Complete(gate.last, milliseconds(5), Congestion::kQueueing);
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
       Gate gate;
       int greedy = 0;
       for (int i = 0; i < 4000; ++i) {
         gate.now += milliseconds(5);
         if (gate.Offer(i % 20 == 0 ? "b" : "a") == "run") {
           greedy += i % 20 == 0 ? 0 : 1;
           gate.Complete(gate.last, milliseconds(5), Congestion::kNone);
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
  return RowIndices(kRows);
}

ParameterizedTest(std::size_t* index, Admission, Behaves) {
  const AdmissionRow& row = kRows[*index];
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
  const int actual = ServedOf60(row.weight_a, row.weight_b);
  cr_assert(std::abs(actual - row.expected) <= 1,
            "weights %u and %u: expected %d of 60, actual %d", row.weight_a,
            row.weight_b, row.expected, actual);
}

}  // namespace marigold
