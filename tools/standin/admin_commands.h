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

// The changes of `POST /v1/admin`. Names such as `ms` are fields of its body.
enum class AdminChange {
  // The server refuses new work with the reason "draining", or accepts it
  // again.
  kDrain,
  kUndrain,
  // The platform's VM list shows the server as leaving, or as live again.
  kLeave,
  kStay,
  // The server stops without notice, or starts again. The platform's VM list
  // shows it after its lag.
  kKill,
  kReturn,
  // The server sends nothing more on its open connections and keeps them open.
  // New connections work.
  kSilence,
  // The server sends nothing more on its open connections, nor on those that it
  // accepts until a thaw. Connections accepted after the thaw work.
  kFreeze,
  kThaw,
  // The server closes its open connections with a TCP reset.
  kReset,
  // `ms` is added to every service time.
  kDelay,
  // `ms` is the median service time.
  kServiceTime,
  // `ms` is the time that an action takes.
  kActionTime,
  // The fraction `share` of the searches takes `factor` times as long.
  kStragglers,
  // The fraction `share` of the requests is refused with the reason "shedding".
  kShed,
  // The fraction `share` of the replies has the fault `kind`.
  kFault,
  // Load reports follow `mode` and show the load of `ms` ago.
  kReport,
  // The next snapshot of `service` is published. A repartition divides it into
  // `shards` shards, otherwise the number of shards stays.
  kAdvanceSnapshot,
  kRepartition,
  // The platform's VM list shows each change after `ms`.
  kListLag,
};

// Returns the stable name for JSON and logs, such as "advance_snapshot".
std::string_view ToString(AdminChange change);

// One change and its targets. It applies to all servers that match `server`,
// `service` and `data_centre`. An empty one matches every server.
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

// Decodes the body of `POST /v1/admin`. Fails with `ParseError` if the change
// is unknown or a field is missing, unknown or out of range.
Result<AdminCommand> DecodeAdminCommand(std::string_view body);

// Runs a command. Returns the number of servers or services that it applied to.
// Fails with `IoError` if a returning server can't listen.
Result<std::size_t> RunAdminCommand(const AdminCommand& command,
                                    StandinSystem& system);

// Call when a client has read `list` from the platform. From then on the client
// knows which servers are leaving, so their leaving grace period starts.
void OnListRead(const PlatformVmList& list, StandinSystem& system);

}  // namespace marigold

#endif  // TOOLS_STANDIN_ADMIN_COMMANDS_H_
