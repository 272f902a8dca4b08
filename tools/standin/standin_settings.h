#ifndef TOOLS_STANDIN_STANDIN_SETTINGS_H_
#define TOOLS_STANDIN_STANDIN_SETTINGS_H_

#include <cstdint>
#include <string>

#include "src/core/result.h"
#include "src/core/settings.h"
#include "tools/standin/churn.h"
#include "tools/standin/standin_system.h"

namespace marigold {

// The flags of `marigold-standin`, before they are checked against each other.
struct StandinSettings {
  Endpoint platform{"127.0.0.1", 9000};
  std::string address_prefix = "127.1";
  std::int64_t port = 7000;
  std::string deployment = "small";
  std::string services;
  std::int64_t workers = 4;
  std::int64_t seed = 1;
  std::int64_t service_time_us = 2000;
  double straggler_share = 0;
  double misleading_share = 1;
  double shed_share = 0;
  std::int64_t queue_limit = 32;
  std::string report_mode = "true";
  SearcherBehaviour behaviour;
  ChurnSettings churn;
  Duration snapshot_stagger = std::chrono::milliseconds(100);
  Duration list_lag{};
  std::string action_record;
};

// The table writes into `settings`, which has to outlive it.
SettingsTable MakeStandinTable(StandinSettings& settings);

// Converts the flags to the settings of the system. Fails with `ParseError` if
// a service is not part of the deployment.
Result<StandinSystemSettings> ToSystemSettings(const StandinSettings& settings);

}  // namespace marigold

#endif  // TOOLS_STANDIN_STANDIN_SETTINGS_H_
