#include "src/programs/entry_process.h"

#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <utility>
#include <variant>

#include "src/core/invariant.h"
#include "src/core/log.h"

namespace marigold {

namespace {

constexpr Duration kIdleCheckInterval = std::chrono::milliseconds(10);
// Requests that arrive after the first signal must end this long before the
// stop timeout.
constexpr Duration kStopMargin = std::chrono::milliseconds(500);
// Requests without an answer are answered this long before the stop timeout.
constexpr Duration kLastAnswerMargin = std::chrono::milliseconds(250);

std::unique_ptr<ControlClient> MakeControlClient(const EntrySettings& settings,
                                                 WorkerPool& pool,
                                                 ListTable& lists,
                                                 ListingTable& listing) {
  if (settings.controls.empty()) {
    return nullptr;
  }
  return std::make_unique<ControlClient>(pool, lists, listing,
                                         ToControlSettings(settings));
}

LedgerClient MakeLedgerClient(ControlClient& control) {
  return {[&control](const ControlCommand& command, Duration timeout,
                     LedgerClient::OnOutcome on_outcome) {
    control.Submit(command, timeout, std::move(on_outcome));
  }};
}

}  // namespace

EntryProcess::EntryProcess(const EntrySettings& entry_settings)
    : settings(entry_settings),
      pool(settings.workers),
      servers(ToFleetSettings(settings)),
      client(pool, servers, metrics, ToClientSettings(settings)),
      monitor(pool, client, servers, ToMonitorSettings(settings)),
      control(MakeControlClient(settings, pool, lists, listing)),
      ledger(control == nullptr ? RefusingLedgerClient()
                                : MakeLedgerClient(*control)),
      gate(std::make_shared<EntryGate>(
          ToAdmissionSettings(settings),
          [this](const CustomerId& customer, const ServiceId& service) {
            return this->LimitsOf(customer, service);
          },
          pool,
          clock)),
      api({.client = client,
           .servers = servers,
           .lists = lists,
           .gate = *gate,
           .lifecycle = lifecycle,
           .metrics = metrics,
           .notes = notes,
           .ledger = ledger,
           .clock = clock,
           .settings = ToCallerSettings(settings),
           .are_lists_known = [this] { return this->lists_known(); },
           .lists_confirmed_age =
               [this] {
                 return this->control == nullptr
                            ? Duration::zero()
                            : this->control->lists_confirmed_age();
               },
           .caller_connections =
               [this] { return this->server->open_connections(); }}) {}

int EntryProcess::Run() {
  SetLogDescriptor(STDOUT_FILENO);
  if (!this->Listen() || !this->StartControlClient()) {
    this->pool.Stop();
    return 1;
  }
  this->monitor.Start();
  this->pool.SetSignalHandler([this](int number) { this->OnSignal(number); });
  LogEvent(LogLevel::kInfo, "listening",
           {{"address", ToString(this->settings.listen)},
            {"vm", this->settings.vm}});
  this->pool.WaitUntilFinished();
  // Stops all threads, because their handlers use members of this object.
  this->pool.Stop();
  LogEvent(LogLevel::kInfo, "stopped");
  return 0;
}

bool EntryProcess::Listen() {
  auto listening = Capture<std::unique_ptr<HttpServer>>([&] {
    return HttpServer::Listen(
        this->pool, this->settings.listen, ToHttpLimits(this->settings),
        [this](const HttpRequest& request, HttpResponder respond) {
          this->api.Handle(request, std::move(respond));
        });
  });
  if (const auto* error = std::get_if<AnyError>(&listening)) {
    LogEvent(LogLevel::kError, "listen_failed",
             {{"error", ToString(std::get<IoError>(*error))}});
    return false;
  }
  this->server = std::move(std::get<std::unique_ptr<HttpServer>>(listening));
  return true;
}

bool EntryProcess::StartControlClient() {
  if (this->control == nullptr) {
    return true;
  }
  auto started = Capture<bool>([this]() -> Result<bool> {
    BOOST_LEAF_CHECK(this->control->Start());
    return true;
  });
  if (const auto* error = std::get_if<AnyError>(&started)) {
    LogEvent(LogLevel::kError, "listen_failed",
             {{"error", ToString(std::get<IoError>(*error))}});
    return false;
  }
  return true;
}

std::variant<AdmissionLimits, Refusal> EntryProcess::LimitsOf(
    const CustomerId& customer,
    const ServiceId& service) {
  if (this->settings.serves_without_lists) {
    return UnboundedLimits();
  }
  if (!this->lists_known()) {
    return Refusal{Execution::kDidNotRun, Reason::kStarting, "", {}};
  }
  return FindLimits(this->lists, ToLimitPart(this->settings), customer,
                    service);
}

bool EntryProcess::lists_known() const {
  return this->settings.serves_without_lists ||
         (this->control != nullptr && this->control->is_synchronised());
}

void EntryProcess::OnSignal(int number) {
  if (++this->signal_count > 1) {
    LogEvent(LogLevel::kWarning, "stopped_at_once", {{"signal", number}});
    std::_Exit(EXIT_FAILURE);
  }
  LogEvent(LogLevel::kInfo, "leaving",
           {{"signal", number},
            {"grace_ms", ToMilliseconds(this->settings.grace_period)}});
  const Duration stop_timeout = this->settings.stop_timeout;
  this->lifecycle.Leave(this->clock.Now() + stop_timeout -
                        std::min(kStopMargin, stop_timeout / 2));
  this->server->DisableKeepAlive();
  this->pool.PostAfter(this->settings.grace_period,
                       [this] { this->BeginDrain(); });
  this->pool.PostAfter(
      stop_timeout - std::min(kLastAnswerMargin, stop_timeout / 4),
      [this] { this->api.AnswerOpenRequests(); });
  this->pool.PostAfter(stop_timeout, [this] { this->FinishAtStopTimeout(); });
}

void EntryProcess::BeginDrain() {
  LogEvent(LogLevel::kInfo, "stopping",
           {{"requests", this->lifecycle.requests_in_flight()},
            {"connections", this->server->open_connections()}});
  this->lifecycle.Stop();
  this->server->Drain([this] { this->FinishWhenIdle(); });
}

void EntryProcess::FinishWhenIdle() {
  if (this->lifecycle.open_actions() > 0) {
    // The control group has not confirmed the outcomes of these actions yet.
    this->pool.PostAfter(kIdleCheckInterval,
                         [this] { this->FinishWhenIdle(); });
    return;
  }
  CheckInvariant(Invariant::kShutdownCutsNothing,
                 this->lifecycle.requests_in_flight() == 0,
                 "requests are in flight although no connection is open");
  this->pool.Finish();
}

void EntryProcess::FinishAtStopTimeout() {
  CheckInvariant(Invariant::kShutdownCutsNothing,
                 this->lifecycle.requests_in_flight() == 0,
                 "requests are still in flight at the stop timeout");
  if (this->lifecycle.open_actions() > 0) {
    LogEvent(LogLevel::kError, "outcomes_not_recorded",
             {{"actions", this->lifecycle.open_actions()}});
  }
  this->pool.Finish();
}

}  // namespace marigold
