#include "src/replication/detail/consensus.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "src/core/log.h"

namespace marigold::detail {

namespace {

// A larger payload would not fit into a message, which is limited to 4 MiB.
constexpr std::size_t kMaxPayloadBytes = 3 * 1024 * 1024;

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
  HardState& hard_state = stored.hard_state;
  const Membership& initial = settings.initial_membership;
  const bool is_new = hard_state.boot_count == 0 && !stored.snapshot;
  if (is_new && initial.Find(stored.disk) != nullptr) {
    hard_state.initial_membership = initial;
  }
  BOOST_LEAF_AUTO(log, ReplicaLog::Load(hard_state.initial_membership,
                                        std::move(stored.snapshot),
                                        std::move(stored.entries)));
  ReplicaState state(std::move(settings), std::move(stored.disk),
                     std::move(hard_state), std::move(log), seed, now);
  // A crash may have left entries on the disk without the term in which they
  // were accepted.
  state.AdoptTerm(state.log.last_position().term);
  state.CountBoot();
  return std::unique_ptr<Consensus>(new Consensus(std::move(state)));
}

Consensus::Consensus(ReplicaState initial_state)
    : state(std::move(initial_state)), verifier(this->state) {
  this->election.ResetTimeout(this->state);
  this->verifier.ConfirmIfQuorum(this->state);
  this->ApplyVerifierOutcome(this->state.hard_state.term);
}

void Consensus::AdvanceClock(MonotonicTime now) {
  this->state.now = std::max(this->state.now, now);
}

void Consensus::Tick(MonotonicTime now) {
  this->AdvanceClock(now);
  if (this->state.storage_failed) {
    return;
  }
  const Term term_before = this->state.hard_state.term;
  this->verifier.Tick(this->state);
  this->ApplyVerifierOutcome(term_before);
  if (this->state.role == ReplicaRole::kLeader) {
    if (this->leadership.HasLostQuorum(this->state)) {
      LogEvent(LogLevel::kWarning, "leader_lost_quorum",
               {{"disk", this->state.disk.value()},
                {"term", this->state.hard_state.term.value()}});
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
  this->AdvanceClock(now);
  const ProposeStatus status = this->CheckProposer();
  if (status != ProposeStatus::kProposed) {
    return {status, {}, {}};
  }
  if (payload.size() > kMaxPayloadBytes) {
    return {ProposeStatus::kRefused, {}, {}};
  }
  return this->leadership.Append(this->state, EntryKind::kCommand, wall,
                                 std::move(payload));
}

Proposal Consensus::ProposeMembership(MonotonicTime now,
                                      WallTime wall,
                                      const MembershipChange& change) {
  this->AdvanceClock(now);
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
  return this->state.TakeReadyMessages();
}

std::vector<CommittedItem> Consensus::TakeCommitted() {
  std::vector<CommittedItem> committed;
  const ReplicaLog& log = this->state.log;
  if (log.install_pending()) {
    return committed;
  }
  if (this->delivered_index < log.snapshot_index()) {
    committed.push_back({*log.snapshot(), std::nullopt});
    this->delivered_index = log.snapshot_index();
  }
  const LogIndex last_deliverable =
      std::min(this->state.commit_index, log.saved_index());
  while (this->delivered_index < last_deliverable) {
    this->delivered_index = Next(this->delivered_index);
    committed.push_back({std::nullopt, log.At(this->delivered_index)});
  }
  return committed;
}

PendingWrites Consensus::Writes() const {
  PendingWrites writes;
  writes.log = this->state.log.Writes();
  if (this->state.hard_state_dirty) {
    writes.hard_state = this->state.hard_state;
    writes.hard_state->known_boots = this->state.boot_table.Records();
  }
  return writes;
}

std::shared_ptr<const StateSnapshot> Consensus::MakeSnapshot(
    LogIndex index,
    std::string data) const {
  const ReplicaLog& log = this->state.log;
  if (this->state.storage_failed || log.install_pending() ||
      index <= log.snapshot_index() || index > this->delivered_index) {
    return nullptr;
  }
  return std::make_shared<const StateSnapshot>(
      log.MakeSnapshot(index, std::move(data)));
}

void Consensus::OnCompacted(std::shared_ptr<const StateSnapshot> snapshot) {
  this->state.log.Compact(std::move(snapshot));
}

void Consensus::OnFlushed(MonotonicTime now) {
  this->AdvanceClock(now);
  this->state.log.MarkSaved();
  this->state.hard_state_dirty = false;
  this->state.ReleaseMessages();
  this->election.OnOwnVoteSaved(this->state);
  this->AdvanceElection();
  if (this->state.role == ReplicaRole::kLeader) {
    this->leadership.AdvanceCommit(this->state);
  }
  this->StepDownIfRemoved();
}

void Consensus::OnStorageFailed() {
  this->BecomeFollower();
  this->state.storage_failed = true;
  this->state.ready_messages.clear();
  this->state.messages_awaiting_flush.clear();
}

MonotonicTime Consensus::NextTick() const {
  if (this->state.storage_failed) {
    return this->state.now + this->state.settings.election_timeout;
  }
  const MonotonicTime due = this->state.role == ReplicaRole::kLeader
                                ? this->leadership.next_heartbeat()
                                : this->election.deadline();
  return std::min(due, this->verifier.next_round(this->state).value_or(due));
}

std::optional<LogIndex> Consensus::ReadIndex(MonotonicTime now) const {
  if (this->state.role != ReplicaRole::kLeader ||
      !this->leadership.HasCommittedInTerm(this->state) ||
      !this->leadership.HasLease(this->state, now)) {
    return std::nullopt;
  }
  return this->state.commit_index;
}

std::vector<DiskId> Consensus::SilentSpares(MonotonicTime now) const {
  return this->state.role == ReplicaRole::kLeader
             ? this->leadership.SilentSpares(this->state, now)
             : std::vector<DiskId>();
}

}  // namespace marigold::detail
