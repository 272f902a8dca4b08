#include "src/commands/admission_gate.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <sstream>
#include <string>
#include <vector>

#include "src/queries/find_limits.h"
#include "tests/row_indices.h"

namespace marigold {

namespace {

// A policy under which one request runs, one waits and all others are refused.
// A waiting request expires at its deadline.
class OneSlotPolicy {
 public:
  explicit OneSlotPolicy(AdmissionSettings) {}

  AdmissionDecision Offer(MonotonicTime, const AdmissionOffer& offer) {
    if (this->is_running) {
      if (this->next) {
        return Refusal{Execution::kDidNotRun, Reason::kOverloaded, "", {}};
      }
      this->next = offer;
      return AdmissionQueued();
    }
    this->is_running = true;
    return AdmissionGranted();
  }

  EndedWaits Complete(MonotonicTime, TicketId, Duration) {
    EndedWaits ended_tickets;
    this->is_running = this->next.has_value();
    if (this->next) {
      ended_tickets.ready.push_back(this->next->ticket);
      this->next.reset();
    }
    return ended_tickets;
  }

  EndedWaits Expire(MonotonicTime now) {
    EndedWaits ended_tickets;
    if (this->next && this->next->deadline <= now) {
      ended_tickets.expired.push_back(this->next->ticket);
      this->next.reset();
    }
    return ended_tickets;
  }

  MonotonicTime NextExpiry() const {
    return this->next ? this->next->deadline : MonotonicTime::max();
  }
  std::uint32_t running() const { return this->is_running ? 1 : 0; }
  std::uint32_t waiting() const { return this->next ? 1 : 0; }

 private:
  bool is_running = false;
  std::optional<AdmissionOffer> next;
};

struct FakeClock {
  MonotonicTime Now() const { return this->now; }
  WallTime WallNow() const { return WallTime(); }

  MonotonicTime now{std::chrono::seconds(1)};
};

struct FakeTaskRunner {
  void PostAfter(Duration delay, std::function<void()> task) {
    this->tasks.emplace_back(delay, std::move(task));
  }

  std::vector<std::pair<Duration, std::function<void()>>> tasks;
};

struct GateRow {
  const char* name;
  const char* guards_against;
  // `enter NAME` and `leave NAME` for a request, `at MS` to set the clock,
  // `fire` to run all timers that are set.
  const char* events;
  // The decisions in order, each as `NAME:run` or `NAME:REASON`.
  const char* expected;
};

const GateRow kGateRows[] = {
    {"a request runs at once while there is capacity",
     "a request that waits although there is capacity", "enter a", "a:run"},
    {"a waiting request runs when another leaves",
     "a request that waits for ever", "enter a, enter b, leave a",
     "a:run b:run"},
    {"a refusal of the policy reaches the request",
     "a refused request that never gets an answer", "enter a, enter b, enter c",
     "a:run c:overloaded"},
    {"a waiting request expires at its deadline",
     "a request that waits past its deadline", "enter a, enter b, at 100, fire",
     "a:run b:overloaded"},
    {"a timer that fires early expires no request",
     "a request refused before its deadline", "enter a, enter b, fire",
     "a:run"},
    {"an expired request does not run",
     "a request that runs after it was refused",
     "enter a, enter b, at 100, fire, leave a", "a:run b:overloaded"},
    {"a customer without limits is refused",
     "an unknown customer that is served", "enter unknown",
     "unknown:unknown_customer"},
};

// Runs the events of a row and collects the decisions.
class GateScript {
 public:
  void Run(const std::string& events) {
    std::istringstream stream(events);
    std::string event;
    while (std::getline(stream, event, ',')) {
      std::istringstream words(event);
      std::string name;
      std::string argument;
      words >> name >> argument;
      this->Apply(name, argument);
    }
  }

  std::string decisions;

 private:
  using Gate = AdmissionGate<OneSlotPolicy, FakeTaskRunner, FakeClock>;

  void Apply(const std::string& name, const std::string& argument) {
    if (name == "enter") {
      this->gate->Enter({CustomerId(argument), ServiceId("lookup"),
                         MonotonicTime(std::chrono::milliseconds(1100))},
                        [this, argument](const GateDecision& decision) {
                          this->OnDecided(argument, decision);
                        });
    } else if (name == "leave") {
      this->gate->Leave(this->permits.at(argument));
    } else if (name == "at") {
      this->clock.now =
          MonotonicTime(std::chrono::seconds(1) +
                        std::chrono::milliseconds(std::stoi(argument)));
    } else {
      const auto tasks = std::exchange(this->runner.tasks, {});
      for (const auto& [delay, task] : tasks) {
        task();
      }
    }
  }

  void OnDecided(const std::string& name, const GateDecision& decision) {
    std::string text = "run";
    if (const auto* refusal = std::get_if<Refusal>(&decision)) {
      text = ToString(refusal->reason);
    } else {
      this->permits[name] = std::get<AdmissionPermit>(decision);
    }
    this->decisions += (this->decisions.empty() ? "" : " ") + name + ":" + text;
  }

  FakeClock clock;
  FakeTaskRunner runner;
  std::map<std::string, AdmissionPermit> permits;
  std::shared_ptr<Gate> gate = std::make_shared<Gate>(
      AdmissionSettings(),
      [](const CustomerId& customer,
         const ServiceId&) -> std::variant<AdmissionLimits, Refusal> {
        if (customer == CustomerId("unknown")) {
          return Refusal{
              Execution::kDidNotRun, Reason::kUnknownCustomer, "", {}};
        }
        return UnboundedLimits();
      },
      runner,
      clock);
};

struct PartRow {
  std::uint32_t whole;
  std::uint32_t entry_vms;
};

// Guards against customers that get more or less than their limit, because the
// parts of the entry VMs do not sum to the limit when it can't be divided
// evenly.
const PartRow kPartRows[] = {{0, 3}, {1, 3}, {3, 3}, {5, 3}, {100, 17}};

}  // namespace

ParameterizedTestParameters(AdmissionGate, DecidesRequestsInOrder) {
  return RowIndices(kGateRows);
}

ParameterizedTest(std::size_t* index, AdmissionGate, DecidesRequestsInOrder) {
  const GateRow& row = kGateRows[*index];
  GateScript script;
  script.Run(row.events);
  cr_assert_eq(script.decisions, std::string(row.expected),
               "%s (guards against %s): expected \"%s\", actual \"%s\"",
               row.name, row.guards_against, row.expected,
               script.decisions.c_str());
}

ParameterizedTestParameters(FindLimits, PartsSumToTheLimit) {
  return RowIndices(kPartRows);
}

ParameterizedTest(std::size_t* index, FindLimits, PartsSumToTheLimit) {
  const PartRow& row = kPartRows[*index];
  ListTable lists;
  Lists whole;
  whole.plans[CustomerId("c")] = {CustomerId("c"), PlanId("p")};
  whole.usage[PlanId("p")] = {PlanId("p"), {ServiceId("s")}, 1,
                              1,           row.whole,        1};
  lists.Apply(MonotonicTime(), {LogIndex(), LogIndex(1), whole, {}});
  std::uint32_t sum = 0;
  for (std::uint32_t i = 0; i < row.entry_vms; ++i) {
    const auto found =
        FindLimits(lists, {row.entry_vms, i}, CustomerId("c"), ServiceId("s"));
    sum += std::get<AdmissionLimits>(found).concurrency;
  }
  cr_assert_eq(sum, row.whole, "expected a sum of %u, actual %u", row.whole,
               sum);
}

}  // namespace marigold
