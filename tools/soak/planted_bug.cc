#include "tools/soak/planted_bug.h"

namespace marigold {

const std::vector<PlantedBugRow>& PlantedBugRows() {
  static const std::vector<PlantedBugRow> rows = {
      {PlantedBug::kSyncLies, "sync-lies", "power-loss"},
      {PlantedBug::kConflictAlwaysDidNotRun, "conflict-always-did-not-run",
       "resend"},
      {PlantedBug::kDoubtReportedAsDidNotRun, "doubt-reported-as-did-not-run",
       "resend"},
      {PlantedBug::kOlderListsApplied, "older-lists-applied", "reorder"},
      {PlantedBug::kReleasedAfterSend, "released-after-send", "actions"},
      {PlantedBug::kSentBeforeClaim, "sent-before-claim", "actions"},
      {PlantedBug::kSnapshotsMixed, "snapshots-mixed", "searches"},
      {PlantedBug::kMissingReportedCovered, "missing-reported-covered",
       "searches"},
      {PlantedBug::kForeignReplyTaken, "foreign-reply-taken", "searches"},
      {PlantedBug::kLeavingGetsWork, "leaving-gets-work", "searches"},
  };
  return rows;
}

std::optional<PlantedBugRow> FindPlantedBug(std::string_view name) {
  for (const PlantedBugRow& row : PlantedBugRows()) {
    if (row.name == name) {
      return row;
    }
  }
  return std::nullopt;
}

}  // namespace marigold
