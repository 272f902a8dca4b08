#ifndef SRC_QUERIES_COLLECT_STATE_H_
#define SRC_QUERIES_COLLECT_STATE_H_

#include "src/policy/entry_state.h"
#include "src/tables/lifecycle.h"
#include "src/tables/list_table.h"
#include "src/tables/request_note_table.h"
#include "src/tables/server_table.h"

namespace marigold {

// Collects the part of an entry process's state that its tables hold.
EntryState CollectTableState(MonotonicTime now,
                             const Lifecycle& lifecycle,
                             const ListTable& lists,
                             const ServerTable& servers,
                             const RequestNoteTable& notes);

}  // namespace marigold

#endif  // SRC_QUERIES_COLLECT_STATE_H_
