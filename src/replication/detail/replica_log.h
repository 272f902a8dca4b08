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

// What the disk lacks of the log in memory, to be written in this order. With
// both `truncate_from` and `is_install_pending` a sync has to lie between the
// two: a snapshot in front of entries that contradict it would make the log
// look more up to date than it is.
struct LogWrites {
  std::optional<LogIndex> truncate_from;
  std::shared_ptr<const StateSnapshot> install;
  std::vector<LogEntry> append;
};

// A membership and the entry that put it in force.
struct LoggedMembership {
  LogPosition position;
  Membership membership;
};

// The log in memory: the snapshot, the entries after it, the memberships in
// them, and how much of this the disk has.
class ReplicaLog {
 public:
  // `initial_membership` is the membership before the first entry. Fails with
  // `ParseError` if a membership entry can't be decoded or the entries don't
  // follow on.
  static Result<ReplicaLog> Load(Membership initial_membership,
                                 std::optional<StateSnapshot> snapshot,
                                 std::vector<LogEntry> entries);

  // Commands.

  // The entry's index is the one after the last.
  void Append(LogEntry entry);
  // Drops the entries from `index` on, which is after the snapshot.
  void TruncateFrom(LogIndex index);
  // Replaces the log up to the image, and all of it if it contradicts the
  // image.
  void Install(std::shared_ptr<const StateSnapshot> snapshot);
  // Drops the entries up to the image's index, which the disk has dropped.
  void Compact(std::shared_ptr<const StateSnapshot> snapshot);
  // The disk has all that `Writes` returned.
  void MarkSaved();

  // Queries.

  LogIndex snapshot_index() const { return this->snapshot_position.index; }
  LogIndex last_index() const { return this->last_position().index; }
  LogPosition last_position() const;
  // No later entry may have an earlier time.
  WallTime last_proposed_at() const;
  // The last index that the disk has.
  LogIndex saved_index() const { return this->saved; }
  // Nothing for an index that is compacted or after the last.
  std::optional<Term> TermAt(LogIndex index) const;
  // `index` is after the snapshot and not after the last.
  const LogEntry& At(LogIndex index) const;
  // Entries from `from` on, which is after the snapshot; at least one if there
  // is one, until either limit.
  std::vector<LogEntry> Slice(LogIndex from,
                              std::size_t max_entries,
                              std::size_t max_bytes) const;
  // The last position whose index and term are both not above those of `bound`,
  // or the snapshot's if there is none.
  LogPosition LastNotAbove(LogPosition bound) const;
  const LoggedMembership& membership() const {
    return this->memberships.back();
  }
  // The membership before the latest, or null if it is compacted.
  const Membership* previous_membership() const;
  // True if any membership from the snapshot on has the disk.
  bool AnyMembershipContains(const DiskId& disk) const;
  // The state machine's state after `index` as an image.
  StateSnapshot MakeSnapshot(LogIndex index, std::string data) const;
  // The image on the disk, or null.
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
  // The membership in force once the entry at `index` is appended.
  const Membership& MembershipAfter(LogIndex index) const;
  std::size_t Offset(LogIndex index) const;

  LogPosition snapshot_position;
  WallTime snapshot_proposed_at;
  std::deque<LogEntry> entries;
  // In log order; the first is the one at the snapshot.
  std::vector<LoggedMembership> memberships;
  std::shared_ptr<const StateSnapshot> latest_snapshot;

  LogIndex saved;
  std::optional<LogIndex> pending_truncate_from;
  bool is_install_pending = false;
};

}  // namespace marigold::detail

#endif  // SRC_REPLICATION_DETAIL_REPLICA_LOG_H_
