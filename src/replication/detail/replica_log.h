#ifndef SRC_REPLICATION_DETAIL_REPLICA_LOG_H_
#define SRC_REPLICATION_DETAIL_REPLICA_LOG_H_

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/core/result.h"
#include "src/replication/types.h"

namespace marigold::detail {

// The changes of the log in memory that the disk lacks, to be written in this
// order. If both `truncate_from` and `install` are set, a sync is needed
// between the two. Otherwise, a crash could leave a snapshot in front of
// entries that contradict it, which would make the log look more up to date
// than it is.
struct LogWrites {
  std::optional<LogIndex> truncate_from;
  std::shared_ptr<const StateSnapshot> install;
  std::vector<LogEntry> append;
};

// A membership and the position of the entry that put it in force.
struct LoggedMembership {
  LogPosition position;
  Membership membership;
};

// The log in memory: the latest snapshot, the entries after it and the
// memberships in them. It also tracks which part of this is saved on disk.
class ReplicaLog {
 public:
  // `initial_membership` is in force before the first entry. Fails with
  // `ParseError` if a membership entry cannot be decoded or the entries are not
  // consecutive.
  static Result<ReplicaLog> Load(Membership initial_membership,
                                 std::optional<StateSnapshot> snapshot,
                                 std::vector<LogEntry> entries);

  // Commands.

  // The index of `entry` must follow the last one.
  void Append(LogEntry entry);
  // Removes the entries from `index` on. `index` must be after the snapshot.
  void TruncateFrom(LogIndex index);
  // Replaces the log up to the snapshot, and the whole log if it contradicts
  // the snapshot.
  void Install(std::shared_ptr<const StateSnapshot> snapshot);
  // Removes the entries up to the snapshot's index, which the storage has
  // already removed.
  void Compact(std::shared_ptr<const StateSnapshot> snapshot);
  // To be called once the disk has all that `Writes` returned.
  void MarkSaved();

  // Queries.

  LogIndex snapshot_index() const { return this->snapshot_position.index; }
  LogIndex last_index() const { return this->last_position().index; }
  LogPosition last_position() const;
  // The time of the last entry. No later entry may have an earlier time.
  WallTime last_proposed_at() const;
  // The last index that is saved on disk.
  LogIndex saved_index() const { return this->last_saved; }
  // Returns nothing for an index before the snapshot or after the last entry.
  std::optional<Term> TermAt(LogIndex index) const;
  // `index` must be after the snapshot and not after the last entry.
  const LogEntry& At(LogIndex index) const;
  // Returns the entries from `from` on, up to either limit but at least one if
  // there is one. `from` must be after the snapshot.
  std::vector<LogEntry> Slice(LogIndex from,
                              std::size_t max_entries,
                              std::size_t max_bytes) const;
  // Returns the last position whose index and term both do not exceed those of
  // `bound`, or the snapshot's position if there is none.
  LogPosition LastNotAbove(LogPosition bound) const;
  const LoggedMembership& membership() const {
    return this->memberships.back();
  }
  // Returns the membership before the latest one, or null if it is compacted.
  const Membership* previous_membership() const;
  // True if any membership from the snapshot on contains the disk.
  bool AnyMembershipContains(const DiskId& disk) const;
  // Returns a snapshot with `data`, the state machine's state after `index`.
  StateSnapshot MakeSnapshot(LogIndex index, std::string data) const;
  // The latest snapshot, or null if there is none.
  const std::shared_ptr<const StateSnapshot>& snapshot() const {
    return this->latest_snapshot;
  }
  bool install_pending() const { return this->is_install_pending; }
  bool has_writes() const;
  LogWrites Writes() const;

 private:
  explicit ReplicaLog(Membership initial_membership)
      : memberships{{{}, std::move(initial_membership)}} {}

  Result<void> AppendLoaded(LogEntry entry);
  // Returns the membership in force after the entry at `index`.
  const Membership& MembershipAfter(LogIndex index) const;
  std::size_t Offset(LogIndex index) const;

  LogPosition snapshot_position;
  WallTime snapshot_proposed_at;
  std::deque<LogEntry> entries;
  // In log order. The first one is in force at the snapshot.
  std::vector<LoggedMembership> memberships;
  std::shared_ptr<const StateSnapshot> latest_snapshot;

  LogIndex last_saved;
  std::optional<LogIndex> pending_truncate_from;
  bool is_install_pending = false;
};

}  // namespace marigold::detail

#endif  // SRC_REPLICATION_DETAIL_REPLICA_LOG_H_
