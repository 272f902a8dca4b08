#ifndef SRC_NET_CALLERS_ENTRY_COMPONENTS_H_
#define SRC_NET_CALLERS_ENTRY_COMPONENTS_H_

#include <cstdint>
#include <functional>
#include <set>

#include "src/commands/admission_gate.h"
#include "src/commands/ledger_link.h"
#include "src/commands/run_action.h"
#include "src/core/clock.h"
#include "src/net/backends/backend_client.h"
#include "src/policy/admission.h"
#include "src/tables/entry_metrics.h"
#include "src/tables/lifecycle.h"
#include "src/tables/list_table.h"
#include "src/tables/note_table.h"
#include "src/tables/server_table.h"

namespace marigold {

using EntryGate = AdmissionGate<Admission, WorkerPool, SystemClock>;

struct CallerSettings {
  RunActionSettings actions;
  // Services that prefer a short tail over full coverage.
  std::set<ServiceId> tail_services;
  // Keys that the caller chose further in the future are refused.
  Duration max_key_issue_skew = std::chrono::minutes(5);
  // One in this many answered requests is logged; 0 for none. Requests that may
  // have run are always logged.
  std::uint64_t access_log_every = 1;
};

// What the handlers of callers' requests work with.
struct EntryComponents {
  BackendClient& client;
  ServerTable& servers;
  ListTable& lists;
  EntryGate& gate;
  Lifecycle& lifecycle;
  EntryMetrics& metrics;
  NoteTable& notes;
  LedgerLink& ledger;
  const SystemClock& clock;
  CallerSettings settings;
  // True once it is known which lists are in force.
  std::function<bool()> lists_known;
  // Open connections of callers.
  std::function<std::size_t()> caller_connections;
};

}  // namespace marigold

#endif  // SRC_NET_CALLERS_ENTRY_COMPONENTS_H_
