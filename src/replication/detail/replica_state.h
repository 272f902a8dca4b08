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

// The state that the parts of one replica share. The parts change it and do not
// call each other. `Consensus` connects them.
struct ReplicaState {
  ReplicaState(ReplicaSettings replica_settings,
               DiskId own_disk,
               HardState stored,
               ReplicaLog loaded_log,
               std::uint64_t seed,
               MonotonicTime opened_at);

  // Commands.

  // Records a new boot of the disk.
  void CountBoot();
  // Moves to `term` if it is later than the current one, and clears the vote,
  // because this member has not voted in the new term.
  void AdoptTerm(Term term);
  void VoteFor(const DiskId& candidate);
  void AdvanceCommit(LogIndex index);
  void Send(const DiskId& to, ReplicaBody body);
  // Returns the messages that may be sent now.
  std::vector<ReplicaMessage> TakeReadyMessages();
  // Makes the messages ready that waited for a flush. Those of an earlier term
  // are dropped, because their receivers would ignore them.
  void ReleaseMessages();

  // Queries.

  const Membership& membership() const {
    return this->log.membership().membership;
  }
  bool is_voter() const { return this->membership().IsVoter(this->disk); }
  // True if this member has heard from a leader within the election timeout. It
  // then grants no vote, and the lease of a leader relies on that.
  bool hears_leader() const;
  bool has_writes() const {
    return this->hard_state_dirty || this->log.has_writes();
  }

  ReplicaSettings settings;
  DiskId disk;
  HardState hard_state;
  // True while the disk lacks `hard_state`.
  bool hard_state_dirty = false;
  // The current boot of this disk.
  BootRecord boot;
  BootTable boot_table;
  // The last digest that each peer has sent of its boot table.
  std::map<DiskId, std::uint64_t> peer_boots_digests;
  // True while the peers have not confirmed this boot. It then may not vote,
  // and its acknowledgements do not count.
  bool boot_unconfirmed = true;
  ReplicaLog log;
  SeededRandom random;
  // The time of the current call. It never decreases.
  MonotonicTime now;
  ReplicaRole role = ReplicaRole::kFollower;
  std::optional<DiskId> leader;
  // When a leader was last heard from. A boot counts as such a contact, because
  // an earlier boot may have answered a leader just before.
  MonotonicTime last_leader_contact;
  LogIndex commit_index;
  // The newest index that a leader has reported as committed. This member may
  // lack entries up to it.
  LogIndex leader_commit_index;
  // How long the last sync of this disk took. Syncs of other disks may take as
  // long.
  Duration last_sync_duration{};
  bool storage_failed = false;
  std::vector<ReplicaMessage> ready_messages;
  // Messages that become ready after the next successful flush.
  std::vector<ReplicaMessage> messages_awaiting_flush;
};

}  // namespace marigold::detail

#endif  // SRC_REPLICATION_DETAIL_REPLICA_STATE_H_
