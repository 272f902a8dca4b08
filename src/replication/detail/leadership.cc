#include "src/replication/detail/leadership.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "src/replication/detail/quorum.h"

namespace marigold::detail {

namespace {

// A sync that took longer, such as one during which the process was stopped,
// does not predict how long the next one takes.
constexpr Duration kMaxSyncAllowance = std::chrono::seconds(2);

// The lease is shorter than the election timeout by the election timeout
// divided by this number, because clocks may run at different rates.
constexpr int kLeaseMarginDivisor = 10;

Duration LeaseDuration(const ReplicaSettings& settings) {
  return settings.election_timeout -
         settings.election_timeout / kLeaseMarginDivisor;
}

}  // namespace

void Leadership::Start(ReplicaState& state, MonotonicTime election_started_at) {
  this->finished_membership_index = state.log.membership().position.index;
  this->replaced_voter.reset();
  this->TrackMembers(state, election_started_at);
  this->Append(state, EntryKind::kNoop, state.log.last_proposed_at(), "");
  this->Heartbeat(state);
}

void Leadership::Stop() {
  this->progress_by_disk.clear();
  this->transfers.clear();
}

void Leadership::TrackMembers(ReplicaState& state, MonotonicTime last_contact) {
  for (const Member& member : state.membership().members) {
    if (member.disk != state.disk) {
      this->progress_by_disk.try_emplace(
          member.disk, Next(state.log.last_index()), last_contact);
    }
  }
}

Proposal Leadership::Append(ReplicaState& state,
                            EntryKind kind,
                            WallTime wall,
                            std::string payload) {
  LogEntry entry;
  entry.term = state.hard_state.term;
  entry.index = Next(state.log.last_index());
  entry.kind = kind;
  entry.proposed_at = std::max(wall, state.log.last_proposed_at());
  entry.payload = std::move(payload);
  const Proposal proposal{ProposeStatus::kProposed, entry.index, entry.term};
  state.log.Append(std::move(entry));
  return proposal;
}

void Leadership::OnMemberRestart(const DiskId& disk) {
  const auto progress = this->progress_by_disk.find(disk);
  if (progress != this->progress_by_disk.end()) {
    progress->second.OnMemberRestart();
  }
}

LogIndex Leadership::AcknowledgedByEarlierBoots(const DiskId& disk) const {
  const auto progress = this->progress_by_disk.find(disk);
  return progress == this->progress_by_disk.end()
             ? LogIndex()
             : progress->second.earlier_match_index();
}

void Leadership::AdvanceCommit(ReplicaState& state) {
  const Membership& membership = state.membership();
  std::vector<LogIndex> saved_indices;
  for (const Member& member : membership.members) {
    if (member.role != MemberRole::kVoter) {
      continue;
    }
    if (member.disk == state.disk) {
      saved_indices.push_back(state.log.saved_index());
    } else {
      saved_indices.push_back(
          this->progress_by_disk.at(member.disk).counted_index());
    }
  }
  const LogIndex index =
      QuorumValue(std::move(saved_indices), membership.QuorumSize());
  // An entry of an earlier term may still be replaced by another leader, even
  // if a quorum has it. It commits together with the first entry of this term.
  if (index > state.commit_index &&
      state.log.TermAt(index) == state.hard_state.term) {
    const bool is_first = !this->HasCommittedInTerm(state);
    state.AdvanceCommit(index);
    if (is_first) {
      // Entry VMs that have just started wait for members that know this commit
      // index.
      this->Heartbeat(state);
    }
  }
  this->FinishMembershipChange(state);
}

bool Leadership::MustStepDown(const ReplicaState& state) const {
  return !state.is_voter() &&
         state.log.membership().position.index <= state.commit_index;
}

MonotonicTime Leadership::LastQuorumContact(const ReplicaState& state,
                                            MonotonicTime now) const {
  std::vector<MonotonicTime> contacts;
  for (const Member& member : state.membership().members) {
    if (member.role != MemberRole::kVoter) {
      continue;
    }
    contacts.push_back(
        member.disk == state.disk
            ? now
            : this->progress_by_disk.at(member.disk).last_contact());
  }
  return QuorumValue(std::move(contacts), state.membership().QuorumSize());
}

bool Leadership::HasLease(const ReplicaState& state, MonotonicTime now) const {
  return now <
         this->LastQuorumContact(state, now) + LeaseDuration(state.settings);
}

bool Leadership::HasLostQuorum(const ReplicaState& state) const {
  // A leader without a lease already refuses proposals and reads. It steps down
  // only after another election timeout. Otherwise, if a sync takes longer than
  // one timeout, each new leader would step down before its followers have
  // saved its first entry.
  return state.now >=
         this->LastQuorumContact(state, state.now) +
             2 * state.settings.election_timeout +
             2 * std::min(state.last_sync_duration, kMaxSyncAllowance);
}

bool Leadership::HasCommittedInTerm(const ReplicaState& state) const {
  return state.log.TermAt(state.commit_index) == state.hard_state.term;
}

}  // namespace marigold::detail
