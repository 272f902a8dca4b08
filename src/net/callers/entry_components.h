#ifndef SRC_NET_CALLERS_ENTRY_COMPONENTS_H_
#define SRC_NET_CALLERS_ENTRY_COMPONENTS_H_

#include <cstdint>
#include <functional>
#include <set>

#include "src/commands/admission_gate.h"
#include "src/commands/ledger_client.h"
#include "src/commands/run_action.h"
#include "src/core/clock.h"
#include "src/net/backends/backend_client.h"
#include "src/policy/admission.h"
#include "src/tables/entry_metrics.h"
#include "src/tables/lifecycle.h"
#include "src/tables/list_table.h"
#include "src/tables/request_note_table.h"
#include "src/tables/server_table.h"

namespace marigold {

using EntryGate = AdmissionGate<Admission, WorkerPool, SystemClock>;

struct CallerSettings {
  RunActionSettings actions;
  // Services whose searches prefer low tail latency over full coverage.
  std::set<ServiceId> tail_services;
  // An action is refused if the issue time of its key is ahead of this VM's
  // clock by more than this.
  Duration max_key_issue_skew = std::chrono::minutes(5);
  // One in this many answered requests is logged; 0 logs none. Requests with
  // the verdict "may have run" are always logged.
  std::uint64_t access_log_every = 1;
};

// The components of an entry process that the handlers of callers' requests
// use.
struct EntryComponents {
  BackendClient& client;
  ServerTable& servers;
  ListTable& lists;
  EntryGate& gate;
  Lifecycle& lifecycle;
  EntryMetrics& metrics;
  RequestNoteTable& notes;
  LedgerClient& ledger;
  const SystemClock& clock;
  CallerSettings settings;
  // Returns true once the process knows which lists are in force.
  std::function<bool()> are_lists_known;
  // Returns the time since a control VM last confirmed that the lists are the
  // newest, or zero if the process follows none.
  std::function<Duration()> lists_confirmed_age;
  // Returns the number of open caller connections.
  std::function<std::size_t()> caller_connections;
};

}  // namespace marigold

#endif  // SRC_NET_CALLERS_ENTRY_COMPONENTS_H_
