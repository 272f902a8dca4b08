#ifndef TOOLS_STANDIN_PLATFORM_VIEW_H_
#define TOOLS_STANDIN_PLATFORM_VIEW_H_

#include <map>
#include <vector>

#include "src/core/ids.h"
#include "src/core/units.h"
#include "src/policy/backend_messages.h"

namespace marigold {

// The state of a server in the platform's VM list. A server that is gone is not
// listed.
enum class Presence { kLive, kLeaving, kGone };

// The platform's VM list, which shows each change after a configurable lag.
// Takes no lock: the caller synchronises access.
class PlatformView {
 public:
  // Commands.

  // Adds a server that is live from the start.
  void Add(const ServerRecord& record);

  // Records a change. Ignores unknown servers. `now` must not decrease from
  // call to call.
  void SetPresence(MonotonicTime now,
                   const BackendServerId& server,
                   Presence presence);

  void SetLag(Duration new_lag) { this->lag = new_lag; }

  // Queries.

  // Returns the list as the platform shows it at `now`. Its version is the
  // number of changes that it includes, plus one.
  PlatformVmList ListAt(MonotonicTime now) const;

 private:
  struct Change {
    // When the change happened, without the lag.
    MonotonicTime at;
    Presence presence = Presence::kLive;
  };

  struct ServerRow {
    ServerRecord record;
    // Oldest first.
    std::vector<Change> changes;
  };

  std::map<BackendServerId, ServerRow> rows;
  Duration lag{};
};

}  // namespace marigold

#endif  // TOOLS_STANDIN_PLATFORM_VIEW_H_
