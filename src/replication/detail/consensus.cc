#include "src/replication/detail/consensus.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "src/core/log.h"

namespace marigold::detail {

namespace {

// A longer payload would not fit a message of 4 MiB.
constexpr std::size_t kMostPayloadBytes = 3 * 1024 * 1024;

Result<void> CheckSettings(const ReplicaSettings& settings) {
  const auto refuse = [](const char* field, const char* expected) {
    return boost::leaf::new_error(ParseError{field, {}, expected});
  };
  if (settings.heartbeat_interval <= Duration::zero()) {
    return refuse("heartbeat_interval", "more than 0");
  }
  if (settings.election_timeout < settings.heartbeat_interval * 2) {
    return refuse("election_timeout", "at least two heartbeat intervals");
  }
  if (settings.append_entries == 0) {
    return refuse("append_entries", "at least 1");
  }
  if (settings.snapshot_chunk_bytes == 0) {
    return refuse("snapshot_chunk_bytes", "at least 1");
  }
  return {};
}

}  // namespace

Result<std::unique_ptr<Consensus>> Consensus::Create(ReplicaSettings settings,
                                                     StoredState stored,
                                                     std::uint64_t seed,
                                                     MonotonicTime now) {
  BOOST_LEAF_CHECK(CheckSettings(settings));
  HardState& hard = stored.hard_state;
  const Membership& initial = settings.initial_membership;
  const bool is_new = hard.boot_count == 0 && !stored.snapshot;
  if (is_new && initial.Find(stored.disk) != nullptr) {
    hard.first_membership = initial;
  }
  BOOST_LEAF_AUTO(
      log, LogView::Load(hard.first_membership, std::move(stored.snapshot),
                         std::move(stored.entries)));
  NodeState state(std::move(settings), std::move(stored.disk), std::move(hard),
                  std::move(log), seed, now);
  // The log may have reached the disk without the term that it was taken in.
  state.AdoptTerm(state.log.last_position().term);
  state.CountBoot();
  return std::unique_ptr<Consensus>(new Consensus(std::move(state)));
}

Consensus::Consensus(NodeState node_state)
    : state(std::move(node_state)), guard(this->state) {
  this->election.Rearm(this->state);
  this->guard.Conclude(this->state);
  this->SettleGuard(this->state.hard.term);
}

void Consensus::Observe(MonotonicTime now) {
  this->state.now = std::max(this->state.now, now);
}

void Consensus::Tick(MonotonicTime now) {
  this->Observe(now);
  if (this->state.storage_failed) {
    return;
  }
  const Term before = this->state.hard.term;
  this->guard.Tick(this->state);
  this->SettleGuard(before);
  if (this->state.role == ReplicaRole::kLeader) {
    if (this->leadership.HasLostQuorum(this->state)) {
      LogEvent(LogLevel::kWarning, "leader_lost_quorum",
               {{"disk", this->state.disk.value()},
                {"term", this->state.hard.term.value()}});
      this->BecomeFollower();
    } else if (this->state.now >= this->leadership.next_heartbeat()) {
      this->leadership.ReplaceLostVoters(this->state);
      this->leadership.Heartbeat(this->state);
    }
    return;
  }
  if (this->state.now >= this->election.deadline()) {
    this->OnElectionTimeout();
  }
}

ProposeStatus Consensus::CheckProposer() const {
  if (this->state.storage_failed) {
    return ProposeStatus::kStorageFailed;
  }
  if (this->state.role != ReplicaRole::kLeader) {
    return ProposeStatus::kNotLeader;
  }
  if (!this->leadership.HasLease(this->state, this->state.now)) {
    return ProposeStatus::kNoQuorum;
  }
  return ProposeStatus::kProposed;
}

Proposal Consensus::Propose(MonotonicTime now,
                            WallTime wall,
                            std::string payload) {
  this->Observe(now);
  const ProposeStatus status = this->CheckProposer();
  if (status != ProposeStatus::kProposed) {
    return {status, {}, {}};
  }
  if (payload.size() > kMostPayloadBytes) {
    return {ProposeStatus::kRefused, {}, {}};
  }
  return this->leadership.Append(this->state, EntryKind::kCommand, wall,
                                 std::move(payload));
}

Proposal Consensus::ProposeMembership(MonotonicTime now,
                                      WallTime wall,
                                      const MembershipChange& change) {
  this->Observe(now);
  const ProposeStatus status = this->CheckProposer();
  if (status != ProposeStatus::kProposed) {
    return {status, {}, {}};
  }
  return this->leadership.ChangeMembership(this->state, wall, change);
}

std::vector<ReplicaMessage> Consensus::TakeMessages() {
  if (this->state.role == ReplicaRole::kLeader) {
    this->leadership.Replicate(this->state);
  }
  if (!this->has_writes()) {
    this->state.ReleaseMessages();
  }
  return this->state.TakeReady();
}

std::vector<Committed> Consensus::TakeCommitted() {
  std::vector<Committed> committed;
  const LogView& log = this->state.log;
  if (log.install_pending()) {
    return committed;
  }
  if (this->given < log.snapshot_index()) {
    committed.push_back({*log.snapshot(), std::nullopt});
    this->given = log.snapshot_index();
  }
  const LogIndex last = std::min(this->state.commit, log.saved_index());
  while (this->given < last) {
    this->given = Next(this->given);
    committed.push_back({std::nullopt, log.At(this->given)});
  }
  return committed;
}

PendingWrites Consensus::Writes() const {
  PendingWrites writes;
  writes.log = this->state.log.Writes();
  if (this->state.hard_dirty) {
    writes.hard_state = this->state.hard;
    writes.hard_state->seen_boots = this->state.boots.Records();
  }
  return writes;
}

std::shared_ptr<const SnapshotImage> Consensus::MakeImage(
    LogIndex index,
    std::string data) const {
  const LogView& log = this->state.log;
  if (this->state.storage_failed || log.install_pending() ||
      index <= log.snapshot_index() || index > this->given) {
    return nullptr;
  }
  return std::make_shared<const SnapshotImage>(
      log.MakeImage(index, std::move(data)));
}

void Consensus::OnCompacted(std::shared_ptr<const SnapshotImage> image) {
  this->state.log.Compact(std::move(image));
}

void Consensus::OnFlushed(MonotonicTime now) {
  this->Observe(now);
  this->state.log.MarkSaved();
  this->state.hard_dirty = false;
  this->state.ReleaseMessages();
  this->election.OnOwnVoteSaved(this->state);
  this->ConcludeBallot();
  if (this->state.role == ReplicaRole::kLeader) {
    this->leadership.AdvanceCommit(this->state);
  }
  this->ResignIfRemoved();
}

void Consensus::OnStorageFailed() {
  this->BecomeFollower();
  this->state.storage_failed = true;
  this->state.ready.clear();
  this->state.waiting.clear();
}

MonotonicTime Consensus::NextTick() const {
  if (this->state.storage_failed) {
    return this->state.now + this->state.settings.election_timeout;
  }
  const MonotonicTime due = this->state.role == ReplicaRole::kLeader
                                ? this->leadership.next_heartbeat()
                                : this->election.deadline();
  return std::min(due, this->guard.next_round(this->state).value_or(due));
}

std::optional<LogIndex> Consensus::ReadIndex(MonotonicTime now) const {
  if (this->state.role != ReplicaRole::kLeader ||
      !this->leadership.HasCommitted(this->state) ||
      !this->leadership.HasLease(this->state, now)) {
    return std::nullopt;
  }
  return this->state.commit;
}

}  // namespace marigold::detail
