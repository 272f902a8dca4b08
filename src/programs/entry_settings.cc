#include "src/programs/entry_settings.h"

#include <fmt/format.h>

namespace marigold {

namespace {

constexpr std::int64_t kMinuteMs = 60'000;
constexpr std::int64_t kMaxBytes = 1'000'000'000;

void AddTopologySettings(EntrySettings& settings, SettingsTable& table) {
  table.AddEndpoint("listen", settings.listen, "Address for callers' HTTP.");
  table.AddEndpoint("platform", settings.platform,
                    "Address of the platform's VM list.");
  table.AddEndpoints("controls", settings.controls,
                     "Addresses of the control VMs, in any order.");
  table.AddEndpoints("peers", settings.peers,
                     "Addresses on which the data centre's other entry VMs "
                     "answer this one.");
  table.AddEndpoint("peer-listen", settings.peer_listen,
                    "Address on which this VM answers the other entry VMs.");
  table.AddSwitch("open", settings.serves_without_lists,
                  "Serves every customer without lists; for tests only.");
  table.AddText("vm", settings.vm, "name", "Name of this VM.");
  table.AddText("data-centre", settings.data_centre, "name",
                "Data centre of this VM; its replicas are preferred.");
  table.AddNumber("entry-vms", settings.entry_vms, 1, 10'000, "VMs",
                  "Number of entry VMs that share every limit.");
  table.AddNumber("entry-number", settings.entry_number, 0, 9'999, "number",
                  "Number of this VM among the entry VMs, from 0.");
  table.AddText("tail-services", settings.tail_services, "NAME[,NAME...]",
                "Services that prefer a low tail latency over full coverage.");
}

void AddProcessSettings(EntrySettings& settings, SettingsTable& table) {
  table.AddNumber("workers", settings.workers, 1, 64, "threads",
                  "Threads that run handlers.");
  table.AddChoice("log-level", settings.log_level,
                  {"debug", "info", "warning", "error"},
                  "Lines below this level are not logged.");
  table.AddNumber("access-log-every", settings.access_log_every, 0, 1'000'000,
                  "requests",
                  "Logs one in this many answered requests; 0 for none.");
  table.AddMilliseconds("grace-ms", settings.grace_period, 0, 10 * kMinuteMs,
                        "Time after SIGTERM in which requests are served.");
  table.AddMilliseconds("stop-bound-ms", settings.stop_timeout, 1,
                        20 * kMinuteMs,
                        "Time after SIGTERM at which the process exits.");
}

void AddCallerSettings(EntrySettings& settings, SettingsTable& table) {
  table.AddNumber(
      "capacity", settings.max_capacity, 1, 1'000'000, "requests",
      "Maximum number of callers' requests that run at the same time.");
  table.AddNumber(
      "queue-length", settings.max_queue_length, 0, 1'000'000, "requests",
      "Maximum number of callers' requests that wait for capacity.");
  table.AddNumber("caller-connections", settings.max_caller_connections, 1,
                  1'000'000, "connections",
                  "Maximum number of open connections of callers.");
  table.AddNumber("header-bytes", settings.max_header_bytes, 256, kMaxBytes,
                  "bytes", "Maximum size of a request's header.");
  table.AddNumber("body-bytes", settings.max_body_bytes, 1, kMaxBytes, "bytes",
                  "Maximum size of a request's body.");
  table.AddNumber("all-body-bytes", settings.max_total_body_bytes, 1, kMaxBytes,
                  "bytes",
                  "Maximum size of all bodies that arrive at the same time.");
  table.AddMilliseconds("read-timeout-ms", settings.http.read_timeout, 1,
                        10 * kMinuteMs,
                        "Time for a request to arrive after its first byte.");
  table.AddMilliseconds("write-timeout-ms", settings.http.write_timeout, 1,
                        10 * kMinuteMs,
                        "Time for the caller to receive a response.");
  table.AddMilliseconds("idle-timeout-ms", settings.http.idle_timeout, 1,
                        60 * kMinuteMs,
                        "Time for the next request on a connection.");
}

void AddBackendSettings(EntrySettings& settings, SettingsTable& table) {
  BackendPoolSettings& pools = settings.client.pools;
  table.AddNumber("warm-connections", settings.warm_connections, 0, 1'000,
                  "connections",
                  "Connections kept open to each backend server.");
  table.AddMilliseconds("connect-timeout-ms", pools.connect_timeout, 1,
                        kMinuteMs, "Time to connect to a backend server.");
  table.AddMilliseconds("probe-interval-ms", pools.pool.probe_interval, 100,
                        60 * kMinuteMs,
                        "An idle connection is probed after this time.");
  table.AddMilliseconds("probe-timeout-ms", pools.probe_timeout, 1, kMinuteMs,
                        "Time for the reply to a probe or a cancellation.");
  table.AddMilliseconds("abandon-timeout-ms", pools.pool.abandon_timeout, 1,
                        kMinuteMs,
                        "Time for the reply to a cancelled attempt.");
  table.AddMilliseconds("silence-timeout-ms",
                        settings.client.search_reply_timeout, 1, 10 * kMinuteMs,
                        "Time for the reply to an attempt; above the slowest "
                        "search that is still useful.");
  table.AddMilliseconds("action-linger-ms",
                        settings.client.late_action_reply_timeout, 0,
                        10 * kMinuteMs,
                        "Time after an action's deadline in which its outcome "
                        "is still recorded.");
  table.AddMilliseconds("list-interval-ms", settings.monitor.list_interval, 10,
                        kMinuteMs, "Time between reads of the VM list.");
  table.AddMilliseconds(
      "status-interval-ms", settings.monitor.status.idle_interval, 10,
      10 * kMinuteMs, "Time between status calls to an idle server.");
}

}  // namespace

SettingsTable MakeEntrySettingsTable(EntrySettings& settings) {
  SettingsTable table("marigold-entry",
                      "Answers callers' searches and runs paid actions.");
  AddTopologySettings(settings, table);
  AddProcessSettings(settings, table);
  AddCallerSettings(settings, table);
  AddBackendSettings(settings, table);
  return table;
}

std::vector<std::string> CheckEntrySettings(const EntrySettings& settings) {
  std::vector<std::string> errors;
  if (settings.entry_number >= settings.entry_vms) {
    errors.push_back(fmt::format(
        "setting --entry-number: value \"{}\": expected below --entry-vms={}",
        settings.entry_number, settings.entry_vms));
  }
  if (settings.controls.empty() && !settings.serves_without_lists) {
    errors.emplace_back(
        "setting --controls: expected IP:PORT[,IP:PORT...], or --open");
  }
  if (settings.grace_period >= settings.stop_timeout) {
    errors.push_back(fmt::format(
        "setting --grace-ms: value \"{}\": expected below --stop-bound-ms={}",
        ToMilliseconds(settings.grace_period),
        ToMilliseconds(settings.stop_timeout)));
  }
  if (settings.max_body_bytes > settings.max_total_body_bytes) {
    errors.push_back(
        fmt::format("setting --body-bytes: value \"{}\": expected at most "
                    "--all-body-bytes={}",
                    settings.max_body_bytes, settings.max_total_body_bytes));
  }
  return errors;
}

HttpServerLimits ToHttpLimits(const EntrySettings& settings) {
  HttpServerLimits limits = settings.http;
  limits.connections =
      static_cast<std::size_t>(settings.max_caller_connections);
  limits.header_bytes = static_cast<std::size_t>(settings.max_header_bytes);
  limits.body_bytes = static_cast<std::size_t>(settings.max_body_bytes);
  limits.total_body_bytes =
      static_cast<std::size_t>(settings.max_total_body_bytes);
  return limits;
}

BackendClientSettings ToClientSettings(const EntrySettings& settings) {
  BackendClientSettings client = settings.client;
  client.entry_vms = static_cast<std::uint32_t>(settings.entry_vms);
  client.pools.pool.warm_connections =
      static_cast<std::uint32_t>(settings.warm_connections);
  return client;
}

FleetMonitorSettings ToMonitorSettings(const EntrySettings& settings) {
  FleetMonitorSettings monitor = settings.monitor;
  monitor.platform = settings.platform;
  return monitor;
}

FleetSettings ToFleetSettings(const EntrySettings& settings) {
  FleetSettings fleet;
  fleet.data_centre = DataCentreId(settings.data_centre);
  return fleet;
}

AdmissionSettings ToAdmissionSettings(const EntrySettings& settings) {
  AdmissionSettings admission;
  admission.max_capacity = static_cast<std::uint32_t>(settings.max_capacity);
  admission.max_queue_length =
      static_cast<std::uint32_t>(settings.max_queue_length);
  return admission;
}

CallerSettings ToCallerSettings(const EntrySettings& settings) {
  CallerSettings caller;
  caller.actions = settings.actions;
  caller.actions.vm = VmId(settings.vm);
  for (const std::string& service : Split(settings.tail_services, ',')) {
    caller.tail_services.insert(ServiceId(service));
  }
  caller.access_log_every =
      static_cast<std::uint64_t>(settings.access_log_every);
  return caller;
}

ControlClientSettings ToControlSettings(const EntrySettings& settings) {
  ControlClientSettings control;
  control.vm = VmId(settings.vm);
  control.data_centre = DataCentreId(settings.data_centre);
  control.controls = settings.controls;
  control.peers = settings.peers;
  control.listen = settings.peer_listen;
  return control;
}

LimitPart ToLimitPart(const EntrySettings& settings) {
  return {static_cast<std::uint32_t>(settings.entry_vms),
          static_cast<std::uint32_t>(settings.entry_number)};
}

LogLevel ToLogLevel(const EntrySettings& settings) {
  return ParseLogLevel(settings.log_level).value_or(LogLevel::kInfo);
}

}  // namespace marigold
