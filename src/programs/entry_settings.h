#ifndef SRC_PROGRAMS_ENTRY_SETTINGS_H_
#define SRC_PROGRAMS_ENTRY_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "src/core/log.h"
#include "src/core/settings.h"
#include "src/net/callers/entry_components.h"
#include "src/net/control/control_client.h"
#include "src/net/http/http_server.h"
#include "src/net/listing/fleet_monitor.h"
#include "src/queries/find_limits.h"

namespace marigold {

// The settings of marigold-entry, with the types in which the flags give them.
struct EntrySettings {
  Endpoint listen{"127.0.0.1", 8080};
  Endpoint platform{"127.0.0.1", 9000};
  std::vector<Endpoint> controls;
  std::vector<Endpoint> peers;
  Endpoint peer_listen{};
  bool serves_without_lists = false;
  std::string vm = "entry";
  std::string data_centre;
  std::int64_t entry_vms = 1;
  std::int64_t entry_number = 0;
  std::int64_t workers = 4;
  std::string tail_services;
  std::string log_level = "info";
  std::int64_t access_log_every = 1;

  std::int64_t max_capacity = 1024;
  std::int64_t max_queue_length = 1024;
  std::int64_t warm_connections = 2;
  std::int64_t max_caller_connections = 4096;
  std::int64_t max_header_bytes = 8 * 1024;
  std::int64_t max_body_bytes = 256 * 1024;
  std::int64_t max_total_body_bytes = 64 * 1024 * 1024;

  HttpServerLimits http;
  BackendClientSettings client;
  FleetMonitorSettings monitor;
  RunActionSettings actions;
  // The time from the first signal until new requests are refused.
  Duration grace_period = std::chrono::seconds(3);
  // The maximum time from the first signal until the process exits.
  Duration stop_timeout = std::chrono::seconds(30);
};

// Returns the table of flags that write to `settings`, which must outlive it.
SettingsTable MakeEntrySettingsTable(EntrySettings& settings);

// Returns an error for each invalid combination of settings.
std::vector<std::string> CheckEntrySettings(const EntrySettings& settings);

// Convert the settings to those of the components.
HttpServerLimits ToHttpLimits(const EntrySettings& settings);
BackendClientSettings ToClientSettings(const EntrySettings& settings);
FleetMonitorSettings ToMonitorSettings(const EntrySettings& settings);
FleetSettings ToFleetSettings(const EntrySettings& settings);
AdmissionSettings ToAdmissionSettings(const EntrySettings& settings);
CallerSettings ToCallerSettings(const EntrySettings& settings);
ControlClientSettings ToControlSettings(const EntrySettings& settings);
LimitPart ToLimitPart(const EntrySettings& settings);
LogLevel ToLogLevel(const EntrySettings& settings);

}  // namespace marigold

#endif  // SRC_PROGRAMS_ENTRY_SETTINGS_H_
