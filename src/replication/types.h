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

// Serializes a wall time as microseconds since the Unix epoch, in either
// direction.
template <class Archive>
void SerializeWallTime(Archive& archive, WallTime& time) {
  std::int64_t micros = time.time_since_epoch().count();
  archive(micros);
  time = WallTime(Duration(micros));
}

}  // namespace detail

// A voter counts towards quorums. A learner receives the log but does not
// count. A spare is a learner that the leader may promote by itself to replace
// a lost voter.
enum class MemberRole : std::uint8_t { kVoter, kLearner, kSpare };

// Returns the name of the role for the command line and logs, such as "voter".
// The names are stable.
std::string_view ToString(MemberRole role);

// One control VM as a member of the group. It is identified by its disk, not by
// its address.
struct Member {
  DiskId disk;
  VmId vm;
  Endpoint address;
  MemberRole role = MemberRole::kLearner;
  // Where the VM runs. Entry VMs subscribe to a control VM that is near them.
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

  // Returns null if the disk is not a member.
  const Member* Find(const DiskId& disk) const;
  bool IsVoter(const DiskId& disk) const;
  std::size_t VoterCount() const;
  // Returns the number of voters that make a majority.
  std::size_t QuorumSize() const;
};

// A change of a single member, which is added, removed or given another role.
struct MembershipChange {
  enum class Kind : std::uint8_t { kAdd, kRemove, kSetRole };

  Kind kind = Kind::kAdd;
  // `kRemove` uses only the disk, `kSetRole` the disk and the role.
  Member member;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->kind, this->member);
  }
};

// The term and index of a log entry. Positions are ordered by term, then by
// index. Of two logs, the one with the later last position is more up to date.
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
  // The wall-clock time of the leader at the proposal. It is never earlier than
  // that of a preceding entry.
  WallTime proposed_at;
  // An encoded command for `kCommand`, an encoded `Membership` for
  // `kMembership`, and empty for `kNoop`.
  std::string payload;

  bool operator==(const LogEntry&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->term, this->index, this->kind);
    detail::SerializeWallTime(archive, this->proposed_at);
    archive(this->payload);
  }
};

// One boot, which is one start of a replica process on a disk. The boots of a
// disk are ordered by their count. Two boots with the same count and different
// nonces show that the disk was restored from an older copy between them.
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

// The state besides the log that must survive a restart.
struct HardState {
  Term term;
  std::optional<DiskId> voted_for;
  // The number of boots of this disk. It lets peers detect that the disk was
  // restored from an older copy.
  std::uint64_t boot_count = 0;
  // The latest known boot of every disk, in the order of the disk ids.
  std::vector<BootRecord> known_boots;
  // True once a peer has shown that this disk was restored from an older copy.
  // The disk then never votes again.
  bool is_rolled_back = false;
  // The membership before the first entry. It is empty if it does not contain
  // this disk.
  Membership initial_membership;

  bool operator==(const HardState&) const = default;
};

// The state machine's state after the entry at `index`, with the term and time
// of that entry and the membership in force there.
struct StateSnapshot {
  LogIndex index;
  Term term;
  Membership membership;
  // The time of the entry at `index`. Later entries have no earlier time.
  WallTime proposed_at;
  std::string data;

  bool operator==(const StateSnapshot&) const = default;
};

}  // namespace marigold

#endif  // SRC_REPLICATION_TYPES_H_
