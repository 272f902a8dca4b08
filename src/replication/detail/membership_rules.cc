#include "src/replication/detail/membership_rules.h"

#include <algorithm>

namespace marigold::detail {

namespace {

MembershipChange RoleChange(const Membership& membership,
                            const DiskId& disk,
                            MemberRole role) {
  Member member = *membership.Find(disk);
  member.role = role;
  return {MembershipChange::Kind::kSetRole, std::move(member)};
}

}  // namespace

std::optional<Membership> ApplyChange(const Membership& membership,
                                      const MembershipChange& change) {
  using Kind = MembershipChange::Kind;
  Membership next = membership;
  const DiskId& disk = change.member.disk;
  const auto position =
      std::find_if(next.members.begin(), next.members.end(),
                   [&](const Member& member) { return member.disk == disk; });
  const bool is_member = position != next.members.end();
  if (change.kind == Kind::kAdd) {
    if (is_member || disk.value().empty() ||
        change.member.role == MemberRole::kVoter) {
      return std::nullopt;
    }
    next.members.push_back(change.member);
    return next;
  }
  if (!is_member) {
    return std::nullopt;
  }
  if (change.kind == Kind::kRemove) {
    next.members.erase(position);
  } else if (position->role == change.member.role) {
    return std::nullopt;
  } else {
    position->role = change.member.role;
  }
  if (next.VoterCount() == 0) {
    return std::nullopt;
  }
  return next;
}

std::optional<MembershipChange> PlanMembershipChange(
    const Membership& membership,
    const std::vector<DiskId>& lost_voters,
    const std::vector<DiskId>& caught_up_spares,
    std::size_t target_voters) {
  if (lost_voters.empty()) {
    if (caught_up_spares.empty() || membership.VoterCount() >= target_voters) {
      return std::nullopt;
    }
    return RoleChange(membership, caught_up_spares.front(), MemberRole::kVoter);
  }
  if (membership.VoterCount() % 2 == 0) {
    return RoleChange(membership, lost_voters.front(), MemberRole::kSpare);
  }
  if (caught_up_spares.empty()) {
    return std::nullopt;
  }
  return RoleChange(membership, caught_up_spares.front(), MemberRole::kVoter);
}

}  // namespace marigold::detail
