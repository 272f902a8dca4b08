#ifndef SRC_REPLICATION_REPLICA_H_
#define SRC_REPLICATION_REPLICA_H_

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "src/core/log.h"
#include "src/core/random.h"
#include "src/core/result.h"
#include "src/replication/detail/consensus.h"
#include "src/replication/detail/describe_error.h"
#include "src/replication/messages.h"
#include "src/replication/replica_types.h"
#include "src/replication/storage.h"

namespace marigold {

// One member of a replicated log. The caller drives it and transports its
// messages, since the replica does no network I/O. Calls must not overlap.
// Inputs change only the state in memory. `Flush` makes the changes durable
// with one sync in most cases. Only after that do `TakeMessages` and
// `TakeCommitted` return anything that depends on them.
template <ReplicaStorage Storage, RandomSource Random>
class Replica {
 public:
  // Loads the state of the disk and records a boot on it. Fails with
  // `ParseError` if the content is damaged or a setting is invalid, and with
  // `IoError` if a system call fails. `random` is used only during the call.
  static Result<Replica> Open(ReplicaSettings settings,
                              Storage& storage,
                              Random& random,
                              MonotonicTime now) {
    BOOST_LEAF_AUTO(stored, storage.Load());
    BOOST_LEAF_AUTO(consensus, detail::Consensus::Create(std::move(settings),
                                                         std::move(stored),
                                                         random.Next(), now));
    Replica replica(storage, std::move(consensus));
    BOOST_LEAF_CHECK(replica.WritePending());
    replica.consensus->OnFlushed(now);
    return replica;
  }

  // Commands. `now` must be read after the message or request has arrived.

  // Runs timeouts and heartbeats. To be called when `NextTick` is due.
  void Tick(MonotonicTime now) { this->consensus->Tick(now); }

  void Step(MonotonicTime now, const ReplicaMessage& message) {
    this->consensus->Step(now, message);
  }

  Proposal Propose(MonotonicTime now, WallTime wall, std::string payload) {
    return this->consensus->Propose(now, wall, std::move(payload));
  }

  Proposal ProposeMembership(MonotonicTime now,
                             WallTime wall,
                             const MembershipChange& change) {
    return this->consensus->ProposeMembership(now, wall, change);
  }

  // Reports how long the last flush took. A leader allows for that time before
  // it steps down without a quorum.
  void RecordSyncDuration(Duration duration) {
    this->consensus->RecordSyncDuration(duration);
  }

  // Reports that a member's disk is permanently lost, because its VM has
  // restarted with another one.
  void OnDiskLost(MonotonicTime now, const DiskId& disk) {
    this->consensus->OnDiskLost(now, disk);
  }

  // Writes and syncs all pending changes. If that fails, `storage_failed` stays
  // true from then on, and the replica no longer votes, accepts entries or
  // proposes.
  void Flush(MonotonicTime now) {
    while (this->consensus->has_writes() && !this->storage_failed()) {
      if (this->RunOrStop([this] { return this->WritePending(); })) {
        this->consensus->OnFlushed(now);
      }
    }
  }

  std::vector<ReplicaMessage> TakeMessages() {
    return this->consensus->TakeMessages();
  }
  std::vector<CommittedItem> TakeCommitted() {
    return this->consensus->TakeCommitted();
  }

  // Saves `data`, the state machine's state after `index`, as a snapshot and
  // removes the log up to `index`. Does nothing unless `TakeCommitted` has
  // returned that index.
  void Compact(LogIndex index, std::string data) {
    auto snapshot = this->consensus->MakeSnapshot(index, std::move(data));
    if (snapshot != nullptr && this->RunOrStop([&] {
          return this->storage->SaveSnapshot(*snapshot);
        })) {
      this->consensus->OnCompacted(std::move(snapshot));
    }
  }

  // Queries.

  MonotonicTime NextTick() const { return this->consensus->NextTick(); }
  ReplicaRole role() const { return this->replica_state().role; }
  std::optional<DiskId> leader() const { return this->replica_state().leader; }
  const DiskId& disk() const { return this->replica_state().disk; }
  Term term() const { return this->replica_state().hard_state.term; }
  LogIndex commit_index() const { return this->replica_state().commit_index; }
  // The newest index that a leader has reported as committed, which may lie
  // after the own commit index.
  LogIndex leader_commit_index() const {
    return this->replica_state().leader_commit_index;
  }
  // True once an entry of the current term is committed here. All entries
  // committed in earlier terms are then committed here as well.
  bool has_committed_in_term() const {
    return this->replica_state().log.TermAt(
               this->replica_state().commit_index) ==
           this->replica_state().hard_state.term;
  }
  LogIndex last_index() const { return this->replica_state().log.last_index(); }
  LogIndex snapshot_index() const {
    return this->replica_state().log.snapshot_index();
  }
  const Membership& membership() const {
    return this->replica_state().membership();
  }
  bool storage_failed() const { return this->replica_state().storage_failed; }
  // True while this replica may not vote, because its peers have not confirmed
  // its boot.
  bool is_boot_unconfirmed() const {
    return this->replica_state().boot_unconfirmed;
  }
  // Returns the spares that this leader has not heard from for
  // `ReplicaSettings::replace_after`, the longest silent one first. Returns
  // nothing if this replica does not lead.
  std::vector<DiskId> SilentSpares(MonotonicTime now) const {
    return this->consensus->SilentSpares(now);
  }
  // Returns the commit index if this replica leads, has committed an entry in
  // its term and has heard from a quorum within its lease. A read at that index
  // is not stale. Returns nothing otherwise.
  std::optional<LogIndex> ReadIndex(MonotonicTime now) const {
    return this->consensus->ReadIndex(now);
  }

 private:
  Replica(Storage& replica_storage,
          std::unique_ptr<detail::Consensus> replica_consensus)
      : storage(&replica_storage), consensus(std::move(replica_consensus)) {}

  const detail::ReplicaState& replica_state() const {
    return this->consensus->replica_state();
  }

  // Writes all pending changes to the storage. This takes one sync, or two if
  // the log is truncated before a snapshot is installed.
  Result<void> WritePending() {
    const detail::PendingWrites writes = this->consensus->Writes();
    if (writes.log.truncate_from) {
      BOOST_LEAF_CHECK(this->storage->TruncateFrom(*writes.log.truncate_from));
    }
    if (writes.log.install != nullptr) {
      if (writes.log.truncate_from) {
        BOOST_LEAF_CHECK(this->storage->Sync());
      }
      BOOST_LEAF_CHECK(this->storage->SaveSnapshot(*writes.log.install));
    }
    if (!writes.log.append.empty()) {
      BOOST_LEAF_CHECK(this->storage->Append(writes.log.append));
    }
    if (writes.hard_state) {
      BOOST_LEAF_CHECK(this->storage->SaveHardState(*writes.hard_state));
    }
    return this->storage->Sync();
  }

  // Runs `write`. If it fails, logs the error, stops the replica permanently
  // and returns false.
  template <class WriteFunction>
  bool RunOrStop(WriteFunction write) {
    const auto outcome = Capture<bool>([&]() -> Result<bool> {
      BOOST_LEAF_CHECK(write());
      return true;
    });
    if (std::holds_alternative<bool>(outcome)) {
      return true;
    }
    const auto& error = std::get<AnyError>(outcome);
    LogEvent(LogLevel::kError, "storage_failed",
             {{"disk", this->disk().value()},
              {"error", detail::DescribeError(error)}});
    this->consensus->OnStorageFailed();
    return false;
  }

  Storage* storage;
  std::unique_ptr<detail::Consensus> consensus;
};

}  // namespace marigold

#endif  // SRC_REPLICATION_REPLICA_H_
