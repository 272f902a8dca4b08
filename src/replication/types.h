#ifndef SRC_REPLICATION_TYPES_H_
#define SRC_REPLICATION_TYPES_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/core/ids.h"
#include "src/core/settings_values.h"
#include "src/core/units.h"

namespace marigold {

namespace detail {

// Reads or writes a wall time as microseconds.
template <class Archive>
void SerializeWallTime(Archive& archive, WallTime& time) {
  std::int64_t micros = time.time_since_epoch().count();
  archive(micros);
  time = WallTime(Duration(micros));
}

}  // namespace detail

// A voter counts towards quorums. A learner receives the log and does not
// count. A spare is a learner that may take a lost voter's place by itself.
enum class MemberRole : std::uint8_t { kVoter, kLearner, kSpare };

// Stable text for the command line and logs, such as "voter".
std::string_view ToString(MemberRole role);

// One control VM, identified by its disk and not by its address.
struct Member {
  DiskId disk;
  VmId vm;
  Endpoint address;
  MemberRole role = MemberRole::kLearner;
  // Where the VM runs; entry VMs follow a control VM nearby.
  DataCentreId data_centre{};

  bool operator==(const Member&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->disk, this->vm, this->address, this->role, this->data_centre);
  }
};

struct Membership {
  std::vector<Member> members;

  bool operator==(const Membership&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->members);
  }

  const Member* Find(const DiskId& disk) const;
  bool IsVoter(const DiskId& disk) const;
  std::size_t VoterCount() const;
  // Voters that make a majority.
  std::size_t QuorumSize() const;
};

// One step: at most one member is added, removed or gets another role.
struct MembershipChange {
  enum class Kind : std::uint8_t { kAdd, kRemove, kSetRole };

  Kind kind = Kind::kAdd;
  // For `kRemove` only the disk counts; for `kSetRole` the disk and the role.
  Member member;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->kind, this->member);
  }
};

// A place in a log. The later of two positions belongs to the log that is more
// up to date: the term decides, then the index.
struct LogPosition {
  Term term;
  LogIndex index;

  auto operator<=>(const LogPosition&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->term, this->index);
  }
};

enum class EntryKind : std::uint8_t { kNoop, kCommand, kMembership };

struct LogEntry {
  Term term;
  LogIndex index;
  EntryKind kind = EntryKind::kNoop;
  // The leader's wall clock, never below that of an earlier entry.
  WallTime proposed_at;
  // An encoded command, or an encoded `Membership`.
  std::string payload;

  bool operator==(const LogEntry&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->term, this->index, this->kind);
    detail::SerializeWallTime(archive, this->proposed_at);
    archive(this->payload);
  }
};

// One process start on a disk. Starts are ordered by their count; two with the
// same count and different nonces show that the disk was restored from an older
// copy between them.
struct BootRecord {
  DiskId disk;
  std::uint64_t count = 0;
  std::uint64_t nonce = 0;

  bool operator==(const BootRecord&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->disk, this->count, this->nonce);
  }
};

// What must survive a restart besides the log.
struct HardState {
  Term term;
  std::optional<DiskId> voted_for;
  // Process starts on this disk; shows a disk restored from an older copy.
  std::uint64_t boot_count = 0;
  // The latest known start of every disk, in the order of the disk ids.
  std::vector<BootRecord> known_boots;
  // True once a peer has shown that this disk was restored from an older copy;
  // it never votes again.
  bool is_rolled_back = false;
  // The membership before the first entry; empty on a disk that is not in it.
  Membership initial_membership;

  bool operator==(const HardState&) const = default;
};

// The state machine's state after `index`, with what the log says up to there.
struct StateSnapshot {
  LogIndex index;
  Term term;
  Membership membership;
  // Of the entry at `index`; later entries have no earlier time.
  WallTime proposed_at;
  std::string data;

  bool operator==(const StateSnapshot&) const = default;
};

}  // namespace marigold

#endif  // SRC_REPLICATION_TYPES_H_
