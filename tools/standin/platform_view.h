#ifndef TOOLS_STANDIN_PLATFORM_VIEW_H_
#define TOOLS_STANDIN_PLATFORM_VIEW_H_

#include <map>
#include <vector>

#include "src/core/ids.h"
#include "src/core/units.h"
#include "src/policy/backend_messages.h"

namespace marigold {

enum class Presence { kLive, kLeaving, kGone };

// The platform's VM list, which shows every change only after a lag.
class PlatformView {
 public:
  // Commands.

  // Adds a server that is live from the beginning.
  void Add(const ServerRecord& record);

  // Notes a change; unknown servers are ignored. `now` never falls.
  void SetPresence(MonotonicTime now,
                   const BackendServerId& server,
                   Presence presence);

  void SetLag(Duration new_lag) { this->lag = new_lag; }

  // Queries.

  // The list as the platform shows it now. Its version is the number of
  // changes that it shows, plus one.
  PlatformVmList ListAt(MonotonicTime now) const;

 private:
  struct Change {
    MonotonicTime at;
    Presence presence = Presence::kLive;
  };

  struct ServerRow {
    ServerRecord record;
    std::vector<Change> changes;
  };

  std::map<BackendServerId, ServerRow> rows;
  Duration lag{};
};

}  // namespace marigold

#endif  // TOOLS_STANDIN_PLATFORM_VIEW_H_
