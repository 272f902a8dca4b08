#ifndef TOOLS_BENCH_SCENARIO_H_
#define TOOLS_BENCH_SCENARIO_H_

#include "src/core/units.h"
#include "tools/bench/callers.h"
#include "tools/bench/deployment.h"
#include "tools/bench/event_queue.h"
#include "tools/bench/fake_backends.h"
#include "tools/bench/fake_transport.h"
#include "tools/bench/fault.h"

namespace marigold {

// The objects that faults change, and the time during which faults occur.
struct ScenarioTarget {
  const Deployment& deployment;
  Fraction load;
  EventQueue& events;
  FakeBackends& backends;
  FakeTransport& transport;
  CallerLoad& callers;
  // Timed faults begin at `begin`, and repeated ones end at `end`, the end of
  // the run. Skewed load, false load reports and mirrored load apply from the
  // start of the run.
  MonotonicTime begin;
  MonotonicTime end;
};

// Returns the fraction of sub-requests that are stragglers.
Fraction StragglerFraction(const FaultSet& faults);

// Schedules all faults of the set. Returns the time at which the platform's
// list shows the loss of servers, or `target.begin` if none are lost.
MonotonicTime ScheduleFaults(const FaultSet& faults, ScenarioTarget& target);

}  // namespace marigold

#endif  // TOOLS_BENCH_SCENARIO_H_
