#include <criterion/criterion.h>
#include <fmt/format.h>

#include <future>
#include <memory>
#include <string>
#include <utility>
#include <variant>

#include "src/net/forward/call_admission.h"
#include "src/policy/forward_admission.h"
#include "tests/row_indices.h"

namespace marigold {

namespace {

using WaitPtr = CallAdmission::WaitPtr;

// Two strands that share an admission with room for one request.
class TwoStrands {
 public:
  TwoStrands()
      : pool(2),
        gate(std::make_shared<ForwardGate>(Settings(), pool, clock)),
        strands{std::make_shared<Strand>(pool), std::make_shared<Strand>(pool)},
        admissions{std::make_shared<CallAdmission>(strands[0], gate, metrics),
                   std::make_shared<CallAdmission>(strands[1], gate, metrics)} {
    this->plan.route = RouteName("route");
    this->plan.deadlines.give_up_at =
        this->clock.Now() + std::chrono::seconds(10);
  }
  ~TwoStrands() { this->pool.Stop(); }

  TwoStrands(const TwoStrands&) = delete;
  TwoStrands& operator=(const TwoStrands&) = delete;

  // Runs a function on a strand and waits until it has returned.
  template <class Task>
  void RunOn(std::size_t strand, Task task) {
    std::promise<void> done;
    this->strands[strand]->Post([&] {
      task();
      done.set_value();
    });
    done.get_future().wait();
  }

  // Asks for a permit on a strand. Must be called on the strand.
  WaitPtr Enter(std::size_t strand) {
    return this->admissions[strand]->Enter(
        this->plan, RouteTable(), [this, strand](const GateDecision& decision) {
          const bool is_on_strand =
              this->strands[strand]->executor().running_in_this_thread();
          const auto* permit = std::get_if<AdmissionPermit>(&decision);
          if (permit != nullptr) {
            this->permit = *permit;
          }
          this->decided.set_value(
              std::string(permit != nullptr
                              ? "run"
                              : ToString(std::get<Refusal>(decision).reason)) +
              (is_on_strand ? "" : " on another strand"));
        });
  }

  // Takes the only permit on the first strand.
  void TakePermit() {
    this->RunOn(0, [this] { this->Enter(0); });
    this->decided = {};
  }

  // Waits for the decision. Returns it with the numbers of requests that run
  // and that wait.
  std::string Decision() {
    const std::string decision = this->decided.get_future().get();
    const AdmissionStatus status = this->gate->Status();
    return fmt::format("{} {}/{}", decision, status.running, status.waiting);
  }

  static AdmissionSettings Settings() {
    AdmissionSettings settings = ForwardAdmissionSettings();
    settings.max_capacity = 1;
    return settings;
  }

  SystemClock clock;
  ForwardMetrics metrics;
  WorkerPool pool;
  std::shared_ptr<ForwardGate> gate;
  std::shared_ptr<Strand> strands[2];
  std::shared_ptr<CallAdmission> admissions[2];
  ForwardPlan plan;
  AdmissionPermit permit;
  std::promise<std::string> decided;
};

struct CallRow {
  // The comment of each row describes the failure that the row guards against.
  const char* behaviour;
  std::string (*actual)(TwoStrands&);
  const char* expected;
};

const CallRow kCallRows[] = {
    // A request that may run at once is delayed by a post to its strand.
    {"decides at once if there is room",
     [](TwoStrands& two) {
       WaitPtr wait;
       two.RunOn(0, [&] { wait = two.Enter(0); });
       return two.Decision() + (wait ? " waits" : "");
     },
     "run 1/0"},
    // A call is continued on a thread that is not its strand's.
    {"continues a waiting call on its own strand",
     [](TwoStrands& two) {
       two.TakePermit();
       two.RunOn(1, [&] { two.Enter(1); });
       two.RunOn(
           0, [&] { two.admissions[0]->Leave(two.permit, Congestion::kNone); });
       return two.Decision();
     },
     "run 1/0"},
    // A request waits until its deadline.
    {"refuses a waiting call after the maximum wait",
     [](TwoStrands& two) {
       two.TakePermit();
       two.RunOn(1, [&] { two.Enter(1); });
       return two.Decision();
     },
     "overloaded 1/0"},
    // The request of a caller that left is started.
    {"forgets a call that was withdrawn",
     [](TwoStrands& two) {
       two.TakePermit();
       two.RunOn(1, [&] { two.admissions[1]->Withdraw(two.Enter(1)); });
       two.RunOn(
           0, [&] { two.admissions[0]->Leave(two.permit, Congestion::kNone); });
       two.RunOn(1, [&] { two.decided.set_value("nothing"); });
       return two.Decision();
     },
     "nothing 0/0"},
    // The permit of a call whose caller leaves at the moment at which it is
    // granted is lost.
    {"releases a permit that is granted to a call that leaves",
     [](TwoStrands& two) {
       two.TakePermit();
       two.RunOn(1, [&] {
         const WaitPtr wait = two.Enter(1);
         // The decision is posted to this strand, which is busy here.
         two.gate->Leave(two.permit, Congestion::kNone);
         two.admissions[1]->Withdraw(wait);
       });
       // The posted decision has run when this returns. A second value of the
       // promise would throw.
       two.RunOn(1, [&] { two.decided.set_value("nothing"); });
       return two.Decision();
     },
     "nothing 0/0"},
};

}  // namespace

ParameterizedTestParameters(CallAdmission, DecidesOnTheStrandOfTheCall) {
  return RowIndices(kCallRows);
}

ParameterizedTest(std::size_t* index,
                  CallAdmission,
                  DecidesOnTheStrandOfTheCall) {
  const CallRow& row = kCallRows[*index];
  TwoStrands two;
  const std::string actual = row.actual(two);
  cr_assert_eq(actual, std::string(row.expected),
               "%s: expected \"%s\", actual \"%s\"", row.behaviour,
               row.expected, actual.c_str());
}

}  // namespace marigold
