#ifndef TOOLS_SOAK_PLANTED_BUG_H_
#define TOOLS_SOAK_PLANTED_BUG_H_

#include <optional>
#include <string_view>
#include <vector>

namespace marigold {

// A deliberate fault that a run has to catch.
enum class PlantedBug {
  kNone,
  // The disk reports a sync that it has not done.
  kSyncLies,
  // Every conflict is taken for did-not-run, also where the edit's own change
  // id may have been forgotten.
  kConflictAlwaysDidNotRun,
  // A command whose fate is unknown is reported as did-not-run.
  kDoubtReportedAsDidNotRun,
  // An entry VM applies whatever lists arrive, also older ones.
  kOlderListsApplied,
  // A connection that is lost after a send is taken for one before it.
  kReleasedAfterSend,
  // A claim counts as granted before the ledger has answered.
  kSentBeforeClaim,
  // Replies of any snapshot are merged.
  kSnapshotsMixed,
  // Shards that no server carries are left out of the manifest.
  kMissingReportedCovered,
  // A late reply is taken for the next attempt at its server.
  kForeignReplyTaken,
  // The platform's word that a server is leaving is ignored.
  kLeavingGetsWork,
};

struct PlantedBugRow {
  PlantedBug planted_bug = PlantedBug::kNone;
  std::string_view name;
  // The scenario whose runs have to catch it.
  std::string_view scenario;
};

// All plants but `kNone`.
const std::vector<PlantedBugRow>& PlantedBugRows();

std::optional<PlantedBugRow> FindPlantedBug(std::string_view name);

}  // namespace marigold

#endif  // TOOLS_SOAK_PLANTED_BUG_H_
