#include "src/replication/types.h"

#include <algorithm>

namespace marigold {

std::string_view ToString(MemberRole role) {
  switch (role) {
    case MemberRole::kVoter:
      return "voter";
    case MemberRole::kLearner:
      return "learner";
    case MemberRole::kSpare:
      return "spare";
  }
  return "unknown";
}

const Member* Membership::Find(const DiskId& disk) const {
  for (const Member& member : this->members) {
    if (member.disk == disk) {
      return &member;
    }
  }
  return nullptr;
}

bool Membership::IsVoter(const DiskId& disk) const {
  const Member* member = this->Find(disk);
  return member != nullptr && member->role == MemberRole::kVoter;
}

std::size_t Membership::VoterCount() const {
  return static_cast<std::size_t>(std::count_if(
      this->members.begin(), this->members.end(),
      [](const Member& member) { return member.role == MemberRole::kVoter; }));
}

std::size_t Membership::QuorumSize() const {
  return this->VoterCount() / 2 + 1;
}

}  // namespace marigold
