#ifndef SRC_PROGRAMS_FORWARD_PROCESS_H_
#define SRC_PROGRAMS_FORWARD_PROCESS_H_

#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "src/core/allocator.h"
#include "src/core/log.h"
#include "src/core/random.h"
#include "src/net/control/control_client.h"
#include "src/net/control/seeds_file.h"
#include "src/net/fan_out/aggregator_listener.h"
#include "src/net/forward/caller_listener.h"
#include "src/net/forward/forwarder.h"
#include "src/net/http/http_server.h"
#include "src/net/listing/listing_poller.h"
#include "src/policy/listing_schedule.h"
#include "src/programs/forward_admin.h"
#include "src/programs/forward_components.h"
#include "src/programs/forward_settings.h"

namespace marigold {

// An entry process that forwards requests according to a route table. Starts
// and stops its components in the required order. `MessageCodec` and `Codec`
// translate the formats of one front end.
template <ForwardMessageCodec MessageCodec, ListingCodec Codec>
class ForwardProcess {
 public:
  explicit ForwardProcess(const ForwardSettings& process_settings)
      : settings(process_settings),
        backends(ToDirectorySettings(process_settings)),
        aggregators(VmId(process_settings.vm),
                    DataCentreId(process_settings.data_centre),
                    ToFanOutSettings(process_settings)),
        quotas(VmId(process_settings.vm), lists),
        pool(process_settings.workers),
        gate(std::make_shared<ForwardGate>(
            ToForwardAdmissionSettings(process_settings),
            pool,
            clock)),
        control(pool, lists, listing, ToControlSettings(process_settings)),
        seeds_file(pool,
                   process_settings.seeds_file,
                   [this](std::vector<Endpoint> seeds) {
                     for (Endpoint& seed : seeds) {
                       seed.port = this->settings.control_port;
                     }
                     this->control.SetControls(std::move(seeds));
                   }),
        answers({settings, lists, listing, backends, quotas, metrics, lifecycle,
                 [this] { return this->knows_routes(); },
                 [this] { return this->caller_listener->open_connections(); },
                 [this] { return this->gate->Status(); },
                 [this] { return this->control.lists_confirmed_age(); }}) {}

  ForwardProcess(const ForwardProcess&) = delete;
  ForwardProcess& operator=(const ForwardProcess&) = delete;

  // Serves until a signal stops the process. Returns the exit code.
  int Run() {
    ReturnFreedMemory();
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
    this->pool.SetSignalHandler([this](int number) { this->OnSignal(number); },
                                [this] { this->seeds_file.Read(); });
    LogEvent(LogLevel::kInfo, "listening",
             {{"address", ToString(this->settings.listen)},
              {"admin", ToString(this->settings.admin)},
              {"vm", this->settings.vm}});
    this->pool.WaitUntilFinished();
    // Stops all threads, because their handlers use members of this object.
    this->pool.Stop();
    LogEvent(LogLevel::kInfo, "stopped");
    return 0;
  }

 private:
  using StrandForwarder = Forwarder<MessageCodec>;

  // The time for which new connections are accepted after the first signal. The
  // load balancer sends no new callers after two failed readiness checks, which
  // are one second apart.
  static constexpr Duration kReadinessDelay = std::chrono::milliseconds(2800);
  // The process exits this long before the platform kills it.
  static constexpr Duration kForcedStopMargin = std::chrono::milliseconds(400);
  // All requests are answered this long before the process exits, so that the
  // answers are written even if the VM gets little processor time.
  static constexpr Duration kLastAnswerMargin = std::chrono::milliseconds(200);
  static constexpr Duration kTickInterval = std::chrono::milliseconds(250);
  static constexpr std::uint64_t kMaxFirstReadDelayMs = 600;

  Result<void> Open() {
    this->started_at = this->clock.Now();
    this->listing.OnChanged([this] { this->ApplyListing(); });
    // The routes count as known only after this, so that a process that starts
    // sends nothing to an evacuated data centre.
    this->lists.OnApplied([this] {
      this->ApplyEvacuation();
      this->ApplyColdRates();
      this->quotas.FollowLists(this->clock.Now());
    });
    const ForwardContext shared{
        this->lists,       this->backends,
        this->aggregators, this->quotas,
        this->metrics,     [this] { return this->knows_routes(); },
        this->lifecycle,   ToStrandLimits(this->settings),
        this->gate};
    std::vector<std::shared_ptr<Strand>> strands;
    for (std::int64_t i = 0; i < this->settings.workers; ++i) {
      strands.push_back(std::make_shared<Strand>(this->pool));
      this->forwarders.push_back(
          {strands.back(),
           std::make_shared<StrandForwarder>(strands.back(), shared)});
    }
    BOOST_LEAF_ASSIGN(this->caller_listener,
                      CallerListener::Listen(
                          this->pool, this->settings.listen, strands,
                          MaxCallerConnections(this->settings),
                          [this](const std::shared_ptr<Strand>& strand) {
                            return this->ForwarderOf(strand)->CreateHandlers();
                          }));
    BOOST_LEAF_ASSIGN(this->admin, HttpServer::Listen(
                                       this->pool, this->settings.admin, {},
                                       [this](const HttpRequest& request,
                                              const HttpResponder& respond) {
                                         respond(this->answers.Answer(request));
                                       }));
    this->control.SetHintsHandler([this](const ServerHints& received) {
      const MonotonicTime now = this->clock.Now();
      this->backends.Access([&](BackendDirectory& directory) {
        directory.ApplyHints(now, received.hints);
      });
    });
    this->ConnectQuotas();
    BOOST_LEAF_CHECK(this->ListenForQueries(strands));
    BOOST_LEAF_CHECK(this->control.Start());
    this->seeds_file.Read();
    this->StartPolling();
    this->ScheduleTick();
    return {};
  }

  // Exchanges quota states and usage reports with the control VMs.
  void ConnectQuotas() {
    this->control.SetQuotaStateHandler([this](const QuotaState& state) {
      this->quotas.Apply(this->clock.Now(), state);
    });
    this->quotas.SetReportHandler([this](MonotonicTime at) {
      this->pool.PostAfter(
          std::max(at - this->clock.Now(), Duration::zero()), [this] {
            if (auto report = this->quotas.TakeReport(this->clock.Now())) {
              this->control.SendQuotaReport(std::move(*report));
            }
          });
    });
  }

  // Begins to answer the queries of other entry VMs, and to learn which of them
  // answer queries of this one.
  Result<void> ListenForQueries(
      const std::vector<std::shared_ptr<Strand>>& strands) {
    if (this->settings.aggregator.port == 0) {
      return {};
    }
    BOOST_LEAF_ASSIGN(
        this->aggregator_listener,
        AggregatorListener::Listen(
            this->pool, this->settings.aggregator, strands,
            [this](const std::shared_ptr<Strand>& strand,
                   boost::asio::ip::tcp::socket socket) {
              this->ForwarderOf(strand)->ServeQueries(std::move(socket));
            }));
    this->control.SetAggregatorsHandler([this](const AggregatorUpdate& update) {
      this->ApplyEntryVms(update);
      const std::size_t count =
          this->aggregators.Access([&](AggregatorDirectory& directory) {
            directory.Apply(update);
            return directory.size();
          });
      LogEvent(LogLevel::kInfo, "aggregators_changed",
               {{"added", update.added.size()},
                {"removed", update.removed.size()},
                {"known", count}});
    });
    return {};
  }

  void ApplyEntryVms(const AggregatorUpdate& update) {
    std::vector<VmId> added;
    for (const Aggregator& aggregator : update.added) {
      added.push_back(aggregator.vm);
    }
    const MonotonicTime now = this->clock.Now();
    this->backends.Access([&](BackendDirectory& directory) {
      directory.SetEntryVms(now, update.is_full, added, update.removed);
    });
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
        SeededRandom(SystemSeed()).NextBelow(kMaxFirstReadDelayMs));
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
    const ListingSnapshot snapshot = this->listing.Snapshot();
    const MonotonicTime now = this->clock.Now();
    const auto retired =
        this->backends.Access([&](BackendDirectory& directory) {
          return directory.ApplyListing(now, *snapshot.servers,
                                        snapshot.summary.observed_at);
        });
    this->applied_listing = snapshot.summary.hash;
    LogEvent(LogLevel::kInfo, "listing_applied",
             {{"servers", snapshot.servers->size()},
              {"retired", retired.size()},
              {"hash", snapshot.summary.hash.value()},
              {"age_ms", ListingAgeMs(this->listing, now)}});
    this->Retire(retired);
  }

  // Closes the free connections to servers that get no new requests.
  void Retire(const std::vector<ServerIndex>& retired) {
    for (const auto& [strand, forwarder] : this->forwarders) {
      strand->Post(
          [forwarder = forwarder, retired] { forwarder->Retire(retired); });
    }
  }

  // Called for one update of the lists at a time.
  void ApplyEvacuation() {
    EvacuatedDataCentres evacuated = this->lists.Evacuated();
    if (evacuated == this->evacuated_in_force) {
      return;
    }
    const MonotonicTime now = this->clock.Now();
    const auto retired =
        this->backends.Access([&](BackendDirectory& directory) {
          return directory.SetEvacuated(now, evacuated);
        });
    LogEvent(LogLevel::kInfo, "evacuation_in_force",
             {{"data_centres", ToString(evacuated)},
              {"index", this->lists.index().value()},
              {"retired", retired.size()}});
    this->metrics.SetEvacuated(evacuated.size());
    this->evacuated_in_force = std::move(evacuated);
    this->Retire(retired);
  }

  // Called for one update of the lists at a time.
  void ApplyColdRates() {
    const auto routes = this->lists.Routes();
    if (routes == this->routes_of_cold_rates) {
      return;
    }
    this->backends.Access([&](BackendDirectory& directory) {
      directory.SetColdRates(routes->table().services);
    });
    this->routes_of_cold_rates = routes;
  }

  // Tells the directory how old its list is, finds out which servers have
  // returned, and reports the servers that are held back as possibly cold.
  void UpdateColdServers(MonotonicTime now) {
    const ListingSummary summary = this->listing.Summary();
    const bool is_applied = summary.hash == this->applied_listing.load();
    std::vector<ServerIndex> probes;
    ColdReport report;
    std::vector<ListedServer> changed;
    this->backends.Access([&](BackendDirectory& directory) {
      if (is_applied && summary.observed_at) {
        directory.ConfirmListing(*summary.observed_at);
      }
      probes = directory.TakeReturnProbes(now);
      report = directory.TakeColdReport(now);
      for (const ColdChange& change : report.changes) {
        changed.push_back(directory.ListedServerAt(change.server));
      }
    });
    this->metrics.OnColdServers(report.held_back, report.sends);
    for (std::size_t i = 0; i < changed.size(); ++i) {
      const ColdChange& change = report.changes[i];
      const bool is_held_back = change.reason != ColdReason::kNone;
      LogEvent(LogLevel::kInfo,
               is_held_back ? "server_held_back" : "server_released",
               {{"server", changed[i].server.value()},
                {"service", changed[i].service.value()},
                {"reason", ToString(change.reason)},
                {"rate", change.cold_rate.value()},
                {"list_age_ms", ListingAgeMs(this->listing, now)}});
    }
    const auto& [strand, forwarder] = this->forwarders.front();
    for (const ServerIndex server : probes) {
      strand->Post(
          [forwarder = forwarder, server] { forwarder->ProbeReturn(server); });
    }
  }

  void ScheduleTick() {
    this->tick_timer = this->pool.After(kTickInterval, [this] {
      this->Tick();
      this->ScheduleTick();
    });
  }

  // Applies this entry VM's share of the retry budgets, sends the servers that
  // were found slow to the control VMs, and probes data centres that are cut
  // off and servers that may be cold.
  void Tick() {
    const Fraction share = this->listing.FleetLimitShare();
    const MonotonicTime now = this->clock.Now();
    this->UpdateColdServers(now);
    ServerHints new_hints;
    const auto probes = this->backends.Access([&](BackendDirectory& directory) {
      directory.SetRetryBudgetShare(share);
      new_hints.hints = directory.TakeHints(now);
      return directory.TakeProbeTargets(now);
    });
    this->quotas.SetLimitShare(share);
    this->quotas.LogMissingState(now);
    if (!new_hints.hints.empty()) {
      this->control.SendHints(std::move(new_hints));
    }
    const auto& [strand, forwarder] = this->forwarders.front();
    for (const ServerIndex server : probes) {
      strand->Post(
          [forwarder = forwarder, server] { forwarder->Probe(server); });
    }
  }

  bool is_leaving() const {
    return this->lifecycle.phase() != ProcessPhase::kServing;
  }

  bool knows_routes() const {
    return this->control.is_synchronised() && this->lists.Routes() != nullptr;
  }

  void OnSignal(int number) {
    if (this->is_leaving()) {
      return;
    }
    const Duration stop_timeout =
        FromSeconds(this->settings.stop_timeout_s) - kForcedStopMargin;
    this->lifecycle.Leave(this->clock.Now() + stop_timeout - kLastAnswerMargin);
    LogEvent(LogLevel::kInfo, "leaving",
             {{"signal", number},
              {"connections", this->caller_listener->open_connections()}});
    this->caller_listener->DisableKeepAlive();
    this->control.WithdrawAggregator();
    for (const auto& [strand, forwarder] : this->forwarders) {
      strand->Post(
          [forwarder = forwarder] { forwarder->EndCallsByDrainDeadline(); });
    }
    this->pool.PostAfter(std::min(kReadinessDelay, stop_timeout / 2), [this] {
      LogEvent(LogLevel::kInfo, "draining",
               {{"connections", this->caller_listener->open_connections()}});
      this->caller_listener->Drain([this] { this->DrainQueries(); });
    });
    this->pool.PostAfter(stop_timeout, [this] {
      LogEvent(LogLevel::kWarning, "stopped_at_bound",
               {{"connections", this->caller_listener->open_connections()}});
      this->pool.Finish();
    });
  }

  // Finishes the process once no strand works on a query of another entry VM.
  void DrainQueries() {
    this->undrained_strands = this->forwarders.size();
    for (const auto& [strand, forwarder] : this->forwarders) {
      strand->Post([this, forwarder = forwarder] {
        forwarder->DrainQueries([this] {
          if (--this->undrained_strands == 0) {
            this->pool.Finish();
          }
        });
      });
    }
  }

  ForwardSettings settings;
  SystemClock clock;
  MonotonicTime started_at;
  // Declared before the pool, because its threads may use the tables until it
  // is destroyed.
  ListTable lists;
  ListingTable listing;
  BackendTable backends;
  AggregatorTable aggregators;
  QuotaTable quotas;
  ForwardMetrics metrics;
  Lifecycle lifecycle;
  // Used only by the callback of `lists`.
  EvacuatedDataCentres evacuated_in_force;
  std::shared_ptr<const RouteIndex> routes_of_cold_rates;
  // The listing that the directory has.
  std::atomic<ListingHash> applied_listing{};
  std::atomic<std::size_t> undrained_strands = 0;
  WorkerPool pool;
  std::shared_ptr<ForwardGate> gate;
  ControlClient control;
  SeedsFile seeds_file;
  ForwardAdmin answers;
  std::vector<
      std::pair<std::shared_ptr<Strand>, std::shared_ptr<StrandForwarder>>>
      forwarders;
  std::unique_ptr<CallerListener> caller_listener;
  std::unique_ptr<AggregatorListener> aggregator_listener;
  std::unique_ptr<HttpServer> admin;
  std::shared_ptr<ListingPoller<Codec>> poller;
  TimerHandle tick_timer;
};

}  // namespace marigold

#endif  // SRC_PROGRAMS_FORWARD_PROCESS_H_
