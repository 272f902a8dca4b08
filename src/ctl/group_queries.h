#ifndef SRC_CTL_GROUP_QUERIES_H_
#define SRC_CTL_GROUP_QUERIES_H_

#include <cstdint>

#include "src/ctl/control_group.h"
#include "src/ctl/exit_code.h"

namespace marigold::ctl {

// Prints the latest edits, newest first, and at most `limit` of them. `as_json`
// prints a JSON array instead of a table.
ExitCode PrintHistory(ControlGroup& group, std::uint64_t limit, bool as_json);

// Prints the state of every control VM, the members of the group, and for each
// entry VM the index of its lists, the time since its last message and whether
// it lags. Returns `kUnreachable` unless a control VM is the leader and in
// contact with a quorum.
ExitCode PrintStatus(ControlGroup& group, bool as_json);

// Prints the status, the lists and the latest edits as one JSON object. If no
// control VM replies with the edits, the object does not contain them.
ExitCode PrintDump(ControlGroup& group);

}  // namespace marigold::ctl

#endif  // SRC_CTL_GROUP_QUERIES_H_
