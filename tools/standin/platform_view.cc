#include "tools/standin/platform_view.h"

#include <utility>

namespace marigold {

void PlatformView::Add(const ServerRecord& record) {
  this->rows[record.server].record = record;
}

void PlatformView::SetPresence(MonotonicTime now,
                               const BackendServerId& server,
                               Presence presence) {
  const auto row = this->rows.find(server);
  if (row != this->rows.end()) {
    row->second.changes.push_back({now, presence});
  }
}

PlatformVmList PlatformView::ListAt(MonotonicTime now) const {
  PlatformVmList list;
  list.version = 1;
  for (const auto& [server, row] : this->rows) {
    Presence presence = Presence::kLive;
    for (const Change& change : row.changes) {
      if (change.at <= now - this->lag) {
        presence = change.presence;
        ++list.version;
      }
    }
    if (presence != Presence::kGone) {
      ServerRecord record = row.record;
      record.is_leaving = presence == Presence::kLeaving;
      list.servers.push_back(std::move(record));
    }
  }
  return list;
}

}  // namespace marigold
