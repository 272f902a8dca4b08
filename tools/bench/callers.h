#ifndef TOOLS_BENCH_CALLERS_H_
#define TOOLS_BENCH_CALLERS_H_

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <cstdint>

#include "src/core/random.h"
#include "src/policy/admission.h"
#include "tools/bench/event_queue.h"
#include "tools/bench/fake_backends.h"

namespace marigold {

inline constexpr std::size_t kCustomerCount = 8;

// Load offered by the callers of the simulated entry VM, relative to the
// ordinary load.
struct CallerLoad {
  double load_factor = 1;
  // Additional factor for the first customer.
  double first_customer_factor = 1;
  bool is_bursting = false;
  // True if the other entry VMs are assumed to have the same callers and to
  // make the same decisions as the simulated one, so that the background load
  // is derived from the searches it admits.
  bool mirrors_background = false;

  double FactorOf(std::size_t customer) const {
    return this->load_factor *
           (customer == 0 ? this->first_customer_factor : 1);
  }
};

// Generates the Poisson arrivals of the searches of one customer.
class CustomerArrivals {
 public:
  CustomerArrivals(std::size_t customer_number,
                   double searches_per_second,
                   EventQueue& event_queue,
                   const CallerLoad& caller_load,
                   std::uint64_t seed)
      : customer(customer_number),
        rate(searches_per_second),
        events(event_queue),
        callers(caller_load),
        random(seed) {}

  template <class OnArrival>
  void Start(OnArrival on_arrival) {
    // A longer gap is discarded and drawn again after this time, so that a
    // change of the rate takes effect.
    static constexpr Duration kMaxGap = std::chrono::milliseconds(100);
    const Duration gap =
        FromSeconds(-std::log(1 - this->random.NextDouble()) /
                    (this->rate * this->callers.FactorOf(this->customer)));
    this->events.After(std::min(gap, kMaxGap), [this, gap, on_arrival] {
      if (gap <= kMaxGap) {
        on_arrival(this->customer);
      }
      this->Start(on_arrival);
    });
  }

 private:
  std::size_t customer;
  double rate;
  EventQueue& events;
  const CallerLoad& callers;
  SeededRandom random;
};

// Number of searches of each customer since the start.
struct CustomerFlow {
  std::array<std::uint64_t, kCustomerCount> offered{};
  std::array<std::uint64_t, kCustomerCount> admitted{};
};

// Sets the background load of all servers to the load that the other entry VMs
// would send. This is the load that their callers offer, times the share of
// each customer's searches that the simulated entry VM admitted. The share is a
// moving average over about 0.3 s.
class BackgroundMirror {
 public:
  BackgroundMirror(EventQueue& event_queue,
                   FakeBackends& fake_backends,
                   const CallerLoad& caller_load,
                   const CustomerFlow& customer_flow)
      : events(event_queue),
        backends(fake_backends),
        callers(caller_load),
        flow(customer_flow) {}

  void ScheduleUpdate() {
    constexpr Duration kInterval = std::chrono::milliseconds(100);
    constexpr double kWeight = 0.3;
    this->events.After(kInterval, [this] {
      double factor = 0;
      for (std::size_t i = 0; i < kCustomerCount; ++i) {
        RecentFlow& recent = this->recent_flows[i];
        const std::uint64_t offered = this->flow.offered[i];
        const std::uint64_t admitted = this->flow.admitted[i];
        recent.offered +=
            kWeight *
            (static_cast<double>(offered - this->previous_flow.offered[i]) -
             recent.offered);
        recent.admitted +=
            kWeight *
            (static_cast<double>(admitted - this->previous_flow.admitted[i]) -
             recent.admitted);
        if (recent.offered > 0) {
          factor += this->callers.FactorOf(i) *
                    std::min(recent.admitted / recent.offered, 1.0);
        }
      }
      this->previous_flow = this->flow;
      this->backends.SetBackgroundFactor(this->events.now(),
                                         factor / kCustomerCount);
      this->ScheduleUpdate();
    });
  }

 private:
  struct RecentFlow {
    double offered = 0;
    double admitted = 0;
  };

  EventQueue& events;
  FakeBackends& backends;
  const CallerLoad& callers;
  const CustomerFlow& flow;
  CustomerFlow previous_flow;
  std::array<RecentFlow, kCustomerCount> recent_flows{};
};

}  // namespace marigold

#endif  // TOOLS_BENCH_CALLERS_H_
