#include "tools/bench/simulation.h"

#include <algorithm>
#include <cmath>
#include <deque>

#include "src/policy/search_policy.h"
#include "tools/bench/callers.h"
#include "tools/bench/entry_vm.h"
#include "tools/bench/scenario.h"

namespace marigold {

namespace {

// Long enough for the ramp-up of the servers to end and for the percentiles to
// stabilise.
constexpr Duration kWarmUp = std::chrono::seconds(20);
// Timed faults begin after 1/10 of the measured time.
constexpr int kFaultStartDivisor = 10;

// Returns limits so high that the rate limit never applies and only fair
// queueing divides the capacity among customers.
AdmissionLimits LimitsOf(double searches_per_second) {
  constexpr double kLimitFactor = 50;
  constexpr std::uint32_t kConcurrency = 1000;
  AdmissionLimits limits;
  limits.rate = RatePerSecond(searches_per_second * kLimitFactor);
  limits.burst =
      static_cast<std::uint32_t>(searches_per_second * kLimitFactor) + 1;
  limits.concurrency = kConcurrency;
  return limits;
}

template <class Policy>
Figures Run(const BenchRun& run) {
  const Deployment& deployment = *run.deployment;
  SeededRandom seeds(run.seed);
  EventQueue events;
  const ServiceTimes times(deployment.service_time,
                           StragglerFraction(run.faults));
  FakeBackends backends(deployment, run.load, times, seeds.Next());
  FakeTransport transport(deployment, events, backends);
  CallerLoad callers;
  const MonotonicTime measured_from = MonotonicTime() + kWarmUp;
  const MonotonicTime end = measured_from + deployment.measured_time;
  ScenarioTarget target{
      deployment,
      run.load,
      events,
      backends,
      transport,
      callers,
      measured_from + deployment.measured_time / kFaultStartDivisor,
      end};
  const MonotonicTime loss_listed_at = ScheduleFaults(run.faults, target);
  EntryVm<Policy> vm(deployment, events, backends, transport, measured_from,
                     loss_listed_at, seeds.Next());
  vm.Start();
  const double searches_per_second = run.load.value() *
                                     backends.ServerCapacity() *
                                     deployment.replicas / deployment.entry_vms;
  const double customer_rate = searches_per_second / kCustomerCount;
  std::deque<CustomerArrivals> arrivals;
  for (std::size_t i = 0; i < kCustomerCount; ++i) {
    arrivals.emplace_back(i, customer_rate, events, callers, seeds.Next());
    arrivals.back().Start([&](std::size_t customer) {
      vm.is_bursting = callers.is_bursting;
      vm.OnArrival(customer, LimitsOf(customer_rate));
    });
  }
  BackgroundMirror background_mirror(events, backends, callers, vm.flow());
  if (callers.mirrors_background) {
    background_mirror.ScheduleUpdate();
  }
  events.RunUntil(end);
  Figures figures = vm.recorder().Compute(backends.BusyShare());
  figures.connects = transport.connects();
  return figures;
}

struct PolicyRow {
  std::string_view name;
  Figures (*run)(const BenchRun& run);
};

constexpr PolicyRow kPolicies[] = {
    {"plain", Run<PlainPolicy>},
    {"retry", Run<RetryOnlyPolicy>},
    {"hedge", Run<HedgeOnlyPolicy>},
    {"chosen", Run<DefaultPolicy>},
};

}  // namespace

std::vector<std::string_view> PolicyNames() {
  std::vector<std::string_view> names;
  for (const PolicyRow& row : kPolicies) {
    names.push_back(row.name);
  }
  return names;
}

Figures RunBench(const BenchRun& run) {
  for (const PolicyRow& row : kPolicies) {
    if (row.name == run.policy) {
      return row.run(run);
    }
  }
  return {};
}

}  // namespace marigold
