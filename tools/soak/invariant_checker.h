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

// Sees everything that happens in a run and compares it with what must always
// hold. It knows more than any VM does.
class InvariantChecker {
 public:
  // Commands.

  // A control VM applied a committed entry.
  void OnApplied(const VmId& vm,
                 const LogEntry& entry,
                 const std::optional<ControlOutcome>& outcome);

  // An operator was told that an edit was accepted, with its version.
  void OnEditAccepted(MonotonicTime now,
                      const ChangeId& change,
                      ListVersion version);

  // An operator was told that an edit surely was not applied.
  void OnEditRefused(const ChangeId& change);

  // An entry VM has new lists in force. `restarted` allows a lower index than
  // the process before it had.
  void OnListsInForce(const VmId& vm, LogIndex index, bool restarted);

  // A backend server ran an action for a caller's request.
  void OnActionRan(const IdempotencyKey& key, const RequestId& request);

  // A caller was told that its request did not run.
  void OnActionRefused(const IdempotencyKey& key, const RequestId& request);

  // A caller was told the recorded result of an action.
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
  // The highest index of an accepted edit that a VM has applied.
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
