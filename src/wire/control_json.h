#ifndef SRC_WIRE_CONTROL_JSON_H_
#define SRC_WIRE_CONTROL_JSON_H_

#include <boost/json/fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "src/commands/control_commands.h"
#include "src/policy/quota/quota_coordinator.h"
#include "src/tables/control_state.h"
#include "src/tables/control_status.h"
#include "src/tables/list_edits.h"

namespace marigold {

// Formats a time in UTC to the second, such as "2026-01-31T12:00:00Z".
std::string ToUtcText(WallTime time);

// JSON objects for `GET /state` and for the option `--json` of marigoldctl.

boost::json::object ToJson(const Member& member);
boost::json::object ToJson(const ControlStatus& status);
boost::json::array ToJson(const std::vector<QuotaCustomerStatus>& limited);
boost::json::object ToJson(const ChangeRecord& record);
boost::json::object ToJson(const PlanRow& row);
boost::json::object ToJson(const UsageRow& row);
boost::json::object ToJson(const PutRowsOutcome& outcome);

}  // namespace marigold

#endif  // SRC_WIRE_CONTROL_JSON_H_
