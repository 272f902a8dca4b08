#ifndef TESTS_QUOTA_FLEET_H_
#define TESTS_QUOTA_FLEET_H_

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/policy/quota/quota_coordinator.h"
#include "src/policy/quota/quota_gate.h"

namespace marigold {

// A period of the virtual time since the start.
struct QuotaPeriod {
  Duration from{};
  Duration to{};

  bool Contains(Duration time) const {
    return time >= this->from && time < this->to;
  }
};

// A load on the fleet and what fails during it.
struct QuotaLoad {
  const char* description = "";
  // The customer that sends 7.5 times its usual rate; 0 is the largest one.
  std::size_t surge_customer = 0;
  QuotaPeriod surge{};
  // Each customer has callers on all VMs.
  bool uses_all_vms = false;
  // From the loss of the leader to the start of the next one.
  QuotaPeriod leaderless{};
  // When the lost leader sends a state again.
  Duration old_leader_wakes{};
  // A sixth of the entry VMs is not in contact.
  QuotaPeriod cut_off{};
  // One entry VM does not run.
  QuotaPeriod frozen{};
  // When the quota of the customer is lowered to a fifth.
  Duration lowered{};
  // When half of the callers move to other VMs.
  Duration moved{};
  Duration restarted{};
  // The longest delay of a state on its way to an entry VM.
  Duration state_delay = std::chrono::milliseconds(30);
  // The fraction of requests within the quota that may be refused at VMs that
  // are not in contact or while there is no leader.
  double max_local_loss = 1;
};

// Connects entry VMs with the leader of a control group by delayed messages.
class QuotaFleet {
 public:
  static constexpr std::size_t kVms = 126;
  static constexpr std::size_t kCustomers = 82;
  static constexpr Duration kEnd = std::chrono::seconds(40);

  // What happened to the requests of one customer.
  struct Outcome {
    RoutedCustomer customer;
    std::vector<Duration> admitted;
    std::size_t offered = 0;
    std::size_t refused = 0;
    // The part that arrived at VMs in contact while there was a leader.
    std::size_t offered_in_contact = 0;
    std::size_t refused_in_contact = 0;
  };

  QuotaFleet(const QuotaLoad& quota_load, std::uint64_t seed)
      : load(quota_load), random(seed) {
    this->AddCustomers();
    for (std::size_t i = 0; i < kVms; ++i) {
      this->gates.push_back(this->MakeGate(i));
    }
    this->coordinator.emplace(this->start, Term(1));
    this->coordinator->SetCustomers(this->start, this->routed);
  }

  void Run() {
    for (Duration now{}; now < kEnd; now += kStep) {
      this->Step(now);
    }
  }

  const std::vector<Outcome>& outcomes() const { return this->results; }
  std::size_t reports_sent() const { return this->report_count; }

 private:
  static constexpr Duration kStep = std::chrono::milliseconds(5);
  static constexpr Duration kRoundInterval = std::chrono::milliseconds(50);
  static constexpr double kTotalRate = 120;
  static constexpr double kZipfExponent = 1.2;
  static constexpr double kSurgeFactor = 7.5;

  struct Caller {
    std::size_t customer = 0;
    std::size_t vm = 0;
  };

  void AddCustomers() {
    double weights = 0;
    for (std::size_t i = 1; i <= kCustomers; ++i) {
      weights += std::pow(i, -kZipfExponent);
    }
    for (std::size_t i = 0; i < kCustomers; ++i) {
      const double rate =
          kTotalRate * std::pow(i + 1, -kZipfExponent) / weights;
      RoutedCustomer customer;
      customer.customer = CustomerId("customer-" + std::to_string(i));
      customer.quota = {RatePerSecond(1.6 * rate), 1.6 * rate};
      this->routed.push_back(customer);
      this->results.push_back({customer, {}});
      this->usual_rates.push_back(rate);
      const auto caller_count = this->load.uses_all_vms
                                    ? kVms
                                    : static_cast<std::size_t>(std::ceil(rate));
      std::vector<std::size_t> vms;
      for (std::size_t j = 0; j < caller_count; ++j) {
        vms.push_back(this->load.uses_all_vms ? j
                                              : this->random.NextBelow(kVms));
      }
      this->vms_of_callers.push_back(vms);
    }
  }

  QuotaGate MakeGate(std::size_t vm) {
    QuotaGate gate(VmId("vm-" + std::to_string(vm)),
                   EntryProcessId(this->random.Next()), this->random.Next());
    gate.SetLimitShare(Fraction(1.0 / kVms));
    gate.SetCustomers(this->start, this->routed);
    return gate;
  }

  void Step(Duration now) {
    this->FailAndRecover(now);
    this->Deliver(now);
    this->OfferRequests(now);
    for (std::size_t i = 0; i < kVms; ++i) {
      if (!this->IsFrozen(i, now)) {
        this->SendReport(now, i);
      }
    }
    if (now % kRoundInterval == Duration::zero() && this->coordinator) {
      const auto state = this->coordinator->Round(this->start + now);
      if (state) {
        this->SendState(now, *state);
      }
    }
  }

  void FailAndRecover(Duration now) {
    if (now == this->load.leaderless.from && now > Duration::zero()) {
      this->old_coordinator = std::move(this->coordinator);
      this->coordinator.reset();
    }
    if (now == this->load.leaderless.to && now > Duration::zero()) {
      this->coordinator.emplace(this->start + now, Term(2));
      this->coordinator->SetCustomers(this->start + now, this->routed);
    }
    if (now == this->load.old_leader_wakes && now > Duration::zero()) {
      if (const auto state = this->old_coordinator->Round(this->start + now)) {
        this->SendState(now, *state);
      }
    }
    if (now == this->load.lowered && now > Duration::zero()) {
      this->LowerQuota(now);
    }
    if (now == this->load.moved && now > Duration::zero()) {
      for (auto& vms : this->vms_of_callers) {
        for (std::size_t& vm : vms) {
          vm = this->random.NextBelow(2) == 0 ? vm
                                              : this->random.NextBelow(kVms);
        }
      }
    }
    if (now == this->load.restarted && now > Duration::zero()) {
      for (std::size_t i = 0; i < kVms; ++i) {
        this->gates[i] = this->MakeGate(i);
      }
    }
  }

  void LowerQuota(Duration now) {
    QuotaLimit& quota = this->routed[this->load.surge_customer].quota;
    quota.rate = RatePerSecond(quota.rate.value() / 5);
    quota.burst /= 5;
    this->results[this->load.surge_customer].customer.quota = quota;
    this->coordinator->SetCustomers(this->start + now, this->routed);
    for (std::size_t i = 0; i < kVms; ++i) {
      // The table reaches the VMs within 4 s.
      this->messages.emplace(
          now + this->Delay(std::chrono::seconds(4)), [this, i](Duration at) {
            this->gates[i].SetCustomers(this->start + at, this->routed);
          });
    }
  }

  bool IsCutOff(std::size_t vm, Duration now) const {
    return vm % 6 == 0 && this->load.cut_off.Contains(now);
  }

  bool IsFrozen(std::size_t vm, Duration now) const {
    return vm == this->frozen_vm() && this->load.frozen.Contains(now);
  }

  std::size_t frozen_vm() const {
    return this->vms_of_callers[this->load.surge_customer].front();
  }

  Duration Delay(Duration limit) {
    return Duration(this->random.NextBelow(limit.count()));
  }

  void Deliver(Duration now) {
    while (!this->messages.empty() && this->messages.begin()->first <= now) {
      const auto message = this->messages.extract(this->messages.begin());
      message.mapped()(now);
    }
  }

  void SendReport(Duration now, std::size_t vm) {
    auto report = this->gates[vm].TakeReport(this->start + now);
    if (!report) {
      return;
    }
    ++this->report_count;
    if (this->IsCutOff(vm, now)) {
      return;
    }
    // To the control VM, its collection of reports, and to the leader.
    const Duration delay = std::chrono::milliseconds(2) +
                           this->Delay(std::chrono::milliseconds(80));
    this->messages.emplace(
        now + delay, [this, report = std::move(*report)](Duration at) {
          if (this->coordinator) {
            this->coordinator->OnReport(this->start + at, report);
          }
        });
  }

  void SendState(Duration now, const QuotaState& state) {
    for (std::size_t i = 0; i < kVms; ++i) {
      if (!this->IsCutOff(i, now)) {
        const Duration delay =
            std::chrono::milliseconds(2) + this->Delay(this->load.state_delay);
        this->SendState(now + delay, i, state);
      }
    }
  }

  // A frozen VM reads the state after its wake.
  void SendState(Duration at, std::size_t vm, const QuotaState& state) {
    const Duration arrival =
        this->IsFrozen(vm, at) ? this->load.frozen.to + kStep : at;
    this->messages.emplace(arrival, [this, vm, state](Duration now) {
      this->gates[vm].Apply(this->start + now, state);
    });
  }

  void OfferRequests(Duration now) {
    for (std::size_t i = 0; i < kCustomers; ++i) {
      const bool surges =
          i == this->load.surge_customer && this->load.surge.Contains(now);
      const double rate = this->usual_rates[i] * (surges ? kSurgeFactor : 1);
      this->due[i] += rate * ToSeconds(kStep);
      while (this->due[i] >= this->next_at[i]) {
        this->next_at[i] += -std::log(1 - this->random.NextDouble());
        const auto& vms = this->vms_of_callers[i];
        this->Offer(now, {i, vms[this->random.NextBelow(vms.size())]});
      }
    }
  }

  // A request to a frozen VM is handled when the VM wakes.
  void Offer(Duration now, const Caller& caller) {
    if (this->IsFrozen(caller.vm, now)) {
      this->messages.emplace(this->load.frozen.to, [this, caller](Duration at) {
        this->Offer(at, caller);
      });
      return;
    }
    Outcome& outcome = this->results[caller.customer];
    const bool is_admitted =
        this->gates[caller.vm]
            .Admit(this->start + now, outcome.customer.customer)
            .is_admitted();
    ++outcome.offered;
    outcome.refused += is_admitted ? 0 : 1;
    if (is_admitted) {
      outcome.admitted.push_back(now);
    }
    if (!this->IsCutOff(caller.vm, now) && this->coordinator) {
      ++outcome.offered_in_contact;
      outcome.refused_in_contact += is_admitted ? 0 : 1;
    }
  }

  const MonotonicTime start{std::chrono::seconds(1'000)};
  const QuotaLoad load;
  SeededRandom random;
  std::vector<RoutedCustomer> routed;
  std::vector<double> usual_rates;
  std::vector<std::vector<std::size_t>> vms_of_callers;
  std::vector<QuotaGate> gates;
  std::optional<QuotaCoordinator> coordinator;
  std::optional<QuotaCoordinator> old_coordinator;
  std::multimap<Duration, std::function<void(Duration)>> messages;
  std::vector<Outcome> results;
  std::vector<double> due = std::vector<double>(kCustomers);
  std::vector<double> next_at = std::vector<double>(kCustomers, 1);
  std::size_t report_count = 0;
};

}  // namespace marigold

#endif  // TESTS_QUOTA_FLEET_H_
