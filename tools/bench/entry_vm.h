#ifndef TOOLS_BENCH_ENTRY_VM_H_
#define TOOLS_BENCH_ENTRY_VM_H_

#include <cstdint>
#include <memory>
#include <string>
#include <type_traits>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "src/core/random.h"
#include "src/policy/admission.h"
#include "src/policy/fleet.h"
#include "src/policy/search.h"
#include "tools/bench/callers.h"
#include "tools/bench/event_queue.h"
#include "tools/bench/fake_backends.h"
#include "tools/bench/fake_transport.h"
#include "tools/bench/figures.h"

namespace marigold {

// Assigns the attempt ids of the simulated entry VM.
class AttemptCounter {
 public:
  AttemptId NextAttempt() { return AttemptId(++this->last); }

 private:
  std::uint64_t last = 0;
};

// True if searches pass through admission. The baselines start every search on
// arrival.
template <class Policy>
inline constexpr bool kUsesAdmission = std::is_same_v<Policy, DefaultPolicy>;

// Simulates one entry VM that runs the production decision code in virtual
// time.
template <class Policy>
class EntryVm {
 public:
  // Measures searches that arrive from `start_of_measurement` on. From
  // `list_loss_from` on the platform's list shows the loss of servers.
  EntryVm(const Deployment& sizes,
          EventQueue& event_queue,
          FakeBackends& fake_backends,
          FakeTransport& fake_transport,
          MonotonicTime start_of_measurement,
          MonotonicTime list_loss_from,
          std::uint64_t seed)
      : deployment(sizes),
        events(event_queue),
        backends(fake_backends),
        transport(fake_transport),
        measured_from(start_of_measurement),
        loss_listed_at(list_loss_from),
        fleet(MakeSettings()),
        random(seed) {
    // The baselines keep the default preference, because early answers are one
    // of the mechanisms that they lack.
    if constexpr (std::is_same_v<Policy, DefaultPolicy>) {
      this->policy.preference = sizes.preference;
    }
  }

  // Commands.

  // Starts to poll the platform's list and the status of each server.
  void Start() {
    this->PollPlatformList();
    for (std::size_t i = 0; i < this->backends.members().size(); ++i) {
      this->PollStatus(ServerIndex(i + 1));
    }
  }

  // Handles the arrival of a search. `limits` are the admission limits of its
  // customer.
  void OnArrival(std::size_t customer, const AdmissionLimits& limits) {
    const MonotonicTime now = this->events.now();
    const bool is_measured = now >= this->measured_from;
    if (is_measured) {
      this->figure_recorder.OnOffer(customer);
    }
    ++this->customer_flow.offered.at(customer);
    const TicketId ticket(++this->last_ticket);
    this->pending_arrivals[ticket] = {customer, now};
    if constexpr (kUsesAdmission<Policy>) {
      const AdmissionDecision decision = this->admission.Offer(
          now, {ticket, CustomerId(std::to_string(customer)),
                ServiceId(std::string(this->deployment.service)), limits,
                now + this->deployment.deadline});
      this->ArmExpiry();
      if (std::holds_alternative<Refusal>(decision)) {
        this->RecordRefusal(ticket);
      }
      if (!std::holds_alternative<AdmissionGranted>(decision)) {
        return;
      }
    }
    this->StartSearch(ticket);
  }

  // Queries.

  const FigureRecorder& recorder() const { return this->figure_recorder; }
  const CustomerFlow& flow() const { return this->customer_flow; }
  bool is_bursting = false;

 private:
  using SearchType = Search<Fleet, Policy, SeededRandom, AttemptCounter>;

  struct Arrival {
    std::size_t customer = 0;
    MonotonicTime at;
  };

  struct Running {
    std::unique_ptr<SearchType> search;
    TicketId ticket;
    Arrival arrival;
    MonotonicTime started_at;
    bool in_burst = false;
    // Number of the current timer. Timers with a lower number have been
    // replaced.
    std::uint64_t timer_number = 0;
  };

  static FleetSettings MakeSettings() {
    FleetSettings settings;
    settings.data_centre = DataCentreName(0);
    return settings;
  }

  void StartSearch(TicketId ticket) {
    const MonotonicTime now = this->events.now();
    const Arrival arrival = this->pending_arrivals.at(ticket);
    this->pending_arrivals.erase(ticket);
    ++this->customer_flow.admitted.at(arrival.customer);
    SearchRequest request;
    request.service = ServiceId(std::string(this->deployment.service));
    request.deadline = this->deployment.deadline - (now - arrival.at);
    request.minimum_coverage = this->deployment.minimum_coverage;
    auto search = std::make_unique<SearchType>(
        request, this->fleet, this->policy, this->random, this->attempt_ids);
    const std::uint64_t key = search->waiter().value();
    Running& running = this->running[key];
    running = {std::move(search), ticket, arrival, now, this->is_bursting, 0};
    this->ExecuteSteps(key, running.search->Start(now));
    this->ScheduleWokenWaiters();
  }

  void CompleteTicket(TicketId ticket, Duration run_time) {
    const ServiceId service{std::string(this->deployment.service)};
    this->HandleEndedWaits(
        this->admission.Complete(this->events.now(), ticket, run_time,
                                 this->fleet.Traffic(service)->congestion()));
  }

  void RecordRefusal(TicketId ticket) {
    const Arrival arrival = this->pending_arrivals.at(ticket);
    this->pending_arrivals.erase(ticket);
    if (arrival.at >= this->measured_from) {
      this->figure_recorder.OnRefusal(this->events.now() - arrival.at);
    }
  }

  void HandleEndedWaits(const EndedWaits& ended_waits) {
    for (const TicketId ticket : ended_waits.expired) {
      this->RecordRefusal(ticket);
    }
    for (const TicketId ticket : ended_waits.ready) {
      this->StartSearch(ticket);
    }
    this->ArmExpiry();
  }

  void ArmExpiry() {
    const MonotonicTime at = this->admission.NextExpiry();
    if (at == MonotonicTime::max() || at == this->armed_expiry) {
      return;
    }
    this->armed_expiry = at;
    this->events.At(std::max(at, this->events.now()), [this] {
      this->HandleEndedWaits(this->admission.Expire(this->events.now()));
    });
  }

  void PollPlatformList() {
    constexpr Duration kInterval = std::chrono::seconds(1);
    this->fleet.UpdateRecords(this->events.now(), this->backends.Records());
    this->ScheduleWokenWaiters();
    this->events.After(kInterval, [this] { this->PollPlatformList(); });
  }

  void PollStatus(ServerIndex server) {
    constexpr Duration kInterval = std::chrono::seconds(1);
    const MonotonicTime now = this->events.now();
    FakeBackend& backend = this->backends.members()[server.value() - 1];
    const Duration one_way_delay = this->backends.OneWayDelayTo(backend);
    if (backend.is_reachable && !backend.server->is_unresponsive()) {
      const StatusReport status = backend.server->Status(now);
      if (status.load.state != ServerState::kLost) {
        this->events.After(one_way_delay, [this, server, status] {
          this->fleet.UpdateStatus(this->events.now(), server, status);
          this->fleet.UpdateConnectionPart(
              server, this->transport.ConnectionsPerServer());
          this->ScheduleWokenWaiters();
        });
      }
    }
    // Spreads the polls of the servers over the interval.
    const Duration jitter(static_cast<std::int64_t>(
        this->random.NextBelow(static_cast<std::uint64_t>(kInterval.count()))));
    this->events.After(kInterval / 2 + jitter,
                       [this, server] { this->PollStatus(server); });
  }

  void ExecuteSteps(std::uint64_t key, std::vector<SearchStep> steps) {
    for (SearchStep& step : steps) {
      std::visit([this, key](auto& typed) { this->ExecuteStep(key, typed); },
                 step);
    }
  }

  void ExecuteStep(std::uint64_t key, const SendAttempt& attempt) {
    const MonotonicTime now = this->events.now();
    if (now >= this->measured_from) {
      this->figure_recorder.OnAttempt(attempt.kind);
    }
    if (this->running.at(key).in_burst) {
      this->figure_recorder.OnBurstAttempt();
    }
    const auto view = this->fleet.View(now, attempt.server);
    if (view->state != ServerState::kServing) {
      this->fleet.OnNotDispatched(now, attempt.server);
      this->events.After(Duration(), [this, key, id = attempt.attempt] {
        this->FeedEvent(key, [&](SearchType& search) {
          return search.OnFailure(this->events.now(), id,
                                  AttemptFailure::kNotSent);
        });
      });
      return;
    }
    this->fleet.OnDispatch(now, attempt.server);
    this->transport.Send(
        attempt, [this, key, attempt, now](AttemptOutcome outcome) {
          this->OnOutcome(key, attempt, this->events.now() - now,
                          std::move(outcome));
        });
  }

  void ExecuteStep(std::uint64_t /*key*/, const CancelAttempt& attempt) {
    this->fleet.OnCancel(this->events.now(), attempt.server);
    this->transport.Cancel(attempt);
  }

  void ExecuteStep(std::uint64_t key, const SetTimer& timer) {
    const std::uint64_t number = ++this->running.at(key).timer_number;
    this->events.At(std::max(timer.at, this->events.now()),
                    [this, key, number] {
                      const auto position = this->running.find(key);
                      if (position != this->running.end() &&
                          position->second.timer_number == number) {
                        this->OnTimer(key);
                      }
                    });
  }

  void ExecuteStep(std::uint64_t key, const FinishSearch& finish) {
    const Running& running = this->running.at(key);
    this->RecordOutcome(running.arrival, running.in_burst, finish);
    if constexpr (kUsesAdmission<Policy>) {
      const Duration run_time = this->events.now() - running.started_at;
      this->events.After(Duration(), [this, ticket = running.ticket, run_time] {
        this->CompleteTicket(ticket, run_time);
      });
    }
    // The callers of this function still use the search, so it is erased later.
    this->events.After(Duration(), [this, key] { this->running.erase(key); });
  }

  void RecordOutcome(const Arrival& arrival,
                     bool in_burst,
                     const FinishSearch& finish) {
    if (arrival.at < this->measured_from) {
      return;
    }
    const bool is_loss_listed = arrival.at >= this->loss_listed_at;
    const auto* answer = std::get_if<SearchAnswer>(&finish.outcome);
    if (answer == nullptr) {
      this->figure_recorder.OnFailedSearch(is_loss_listed);
      return;
    }
    this->figure_recorder.OnSearch(arrival.customer,
                                   this->events.now() - arrival.at,
                                   Coverage(*answer), is_loss_listed);
    if (in_burst) {
      this->figure_recorder.OnBurstCoverage(answer->covered.size());
    }
  }

  void OnOutcome(std::uint64_t key,
                 const SendAttempt& attempt,
                 Duration latency,
                 AttemptOutcome outcome) {
    const MonotonicTime now = this->events.now();
    if (const auto* response = std::get_if<SubResponse>(&outcome)) {
      this->fleet.OnReply(now, attempt.server, latency, response->load);
      this->FeedEvent(key, [&](SearchType& search) {
        return search.OnReply(now, response->reply);
      });
    } else {
      const AttemptFailure failure = std::get<AttemptFailure>(outcome);
      const auto search = this->running.find(key);
      if (search != this->running.end() && search->second.in_burst &&
          SurelyDidNotRun(failure)) {
        this->figure_recorder.OnBurstAttemptRefused();
      }
      this->fleet.OnFailure(now, attempt.server, failure);
      this->FeedEvent(key, [&](SearchType& search) {
        return search.OnFailure(now, attempt.attempt, failure);
      });
    }
    this->ScheduleWokenWaiters();
  }

  void OnTimer(std::uint64_t key) {
    this->FeedEvent(key, [this](SearchType& search) {
      return search.OnTimer(this->events.now());
    });
  }

  template <class Event>
  void FeedEvent(std::uint64_t key, Event event) {
    const auto position = this->running.find(key);
    if (position != this->running.end()) {
      this->ExecuteSteps(key, event(*position->second.search));
    }
  }

  void ScheduleWokenWaiters() {
    for (const WaiterId waiter : this->fleet.TakeWokenWaiters()) {
      this->events.After(Duration(),
                         [this, waiter] { this->OnTimer(waiter.value()); });
    }
  }

  const Deployment& deployment;
  EventQueue& events;
  FakeBackends& backends;
  FakeTransport& transport;
  MonotonicTime measured_from;
  MonotonicTime loss_listed_at;
  Fleet fleet;
  Policy policy;
  SeededRandom random;
  AttemptCounter attempt_ids;
  std::unordered_map<std::uint64_t, Running> running;
  Admission admission{AdmissionSettings()};
  // Arrivals that are neither running nor refused yet.
  std::unordered_map<TicketId, Arrival> pending_arrivals;
  std::uint64_t last_ticket = 0;
  MonotonicTime armed_expiry = MonotonicTime::max();
  CustomerFlow customer_flow;
  FigureRecorder figure_recorder;
};

}  // namespace marigold

#endif  // TOOLS_BENCH_ENTRY_VM_H_
