#include "src/queries/collect_state.h"

namespace marigold {

EntryState CollectTableState(MonotonicTime now,
                             const Lifecycle& lifecycle,
                             const ListTable& lists,
                             const ServerTable& servers,
                             const RequestNoteTable& notes) {
  EntryState state;
  state.phase = ToString(lifecycle.phase());
  state.requests_in_flight = lifecycle.requests_in_flight();
  state.open_actions = lifecycle.open_actions();
  state.lists_index = lists.index();
  if (state.lists_index > LogIndex()) {
    state.lists_age = now - lists.changed_at();
  }
  state.servers = servers.Summaries(now);
  state.notes = notes.Copy(now);
  return state;
}

}  // namespace marigold
