#include <algorithm>
#include <utility>
#include <vector>

#include "src/core/log.h"
#include "src/replication/detail/leadership.h"
#include "src/replication/detail/membership_codec.h"
#include "src/replication/detail/membership_rules.h"

namespace marigold::detail {

Proposal Leadership::ChangeMembership(NodeState& state,
                                      WallTime wall,
                                      const MembershipChange& change) {
  const Proposal refused{ProposeStatus::kRefused, {}, {}};
  const bool in_progress = state.log.membership().position.index > state.commit;
  if (in_progress || !this->HasCommitted(state)) {
    return refused;
  }
  const auto next = ApplyChange(state.membership(), change);
  if (!next || !this->CanCommitUnder(state, *next)) {
    return refused;
  }
  const bool promotes = change.kind == MembershipChange::Kind::kSetRole &&
                        change.member.role == MemberRole::kVoter;
  if (promotes && !this->IsCaughtUp(state, change.member.disk)) {
    return refused;
  }
  const Proposal proposal = this->Append(state, EntryKind::kMembership, wall,
                                         EncodeMembership(*next));
  this->TrackMembers(state, MonotonicTime::min());
  LogEvent(LogLevel::kInfo, "membership_change",
           {{"index", proposal.index.value()},
            {"member", change.member.disk.value()},
            {"voters", next->VoterCount()}});
  return proposal;
}

bool Leadership::Answers(const NodeState& state, const DiskId& disk) const {
  if (disk == state.disk) {
    return true;
  }
  const auto progress = this->members.find(disk);
  return progress != this->members.end() &&
         !progress->second.is_probationary() &&
         state.now <
             progress->second.last_contact() + state.settings.election_timeout;
}

bool Leadership::CanCommitUnder(const NodeState& state,
                                const Membership& next) const {
  const auto answering = std::count_if(
      next.members.begin(), next.members.end(), [&](const Member& member) {
        return member.role == MemberRole::kVoter &&
               this->Answers(state, member.disk);
      });
  return static_cast<std::size_t>(answering) >= next.QuorumSize();
}

bool Leadership::IsCaughtUp(const NodeState& state, const DiskId& disk) const {
  const auto progress = this->members.find(disk);
  if (progress == this->members.end() || !this->Answers(state, disk)) {
    return false;
  }
  const std::uint64_t behind =
      state.log.last_index().value() - progress->second.match_index().value();
  return behind <= state.settings.append_entries;
}

void Leadership::SettleMembership(NodeState& state) {
  const LogIndex changed = state.log.membership().position.index;
  if (changed > state.commit || changed == this->settled) {
    return;
  }
  this->settled = changed;
  // Tells a removed member that it is removed, while it is still tracked.
  this->Heartbeat(state);
  std::erase_if(this->members, [&](const auto& item) {
    return state.membership().Find(item.first) == nullptr;
  });
  std::erase_if(this->transfers, [&](const auto& item) {
    return !this->members.contains(item.first);
  });
}

std::vector<DiskId> Leadership::LostVoters(const NodeState& state) const {
  const Membership& membership = state.membership();
  const bool is_even = membership.VoterCount() % 2 == 0;
  std::vector<DiskId> lost;
  for (const Member& member : membership.members) {
    if (member.role != MemberRole::kVoter || member.disk == state.disk) {
      continue;
    }
    const MonotonicTime contact = this->members.at(member.disk).last_contact();
    const bool is_silent = state.now >= contact + state.settings.replace_after;
    // A voter whose place a spare has taken goes even if it has come back.
    const bool is_replaced = is_even && this->replaced == member.disk;
    if (is_silent || is_replaced) {
      lost.push_back(member.disk);
    }
  }
  return lost;
}

std::vector<DiskId> Leadership::ReadySpares(const NodeState& state) const {
  std::vector<DiskId> ready;
  for (const Member& member : state.membership().members) {
    if (member.role == MemberRole::kSpare &&
        this->IsCaughtUp(state, member.disk)) {
      ready.push_back(member.disk);
    }
  }
  return ready;
}

void Leadership::ReplaceLostVoters(NodeState& state) {
  if (state.settings.replace_after == Duration::zero() ||
      !this->HasLease(state, state.now)) {
    return;
  }
  const std::vector<DiskId> lost = this->LostVoters(state);
  const auto change =
      PlanRepair(state.membership(), lost, this->ReadySpares(state),
                 state.settings.voters);
  if (!change) {
    return;
  }
  const Proposal proposal =
      this->ChangeMembership(state, state.log.last_proposed_at(), *change);
  if (proposal.status != ProposeStatus::kProposed) {
    return;
  }
  if (change->member.role == MemberRole::kVoter && !lost.empty()) {
    this->replaced = lost.front();
  } else {
    this->replaced.reset();
  }
}

}  // namespace marigold::detail
