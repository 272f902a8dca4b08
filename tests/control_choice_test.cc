#include "src/policy/control_choice.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <string>
#include <vector>

#include "tests/row_indices.h"

namespace marigold {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// What happens when a control VM is connected to.
enum class Condition { kServes, kFrozen, kGone, kRefuses };

struct ControlVm {
  Condition condition;
  bool is_local;
};

// The time after which an attempt has failed: a frozen VM accepts the
// connection and is silent, one that is gone does not answer the connect.
Duration FailureTime(Condition condition) {
  switch (condition) {
    case Condition::kServes:
      return Duration::zero();
    case Condition::kFrozen:
      return milliseconds(1500);
    case Condition::kGone:
      return milliseconds(200);
    case Condition::kRefuses:
      return milliseconds(1);
  }
  return Duration::zero();
}

struct SearchRow {
  const char* scenario;
  std::vector<ControlVm> vms;
  Duration expected_time;
};

// Configurations are in force on all VMs 3 s after their acknowledgement, so a
// VM whose control VM freezes has that long to find another one.
const SearchRow kSearchRows[] = {
    {"all serve",
     {{Condition::kServes, true}, {Condition::kServes, false}},
     {}},
    {"the local VM is frozen",
     {{Condition::kFrozen, true},
      {Condition::kServes, false},
      {Condition::kServes, false}},
     milliseconds(1500)},
    {"the local VM is frozen and another one is gone",
     {{Condition::kFrozen, true},
      {Condition::kGone, false},
      {Condition::kServes, false},
      {Condition::kServes, false}},
     milliseconds(1700)},
    {"the local VM is frozen and two others are gone",
     {{Condition::kFrozen, true},
      {Condition::kGone, false},
      {Condition::kGone, false},
      {Condition::kServes, false}},
     milliseconds(1900)},
    {"the local VM is frozen and the others refuse connections but one",
     {{Condition::kFrozen, true},
      {Condition::kRefuses, false},
      {Condition::kRefuses, false},
      {Condition::kServes, false}},
     milliseconds(1600)},
};

Endpoint EndpointOf(std::size_t vm) {
  return {"127.0.0.1", static_cast<std::uint16_t>(7000 + vm)};
}

}  // namespace

ParameterizedTestParameters(ControlChoice, ServingVmIsFoundInTime) {
  return RowIndices(kSearchRows);
}

// Guards against an entry VM that tries a frozen local control VM again and
// again, and keeps old routes although other control VMs can be reached.
ParameterizedTest(std::size_t* index, ControlChoice, ServingVmIsFoundInTime) {
  const SearchRow& row = kSearchRows[*index];
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    std::vector<Endpoint> endpoints;
    for (std::size_t i = 0; i < row.vms.size(); ++i) {
      endpoints.push_back(EndpointOf(i));
    }
    ControlChoice choice(endpoints, seed);
    for (std::size_t i = 0; i < row.vms.size(); ++i) {
      choice.AddEndpoint(EndpointOf(i), row.vms[i].is_local);
    }
    const MonotonicTime start(seconds(100));
    MonotonicTime now = start;
    Condition condition = Condition::kGone;
    while (condition != Condition::kServes && now < start + seconds(20)) {
      const ControlChoice::Attempt attempt = choice.NextAttempt(now);
      condition = row.vms[attempt.endpoint.port - 7000].condition;
      now = attempt.at + FailureTime(condition);
      if (condition != Condition::kServes) {
        choice.OnFailure(now, attempt.endpoint);
      }
    }
    cr_assert(now - start <= row.expected_time,
              "%s, seed %zu: expected at most %g ms, actual %g ms",
              row.scenario, static_cast<std::size_t>(seed),
              ToMilliseconds(row.expected_time), ToMilliseconds(now - start));
  }
}

// Guards against an entry VM that never returns to the control VM of its own
// data centre, or that leaves its stream and then connects to another remote
// control VM, over and over.
Test(ControlChoice, LocalVmIsUsedAgainAfterItsFailure) {
  ControlChoice choice({EndpointOf(0), EndpointOf(1), EndpointOf(2)}, 1);
  choice.AddEndpoint(EndpointOf(0), true);
  MonotonicTime now(seconds(100));
  choice.OnFailure(now, EndpointOf(0));
  now += milliseconds(100);
  const Endpoint remote = choice.NextAttempt(now).endpoint;
  cr_assert(remote != EndpointOf(0), "expected a remote control VM");
  choice.OnSuccess(remote);
  cr_assert_not(choice.HasLocalAlternative(now, remote));
  now += seconds(15);
  cr_assert(choice.HasLocalAlternative(now, remote));
  cr_assert(choice.NextAttempt(now).endpoint == EndpointOf(0),
            "expected the local control VM");
}

}  // namespace marigold
