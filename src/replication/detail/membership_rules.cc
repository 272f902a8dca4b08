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
  const bool known = position != next.members.end();
  if (change.kind == Kind::kAdd) {
    if (known || disk.value().empty() ||
        change.member.role == MemberRole::kVoter) {
      return std::nullopt;
    }
    next.members.push_back(change.member);
    return next;
  }
  if (!known) {
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

std::optional<MembershipChange> PlanRepair(const Membership& membership,
                                           const std::vector<DiskId>& lost,
                                           const std::vector<DiskId>& ready,
                                           std::size_t wanted) {
  if (lost.empty()) {
    if (ready.empty() || membership.VoterCount() >= wanted) {
      return std::nullopt;
    }
    return RoleChange(membership, ready.front(), MemberRole::kVoter);
  }
  if (membership.VoterCount() % 2 == 0) {
    return RoleChange(membership, lost.front(), MemberRole::kSpare);
  }
  if (ready.empty()) {
    return std::nullopt;
  }
  return RoleChange(membership, ready.front(), MemberRole::kVoter);
}

}  // namespace marigold::detail
