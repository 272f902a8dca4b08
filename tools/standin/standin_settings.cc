#include "tools/standin/standin_settings.h"

#include <fmt/format.h>

namespace marigold {

namespace {

constexpr std::int64_t kHourMs = 3'600'000;
constexpr std::int64_t kMaxSeed = 1'000'000'000;

void AddAddresses(StandinSettings& settings, SettingsTable& table) {
  table.AddEndpoint("platform", settings.platform,
                    "Address of the platform's VM list, records and admin.");
  table.AddText("address-prefix", settings.address_prefix, "two IP bytes",
                "Searchers listen on addresses that begin with this.");
  table.AddNumber("port", settings.port, 1, 65535, "port",
                  "Port of every searcher.");
  table.AddChoice("deployment", settings.deployment, DeploymentNames(),
                  "Services, instances, searchers and data centres.");
  table.AddText("services", settings.services, "NAME[,NAME...]",
                "Services of the deployment that run; all if not given.");
  table.AddNumber("workers", settings.workers, 1, 64, "threads",
                  "Threads that run handlers.");
  table.AddNumber("seed", settings.seed, 0, kMaxSeed, "number",
                  "Seed of every random choice.");
}

void AddWork(StandinSettings& settings, SettingsTable& table) {
  ServiceTimeSettings& time = settings.behaviour.service_time;
  table.AddNumber("service-time-us", settings.service_time_us, 0, 60'000'000,
                  "us", "Median service time of a search.");
  table.AddDecimal("service-time-spread", time.spread, 0, 3, "number",
                   "Standard deviation of the logarithm of the service time.");
  table.AddDecimal("straggler-share", settings.straggler_share, 0, 1, "share",
                   "Share of searches that take longer by the factor.");
  table.AddDecimal("straggler-factor", time.straggler_factor, 1, 1000, "factor",
                   "How much longer stragglers take.");
  table.AddDecimal("cold-factor", time.cold_factor, 1, 1000, "factor",
                   "How much longer searches take right after a start.");
  table.AddMilliseconds("cold-ms", time.cold_time, 0, kHourMs,
                        "Time after a start until a server is warm.");
  table.AddMilliseconds("start-ms", settings.behaviour.start_time, 0, kHourMs,
                        "Time after a start until a server takes work.");
  table.AddMilliseconds("action-time-ms", settings.behaviour.action_time, 0,
                        kHourMs, "Time that an action takes.");
  table.AddNumber("queue-limit", settings.queue_limit, 0, 100'000, "requests",
                  "Requests that wait for a slot before a server sheds.");
  table.AddDecimal("shed-share", settings.shed_share, 0, 1, "share",
                   "Share of requests that are refused whatever the load is.");
}

void AddReports(StandinSettings& settings, SettingsTable& table) {
  table.AddMilliseconds("report-lag-ms", settings.behaviour.report.lag, 0,
                        kHourMs, "Age of the load that servers report.");
  table.AddChoice("report-mode", settings.report_mode, ReportModeNames(),
                  "What servers report of their load.");
  table.AddDecimal("misleading-share", settings.misleading_share, 0, 1, "share",
                   "Share of servers that use lag and mode.");
  table.AddMilliseconds("list-lag-ms", settings.list_lag, 0, kHourMs,
                        "Lag of the platform's VM list.");
}

void AddChurn(StandinSettings& settings, SettingsTable& table) {
  table.AddMilliseconds("snapshot-interval-ms",
                        settings.churn.snapshot_interval, 0, kHourMs,
                        "Time between two snapshots; 0 for one only.");
  table.AddMilliseconds("snapshot-stagger-ms", settings.snapshot_stagger, 0,
                        kHourMs,
                        "Servers take a new snapshot up to this late.");
  table.AddMilliseconds("kill-interval-ms", settings.churn.kill_interval, 0,
                        kHourMs, "Time between two deaths; 0 for none.");
  table.AddMilliseconds("down-ms", settings.churn.down_time, 1, kHourMs,
                        "Time from a death to the return.");
  table.AddText("action-record", settings.action_record, "path",
                "File to which every action run is appended.");
}

void AddFaults(StandinSettings& settings, SettingsTable& table) {
  ReplyFaultSettings& faults = settings.behaviour.faults;
  for (std::size_t i = 1; i < kReplyFaultCount; ++i) {
    const auto name = ToString(static_cast<ReplyFault>(i));
    table.AddDecimal(fmt::format("fault-{}", name), faults.shares[i], 0, 1,
                     "share", fmt::format("Share of {} replies.", name));
  }
  table.AddMilliseconds("fault-late-by-ms", faults.late_by, 0, kHourMs,
                        "Additional delay of late replies.");
}

}  // namespace

SettingsTable MakeStandinTable(StandinSettings& settings) {
  SettingsTable table("marigold-standin",
                      "Stand-in backend servers and platform list for tests.");
  AddAddresses(settings, table);
  AddWork(settings, table);
  AddReports(settings, table);
  AddChurn(settings, table);
  AddFaults(settings, table);
  return table;
}

Result<StandinSystemSettings> ToSystemSettings(
    const StandinSettings& settings) {
  Deployment deployment = *FindDeployment(settings.deployment);
  if (!KeepServices(Split(settings.services, ','), deployment)) {
    return boost::leaf::new_error(
        ParseError{"services", {}, "services of " + settings.deployment});
  }
  StandinSystemSettings system;
  system.places = PlaceSearchers(
      deployment,
      {settings.address_prefix, static_cast<std::uint16_t>(settings.port)});
  system.behaviour = settings.behaviour;
  system.behaviour.service_time.median = Duration(settings.service_time_us);
  system.behaviour.service_time.straggler_share =
      Fraction(settings.straggler_share);
  system.behaviour.shed_share = Fraction(settings.shed_share);
  system.behaviour.queue_limit =
      static_cast<std::uint32_t>(settings.queue_limit);
  system.behaviour.report.mode = *ParseReportMode(settings.report_mode);
  system.misleading_share = Fraction(settings.misleading_share);
  system.snapshot_stagger = settings.snapshot_stagger;
  system.list_lag = settings.list_lag;
  system.action_record = settings.action_record;
  system.seed = static_cast<std::uint64_t>(settings.seed);
  return system;
}

}  // namespace marigold
