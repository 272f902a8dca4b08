#ifndef TOOLS_SOAK_INVARIANT_CHECKER_H_
#define TOOLS_SOAK_INVARIANT_CHECKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "src/commands/control_commands.h"
#include "src/core/invariant.h"
#include "src/core/units.h"
#include "src/replication/types.h"

namespace marigold {

// Observes all events of a run and checks them against the invariants of the
// system. It sees the state of all VMs, which no single VM does.
class InvariantChecker {
 public:
  // Commands.

  // Called when a control VM has applied a committed entry.
  void OnApplied(const VmId& vm,
                 const LogEntry& entry,
                 const std::optional<ControlOutcome>& outcome);

  // Called when an operator has been told that an edit was accepted as
  // `version`.
  void OnEditAccepted(MonotonicTime now,
                      const ChangeId& change,
                      ListVersion version);

  // Called when an operator has been told that an edit was certainly not
  // applied.
  void OnEditRefused(const ChangeId& change);

  // Called when an entry VM has put new lists in force. `restarted` allows a
  // lower index than the previous process had.
  void OnListsInForce(const VmId& vm, LogIndex index, bool restarted);

  // Called when a backend server has run an action for a caller's request.
  void OnActionRan(const IdempotencyKey& key, const RequestId& request);

  // Called when a caller has been told that its request did not run.
  void OnActionRefused(const IdempotencyKey& key, const RequestId& request);

  // Called when a caller has been given the recorded result of an action.
  void OnActionResult(const IdempotencyKey& key, const std::string& result);

  void ReportInvariant(Invariant invariant, std::string detail);
  void ReportViolation(std::string text);

  // Queries.

  const std::vector<std::string>& violations() const {
    return this->violation_texts;
  }
  std::uint64_t accepted_edits() const {
    return this->accepted_versions.size();
  }
  std::uint64_t actions_run() const { return this->action_runs.size(); }
  // The highest log index of an accepted edit that a VM has applied.
  LogIndex last_accepted_index() const { return this->highest_accepted_index; }

 private:
  void CheckEdit(const LogEntry& entry,
                 const PutRows& edit,
                 const PutRowsOutcome& outcome);

  std::map<LogIndex, LogEntry> committed_entries;
  std::map<ChangeId, LogIndex> applied_edits;
  std::map<ChangeId, ListVersion> applied_versions;
  std::map<ChangeId, ListVersion> accepted_versions;
  std::set<ChangeId> refused_changes;
  std::map<std::pair<ListKind, ListVersion>, ChangeId> change_by_version;
  std::map<VmId, LogIndex> in_force_index;
  std::map<IdempotencyKey, RequestId> action_runs;
  std::map<IdempotencyKey, std::string> action_results;
  std::set<RequestId> refused_requests;
  LogIndex highest_accepted_index;
  std::vector<std::string> violation_texts;
};

}  // namespace marigold

#endif  // TOOLS_SOAK_INVARIANT_CHECKER_H_
