#ifndef SRC_REPLICATION_DETAIL_REPLICA_STATE_H_
#define SRC_REPLICATION_DETAIL_REPLICA_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "src/core/random.h"
#include "src/replication/detail/boot_table.h"
#include "src/replication/detail/replica_log.h"
#include "src/replication/messages.h"
#include "src/replication/replica_types.h"

namespace marigold::detail {

// What the parts of one replica share. The parts change it and do not call each
// other; `Consensus` connects them.
struct ReplicaState {
  ReplicaState(ReplicaSettings replica_settings,
               DiskId own_disk,
               HardState stored,
               ReplicaLog loaded_log,
               std::uint64_t seed,
               MonotonicTime opened_at);

  // Commands.

  // Begins a process start on the disk.
  void CountBoot();
  // Moves to a later term, in which this member has not voted.
  void AdoptTerm(Term term);
  void VoteFor(const DiskId& candidate);
  void AdvanceCommit(LogIndex index);
  void Send(const DiskId& to, ReplicaBody body);
  // Hands over what may be sent.
  std::vector<ReplicaMessage> TakeReadyMessages();
  // Makes ready what waited for a flush. Messages of an earlier term are
  // dropped: their receivers would ignore them.
  void ReleaseMessages();

  // Queries.

  const Membership& membership() const {
    return this->log.membership().membership;
  }
  bool is_voter() const { return this->membership().IsVoter(this->disk); }
  // True if a leader was heard from within the election timeout. Such a member
  // grants no vote, which is what a leader's lease rests on.
  bool hears_leader() const;
  bool has_writes() const {
    return this->hard_state_dirty || this->log.has_writes();
  }

  ReplicaSettings settings;
  DiskId disk;
  HardState hard_state;
  // True while the disk lacks `hard_state`.
  bool hard_state_dirty = false;
  // This process start.
  BootRecord boot;
  BootTable boot_table;
  // The last digest of the boot ledger that each peer sent.
  std::map<DiskId, std::uint64_t> peer_boots_digests;
  // True while this start may not vote and its acknowledgements don't count.
  bool boot_unconfirmed = true;
  ReplicaLog log;
  SeededRandom random;
  // The time of the current call; never falls.
  MonotonicTime now;
  ReplicaRole role = ReplicaRole::kFollower;
  std::optional<DiskId> leader;
  // When a leader was last heard from. A process start counts as such a moment,
  // since an earlier start may have answered a leader just before.
  MonotonicTime last_leader_contact;
  LogIndex commit_index;
  // How long the last sync of this disk took; those of others may take as long.
  Duration last_sync_duration{};
  bool storage_failed = false;
  std::vector<ReplicaMessage> ready_messages;
  // Given out after the next successful flush.
  std::vector<ReplicaMessage> messages_awaiting_flush;
};

}  // namespace marigold::detail

#endif  // SRC_REPLICATION_DETAIL_REPLICA_STATE_H_
