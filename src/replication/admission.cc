#include "src/replication/admission.h"

#include <algorithm>

namespace marigold {

namespace {

using Kind = MembershipChange::Kind;

bool IsReplaced(const Member& old, const Member& newcomer) {
  return old.address == newcomer.address && old.disk != newcomer.disk &&
         old.role != MemberRole::kVoter;
}

}  // namespace

std::optional<MembershipChange> PlanAdmission(
    const Membership& membership,
    const Member& newcomer,
    const std::vector<DiskId>& silent_spares) {
  const auto replaced = std::find_if(
      membership.members.begin(), membership.members.end(),
      [&](const Member& old) { return IsReplaced(old, newcomer); });
  if (replaced != membership.members.end()) {
    return MembershipChange{Kind::kRemove, *replaced};
  }
  if (membership.Find(newcomer.disk) != nullptr) {
    return std::nullopt;
  }
  if (membership.members.size() >= kMaxMembers) {
    const Member* silent = silent_spares.empty()
                               ? nullptr
                               : membership.Find(silent_spares.front());
    return silent == nullptr
               ? std::nullopt
               : std::optional(MembershipChange{Kind::kRemove, *silent});
  }
  MembershipChange change{Kind::kAdd, newcomer};
  if (change.member.role == MemberRole::kVoter) {
    change.member.role = MemberRole::kSpare;
  }
  return change;
}

}  // namespace marigold
