#include <algorithm>
#include <utility>
#include <vector>

#include "src/core/log.h"
#include "src/replication/detail/leadership.h"
#include "src/replication/detail/membership_codec.h"
#include "src/replication/detail/membership_rules.h"

namespace marigold::detail {

Proposal Leadership::ChangeMembership(ReplicaState& state,
                                      WallTime wall,
                                      const MembershipChange& change) {
  const Proposal refused{ProposeStatus::kRefused, {}, {}};
  const bool is_change_in_progress =
      state.log.membership().position.index > state.commit_index;
  if (is_change_in_progress || !this->HasCommittedInTerm(state)) {
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

bool Leadership::IsResponsive(const ReplicaState& state,
                              const DiskId& disk) const {
  if (disk == state.disk) {
    return true;
  }
  const auto progress = this->progress_by_disk.find(disk);
  return progress != this->progress_by_disk.end() &&
         !progress->second.is_boot_unconfirmed() &&
         state.now <
             progress->second.last_contact() + state.settings.election_timeout;
}

bool Leadership::CanCommitUnder(const ReplicaState& state,
                                const Membership& next) const {
  const auto responsive_voters = std::count_if(
      next.members.begin(), next.members.end(), [&](const Member& member) {
        return member.role == MemberRole::kVoter &&
               this->IsResponsive(state, member.disk);
      });
  return static_cast<std::size_t>(responsive_voters) >= next.QuorumSize();
}

bool Leadership::IsCaughtUp(const ReplicaState& state,
                            const DiskId& disk) const {
  const auto progress = this->progress_by_disk.find(disk);
  if (progress == this->progress_by_disk.end() ||
      !this->IsResponsive(state, disk)) {
    return false;
  }
  const std::uint64_t entries_behind =
      state.log.last_index().value() - progress->second.match_index().value();
  return entries_behind <= state.settings.append_entries;
}

void Leadership::FinishMembershipChange(ReplicaState& state) {
  const LogIndex membership_index = state.log.membership().position.index;
  if (membership_index > state.commit_index ||
      membership_index == this->finished_membership_index) {
    return;
  }
  this->finished_membership_index = membership_index;
  // The heartbeat informs a removed member of its removal while it is still
  // tracked.
  this->Heartbeat(state);
  std::erase_if(this->progress_by_disk, [&](const auto& item) {
    return state.membership().Find(item.first) == nullptr;
  });
  std::erase_if(this->transfers, [&](const auto& item) {
    return !this->progress_by_disk.contains(item.first);
  });
}

std::vector<DiskId> Leadership::LostVoters(const ReplicaState& state) const {
  const Membership& membership = state.membership();
  const bool is_even = membership.VoterCount() % 2 == 0;
  std::vector<DiskId> lost_voters;
  for (const Member& member : membership.members) {
    if (member.role != MemberRole::kVoter || member.disk == state.disk) {
      continue;
    }
    const MonotonicTime last_contact =
        this->progress_by_disk.at(member.disk).last_contact();
    const bool is_lost =
        state.now >= last_contact + state.settings.replace_after;
    // A voter that a spare has replaced is demoted even if it answers again.
    const bool is_replaced = is_even && this->replaced_voter == member.disk;
    if (is_lost || is_replaced) {
      lost_voters.push_back(member.disk);
    }
  }
  return lost_voters;
}

std::vector<DiskId> Leadership::SilentSpares(const ReplicaState& state,
                                             MonotonicTime now) const {
  std::vector<std::pair<MonotonicTime, DiskId>> silent;
  for (const Member& member : state.membership().members) {
    const auto progress = this->progress_by_disk.find(member.disk);
    if (member.role != MemberRole::kSpare ||
        progress == this->progress_by_disk.end()) {
      continue;
    }
    const MonotonicTime last_contact = progress->second.last_contact();
    if (now >= last_contact + state.settings.replace_after) {
      silent.emplace_back(last_contact, member.disk);
    }
  }
  std::sort(silent.begin(), silent.end());
  std::vector<DiskId> disks;
  disks.reserve(silent.size());
  for (auto& [last_contact, disk] : silent) {
    disks.push_back(std::move(disk));
  }
  return disks;
}

std::vector<DiskId> Leadership::CaughtUpSpares(
    const ReplicaState& state) const {
  std::vector<DiskId> caught_up;
  for (const Member& member : state.membership().members) {
    if (member.role == MemberRole::kSpare &&
        this->IsCaughtUp(state, member.disk)) {
      caught_up.push_back(member.disk);
    }
  }
  return caught_up;
}

void Leadership::ReplaceLostVoters(ReplicaState& state) {
  if (state.settings.replace_after == Duration::zero() ||
      !this->HasLease(state, state.now)) {
    return;
  }
  const std::vector<DiskId> lost_voters = this->LostVoters(state);
  const auto change = PlanMembershipChange(state.membership(), lost_voters,
                                           this->CaughtUpSpares(state),
                                           state.settings.target_voters);
  if (!change) {
    return;
  }
  const Proposal proposal =
      this->ChangeMembership(state, state.log.last_proposed_at(), *change);
  if (proposal.status != ProposeStatus::kProposed) {
    return;
  }
  if (change->member.role == MemberRole::kVoter && !lost_voters.empty()) {
    this->replaced_voter = lost_voters.front();
  } else {
    this->replaced_voter.reset();
  }
}

}  // namespace marigold::detail
