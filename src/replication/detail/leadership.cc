#include "src/replication/detail/leadership.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "src/replication/detail/quorum.h"

namespace marigold::detail {

namespace {

// A sync that took longer, such as one during which the process was stopped,
// says nothing about the next one.
constexpr Duration kLongestSync = std::chrono::seconds(2);

// The lease is shorter than the election timeout by this part, for clocks that
// run at different rates.
constexpr int kLeaseMarginParts = 10;

Duration LeaseOf(const ReplicaSettings& settings) {
  return settings.election_timeout -
         settings.election_timeout / kLeaseMarginParts;
}

}  // namespace

void Leadership::Start(NodeState& state, MonotonicTime elected_from) {
  this->settled = state.log.membership().position.index;
  this->replaced.reset();
  this->TrackMembers(state, elected_from);
  this->Append(state, EntryKind::kNoop, state.log.last_proposed_at(), "");
  this->Heartbeat(state);
}

void Leadership::Stop() {
  this->members.clear();
  this->transfers.clear();
}

void Leadership::TrackMembers(NodeState& state, MonotonicTime contact) {
  for (const Member& member : state.membership().members) {
    if (member.disk != state.disk) {
      this->members.try_emplace(member.disk, Next(state.log.last_index()),
                                contact);
    }
  }
}

Proposal Leadership::Append(NodeState& state,
                            EntryKind kind,
                            WallTime wall,
                            std::string payload) {
  LogEntry entry;
  entry.term = state.hard.term;
  entry.index = Next(state.log.last_index());
  entry.kind = kind;
  entry.proposed_at = std::max(wall, state.log.last_proposed_at());
  entry.payload = std::move(payload);
  const Proposal proposal{ProposeStatus::kProposed, entry.index, entry.term};
  state.log.Append(std::move(entry));
  return proposal;
}

void Leadership::OnNewStart(const DiskId& disk) {
  const auto progress = this->members.find(disk);
  if (progress != this->members.end()) {
    progress->second.OnNewStart();
  }
}

LogIndex Leadership::AcknowledgedByEarlierStarts(const DiskId& disk) const {
  const auto progress = this->members.find(disk);
  return progress == this->members.end()
             ? LogIndex()
             : progress->second.earlier_match_index();
}

void Leadership::AdvanceCommit(NodeState& state) {
  const Membership& membership = state.membership();
  std::vector<LogIndex> saved;
  for (const Member& member : membership.members) {
    if (member.role != MemberRole::kVoter) {
      continue;
    }
    if (member.disk == state.disk) {
      saved.push_back(state.log.saved_index());
    } else {
      saved.push_back(this->members.at(member.disk).counted_index());
    }
  }
  const LogIndex index = QuorumValue(std::move(saved), membership.QuorumSize());
  // An entry of an earlier term may still be replaced by another leader, even
  // on a quorum; it commits with the first entry of this term.
  if (index > state.commit && state.log.TermAt(index) == state.hard.term) {
    const bool is_first = !this->HasCommitted(state);
    state.AdvanceCommit(index);
    if (is_first) {
      // Entry VMs that have just started wait for members that know it.
      this->Heartbeat(state);
    }
  }
  this->SettleMembership(state);
}

bool Leadership::HasResigned(const NodeState& state) const {
  return !state.is_voter() &&
         state.log.membership().position.index <= state.commit;
}

MonotonicTime Leadership::QuorumContact(const NodeState& state,
                                        MonotonicTime now) const {
  std::vector<MonotonicTime> contacts;
  for (const Member& member : state.membership().members) {
    if (member.role != MemberRole::kVoter) {
      continue;
    }
    contacts.push_back(member.disk == state.disk
                           ? now
                           : this->members.at(member.disk).last_contact());
  }
  return QuorumValue(std::move(contacts), state.membership().QuorumSize());
}

bool Leadership::HasLease(const NodeState& state, MonotonicTime now) const {
  return now < this->QuorumContact(state, now) + LeaseOf(state.settings);
}

bool Leadership::HasLostQuorum(const NodeState& state) const {
  // Without the lease it neither proposes nor reads already. It steps down only
  // after another timeout: where a sync takes longer than one, each new leader
  // would resign before its followers have saved its first entry.
  return state.now >= this->QuorumContact(state, state.now) +
                          2 * state.settings.election_timeout +
                          2 * std::min(state.sync_time, kLongestSync);
}

bool Leadership::HasCommitted(const NodeState& state) const {
  return state.log.TermAt(state.commit) == state.hard.term;
}

}  // namespace marigold::detail
