#ifndef TOOLS_STANDIN_ADMIN_COMMANDS_H_
#define TOOLS_STANDIN_ADMIN_COMMANDS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "src/core/result.h"
#include "tools/standin/load_history.h"
#include "tools/standin/reply_fault.h"
#include "tools/standin/standin_system.h"

namespace marigold {

enum class AdminChange {
  // The server refuses new work as draining, or takes it again.
  kDrain,
  kUndrain,
  // The platform's list shows the server as leaving, or as live again.
  kLeave,
  kStay,
  // The server dies, or returns; the platform's list follows after its lag.
  kKill,
  kReturn,
  // The open connections answer nothing any more; new ones work.
  kSilence,
  // All connections answer nothing any more; after a thaw new ones work.
  kFreeze,
  kThaw,
  // The open connections are closed with a TCP reset.
  kReset,
  // `ms` are added to every service time.
  kDelay,
  // `ms` is the median service time.
  kServiceTime,
  // `ms` is the time that an action takes.
  kActionTime,
  // `share` of the requests is slowed by `factor`.
  kStragglers,
  // `share` of the requests is refused as shedding.
  kShed,
  // `share` of the replies has the fault `kind`.
  kFault,
  // Load reports have `mode` and lag by `ms`.
  kReport,
  // The next snapshot of `service`, cut into `shards` for a repartition.
  kAdvanceSnapshot,
  kRepartition,
  // The platform's list lags by `ms`.
  kListLag,
};

// Stable text for JSON and logs, such as "advance_snapshot".
std::string_view ToString(AdminChange change);

// One change and what it applies to: all servers that match every target given.
struct AdminCommand {
  AdminChange change = AdminChange::kDrain;
  std::string server;
  std::string service;
  std::string data_centre;
  Duration duration{};
  double share = 0;
  double factor = 1;
  std::uint64_t shards = 0;
  ReplyFault fault = ReplyFault::kNone;
  ReportMode mode = ReportMode::kTrue;
};

// Decodes the body of `POST /v1/admin`. Fails with `ParseError`.
Result<AdminCommand> DecodeAdminCommand(std::string_view body);

// Carries out a command and gives the number of servers or services that it
// changed. Fails with `IoError` if a returning server can't listen.
Result<std::size_t> RunAdminCommand(const AdminCommand& command,
                                    StandinSystem& system);

// Notes that someone has read the platform's list: for servers that it shows as
// leaving, this is a sign that they leave.
void OnListRead(const PlatformVmList& list, StandinSystem& system);

}  // namespace marigold

#endif  // TOOLS_STANDIN_ADMIN_COMMANDS_H_
