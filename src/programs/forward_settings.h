#ifndef SRC_PROGRAMS_FORWARD_SETTINGS_H_
#define SRC_PROGRAMS_FORWARD_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "src/core/settings.h"
#include "src/core/settings_values.h"
#include "src/core/units.h"

namespace marigold {

// Settings of an entry process that forwards requests according to a route
// table.
struct ForwardSettings {
  std::string vm;
  std::string data_centre;
  Endpoint listen{"127.0.0.1", 8080};
  Endpoint admin{"127.0.0.1", 8081};
  // The address for queries of other entry VMs. Port 0 turns them off.
  Endpoint aggregator{};
  // The address on which this VM serves its lists to other entry VMs. Port 0
  // turns this off.
  Endpoint lists{};
  // "automatic", "direct" or "groups"; see `FanOutMode`.
  std::string fan_out = "automatic";
  // The fraction of a core that this VM may use.
  double cpu_share = 1;
  // The path of the readiness check on the address `admin`.
  std::string ready_path = "/ready";
  std::vector<Endpoint> controls;
  // The file with other addresses for `controls`, whose ports are replaced by
  // `control_port`. Empty if there is none.
  std::string seeds_file;
  std::uint16_t control_port = 0;
  Endpoint server_list{"127.0.0.1", 7300};
  std::int64_t workers = 1;
  std::int64_t max_connections = 2'000;
  // The maximum number of requests in progress if the configuration has
  // customers.
  std::int64_t max_requests = 256;
  // The maximum time that a request waits for capacity, in milliseconds.
  double admission_wait_ms = 100;
  // The descriptors that the process may open.
  std::int64_t max_open_files = 4'300;
  std::int64_t max_reply_bytes = 4 * 1024 * 1024;
  // The limit of all incomplete replies together, in bytes.
  std::int64_t reply_memory_bytes = 32 * 1024 * 1024;
  // The memory of the VM, in MiB.
  std::int64_t memory_mib = 256;
  double retry_ratio = 0.2;
  double retry_minimum = 100;
  double retry_window_s = 10;
  // The time in seconds from the first signal until the platform kills the
  // process.
  double stop_timeout_s = 6;
  std::string log_level = "info";
};

// Adds the settings that are common to all front ends. `settings` must outlive
// `table`.
void AddForwardSettings(ForwardSettings& settings, SettingsTable& table);

}  // namespace marigold

#endif  // SRC_PROGRAMS_FORWARD_SETTINGS_H_
