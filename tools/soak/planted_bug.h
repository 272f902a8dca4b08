#ifndef TOOLS_SOAK_PLANTED_BUG_H_
#define TOOLS_SOAK_PLANTED_BUG_H_

#include <optional>
#include <string_view>
#include <vector>

namespace marigold {

// A bug that is planted on purpose to verify that the soak detects it.
enum class PlantedBug {
  kNone,
  // The disk reports a sync as successful without performing it.
  kSyncLies,
  // Every version conflict is reported as did-not-run, even if the control
  // group may have forgotten the change id of an edit that it has applied.
  kConflictAlwaysDidNotRun,
  // A command whose outcome is unknown is reported as did-not-run.
  kDoubtReportedAsDidNotRun,
  // An entry VM applies all lists that arrive, including older ones.
  kOlderListsApplied,
  // A connection that is lost after the request was sent is reported as lost
  // before the send, so that the claim is released.
  kReleasedAfterSend,
  // A claim is treated as granted before the ledger has answered.
  kSentBeforeClaim,
  // Servers answer from another snapshot than the requested one, so that an
  // answer merges several snapshots.
  kSnapshotsMixed,
  // Manifests omit the shards that the reporting server does not hold, so that
  // answers do not list them as missing.
  kMissingReportedCovered,
  // A late reply is used as the reply to the next attempt at the same server.
  kForeignReplyTaken,
  // The leaving mark of a server in the platform's list is ignored.
  kLeavingGetsWork,
};

struct PlantedBugRow {
  PlantedBug planted_bug = PlantedBug::kNone;
  std::string_view name;
  // The scenario that must detect the bug.
  std::string_view scenario;
};

// Returns all planted bugs except `kNone`.
const std::vector<PlantedBugRow>& PlantedBugRows();

std::optional<PlantedBugRow> FindPlantedBug(std::string_view name);

}  // namespace marigold

#endif  // TOOLS_SOAK_PLANTED_BUG_H_
