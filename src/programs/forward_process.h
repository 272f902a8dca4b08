#ifndef SRC_PROGRAMS_FORWARD_PROCESS_H_
#define SRC_PROGRAMS_FORWARD_PROCESS_H_

#include <fmt/format.h>
#include <unistd.h>

#include <atomic>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "src/core/log.h"
#include "src/core/random.h"
#include "src/net/control/control_client.h"
#include "src/net/forward/caller_listener.h"
#include "src/net/forward/forwarder.h"
#include "src/net/http/http_server.h"
#include "src/net/listing/listing_poller.h"
#include "src/policy/listing_schedule.h"
#include "src/policy/route_reachability.h"
#include "src/programs/forward_settings.h"

namespace marigold {

// An entry process that forwards requests by routes: its parts and their order
// of start and end. `MessageCodec` and `Codec` translate one front end's
// formats.
template <ForwardMessageCodec MessageCodec, ListingCodec Codec>
class ForwardProcess {
 public:
  explicit ForwardProcess(const ForwardSettings& process_settings)
      : settings(process_settings),
        backends(ToDirectorySettings(process_settings)),
        pool(process_settings.workers),
        control(pool, lists, listing, ToControlSettings(process_settings)) {}

  ForwardProcess(const ForwardProcess&) = delete;
  ForwardProcess& operator=(const ForwardProcess&) = delete;

  // Serves until a signal ends the process; gives the exit code.
  int Run() {
    SetLogDescriptor(STDOUT_FILENO);
    const auto opened = Capture<bool>([this]() -> Result<bool> {
      BOOST_LEAF_CHECK(this->Open());
      return true;
    });
    if (const auto* error = std::get_if<AnyError>(&opened)) {
      LogEvent(LogLevel::kError, "start_failed", {{"error", ToString(*error)}});
      this->pool.Stop();
      return 1;
    }
    this->pool.SetSignalHandler([this](int number) { this->OnSignal(number); });
    LogEvent(LogLevel::kInfo, "listening",
             {{"address", ToString(this->settings.listen)},
              {"admin", ToString(this->settings.admin)},
              {"vm", this->settings.vm}});
    this->pool.WaitUntilFinished();
    // Handlers refer to the members, which are destroyed next.
    this->pool.Stop();
    LogEvent(LogLevel::kInfo, "stopped");
    return 0;
  }

 private:
  using StrandForwarder = Forwarder<MessageCodec>;

  // The balancer sends no new callers after two readiness checks a second
  // apart.
  static constexpr Duration kRotationTime = std::chrono::milliseconds(2800);
  // Before the process is ended by force.
  static constexpr Duration kStopMargin = std::chrono::milliseconds(400);
  static constexpr Duration kTickInterval = std::chrono::milliseconds(250);
  static constexpr std::uint64_t kMostReadDelayMs = 600;
  static constexpr int kStatusUnavailable = 503;
  static constexpr int kStatusNotFound = 404;

  static DirectorySettings ToDirectorySettings(
      const ForwardSettings& settings) {
    DirectorySettings directory;
    directory.data_centre = DataCentreId(settings.data_centre);
    directory.retry_budget.ratio = Fraction(settings.retry_ratio);
    directory.retry_budget.fleet_minimum_sends = settings.retry_minimum;
    directory.retry_budget.window = FromSeconds(settings.retry_window_s);
    directory.retry_budget.started_at = SystemClock().Now();
    return directory;
  }

  static ControlClientSettings ToControlSettings(
      const ForwardSettings& settings) {
    ControlClientSettings client;
    client.vm = VmId(settings.vm);
    client.data_centre = DataCentreId(settings.data_centre);
    client.controls = settings.controls;
    return client;
  }

  Result<void> Open() {
    this->started_at = this->clock.Now();
    this->listing.OnChanged([this] { this->ApplyListing(); });
    const ForwardContext shared{this->lists, this->backends, this->counters,
                                [this] { return this->knows_routes(); }};
    std::vector<std::shared_ptr<Strand>> strands;
    for (std::int64_t i = 0; i < this->settings.workers; ++i) {
      strands.push_back(std::make_shared<Strand>(this->pool));
      this->forwarders.push_back(
          {strands.back(),
           std::make_shared<StrandForwarder>(strands.back(), shared)});
    }
    BOOST_LEAF_ASSIGN(this->listener,
                      CallerListener::Listen(
                          this->pool, this->settings.listen, strands,
                          static_cast<std::size_t>(this->settings.connections),
                          [this](const std::shared_ptr<Strand>& strand) {
                            return this->ForwarderOf(strand)->CreateHandlers();
                          }));
    BOOST_LEAF_ASSIGN(this->admin,
                      HttpServer::Listen(this->pool, this->settings.admin, {},
                                         [this](const HttpRequest& request,
                                                const HttpResponder& respond) {
                                           respond(this->AnswerAdmin(request));
                                         }));
    this->control.SetHintsHandler([this](const ServerHints& received) {
      const MonotonicTime now = this->clock.Now();
      this->backends.Access([&](BackendDirectory& directory) {
        directory.ApplyHints(now, received.hints);
      });
    });
    BOOST_LEAF_CHECK(this->control.Start());
    this->StartPolling();
    this->ArmTick();
    return {};
  }

  std::shared_ptr<StrandForwarder> ForwarderOf(
      const std::shared_ptr<Strand>& strand) const {
    for (const auto& [own_strand, forwarder] : this->forwarders) {
      if (own_strand == strand) {
        return forwarder;
      }
    }
    return nullptr;
  }

  void StartPolling() {
    const Duration delay = std::chrono::milliseconds(
        SeededRandom(SystemSeed()).NextBelow(kMostReadDelayMs));
    this->poller = std::make_shared<ListingPoller<Codec>>(
        this->pool, this->settings.server_list, this->listing,
        [this, delay](MonotonicTime now, MonotonicTime last_attempt) {
          return ListingSchedule::IsEntryReadDue(
              now, last_attempt, this->listing.Summary().observed_at,
              this->started_at, delay);
        },
        [](bool) {});
    this->poller->Start();
  }

  void ApplyListing() {
    const auto servers = this->listing.Servers();
    const MonotonicTime now = this->clock.Now();
    const auto retired =
        this->backends.Access([&](BackendDirectory& directory) {
          return directory.ApplyListing(now, *servers);
        });
    LogEvent(LogLevel::kInfo, "listing_applied",
             {{"servers", servers->size()},
              {"retired", retired.size()},
              {"hash", this->listing.Summary().hash.value()},
              {"age_ms", this->ListingAgeMs()}});
    for (const auto& [strand, forwarder] : this->forwarders) {
      strand->Post(
          [forwarder = forwarder, retired] { forwarder->Retire(retired); });
    }
  }

  void ArmTick() {
    this->tick_timer = this->pool.After(kTickInterval, [this] {
      this->Tick();
      this->ArmTick();
    });
  }

  // Passes this entry VM's part of the retry budgets and its slow servers on,
  // and probes data centres that are cut off.
  void Tick() {
    const Fraction share = this->listing.share();
    const MonotonicTime now = this->clock.Now();
    ServerHints found;
    const auto probes = this->backends.Access([&](BackendDirectory& directory) {
      directory.SetRetryBudgetShare(share);
      found.hints = directory.TakeHints(now);
      return directory.ProbeTargets(now);
    });
    if (!found.hints.empty()) {
      this->control.SendHints(std::move(found));
    }
    const auto& [strand, forwarder] = this->forwarders.front();
    for (const ServerIndex server : probes) {
      strand->Post(
          [forwarder = forwarder, server] { forwarder->Probe(server); });
    }
  }

  bool knows_routes() const {
    return this->control.is_synchronised() && this->lists.Routes() != nullptr;
  }

  HttpResponse AnswerAdmin(const HttpRequest& request) const {
    HttpResponse response;
    response.content_type = "text/plain; version=0.0.4";
    if (request.path == this->settings.ready_path) {
      const bool is_ready = !this->is_leaving && this->knows_routes() &&
                            this->listing.Summary().observed_at.has_value() &&
                            !this->IsCutOff();
      response.status = is_ready ? response.status : kStatusUnavailable;
      response.body = is_ready ? "ready" : "not ready";
    } else if (request.path == "/metrics") {
      response.body = this->counters.Text();
    } else if (request.path == "/state") {
      response.content_type = "application/json";
      response.body = this->State();
    } else {
      response.status = kStatusNotFound;
      response.body = "no such resource";
    }
    return response;
  }

  // True while data centres that can't be reached leave too few shards for some
  // route; callers are then better served by another data centre.
  bool IsCutOff() const {
    const auto routes = this->lists.Routes();
    const MonotonicTime now = this->clock.Now();
    const bool is_cut_off =
        this->backends.Access([&](const BackendDirectory& directory) {
          return directory.HasCutOffDataCentre(now) &&
                 HasUnservableRoute(directory, now, routes->table());
        });
    if (this->was_cut_off.exchange(is_cut_off) != is_cut_off) {
      LogEvent(LogLevel::kWarning,
               is_cut_off ? "backends_lost" : "backends_regained",
               {{"routes_version", routes->table().version.value()}});
    }
    return is_cut_off;
  }

  // -1 without a listing.
  double ListingAgeMs() const {
    const ListingSummary summary = this->listing.Summary();
    return summary.observed_at
               ? ToMilliseconds(this->clock.Now() - *summary.observed_at)
               : -1.0;
  }

  std::string State() const {
    const auto routes = this->lists.Routes();
    return fmt::format(
        R"({{"routes_version":{},"listed_servers":{},"listing_age_ms":{:.0f},)"
        R"("connections":{},"leaving":{}}})",
        routes ? routes->table().version.value() : 0,
        this->listing.Servers()->size(), this->ListingAgeMs(),
        this->listener->open_connections(), this->is_leaving.load());
  }

  void OnSignal(int number) {
    if (this->is_leaving.exchange(true)) {
      return;
    }
    LogEvent(LogLevel::kInfo, "leaving",
             {{"signal", number},
              {"connections", this->listener->open_connections()}});
    this->listener->DisableKeepAlive();
    const Duration bound =
        FromSeconds(this->settings.stop_bound_s) - kStopMargin;
    this->pool.PostAfter(std::min(kRotationTime, bound / 2), [this] {
      LogEvent(LogLevel::kInfo, "draining",
               {{"connections", this->listener->open_connections()}});
      this->listener->Drain([this] { this->pool.Finish(); });
    });
    this->pool.PostAfter(bound, [this] {
      LogEvent(LogLevel::kWarning, "stopped_at_bound",
               {{"connections", this->listener->open_connections()}});
      this->pool.Finish();
    });
  }

  ForwardSettings settings;
  SystemClock clock;
  MonotonicTime started_at;
  // The tables outlive the pool, whose threads may still use them.
  ListTable lists;
  ListingTable listing;
  mutable BackendTable backends;
  ForwardMetrics counters;
  std::atomic<bool> is_leaving = false;
  mutable std::atomic<bool> was_cut_off = false;
  WorkerPool pool;
  ControlClient control;
  std::vector<
      std::pair<std::shared_ptr<Strand>, std::shared_ptr<StrandForwarder>>>
      forwarders;
  std::unique_ptr<CallerListener> listener;
  std::unique_ptr<HttpServer> admin;
  std::shared_ptr<ListingPoller<Codec>> poller;
  TimerHandle tick_timer;
};

}  // namespace marigold

#endif  // SRC_PROGRAMS_FORWARD_PROCESS_H_
