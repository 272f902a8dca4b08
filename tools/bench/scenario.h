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

// What faults act upon, and when.
struct ScenarioTarget {
  const Deployment& deployment;
  Fraction load;
  EventQueue& events;
  FakeBackends& backends;
  FakeTransport& transport;
  CallerLoad& callers;
  // Lasting faults begin here; repeated ones end with the run.
  MonotonicTime begin;
  MonotonicTime end;
};

// The part of all sub-requests that are stragglers.
Fraction StragglerFraction(const FaultSet& faults);

// Schedules all faults of the set. Returns the time at which the platform's
// list shows what is lost, or the beginning if nothing is.
MonotonicTime ScheduleFaults(const FaultSet& faults, ScenarioTarget& target);

}  // namespace marigold

#endif  // TOOLS_BENCH_SCENARIO_H_
