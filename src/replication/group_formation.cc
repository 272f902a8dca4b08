#include "src/replication/group_formation.h"

#include <algorithm>
#include <utility>

namespace marigold {

GroupFormation::GroupFormation(Member own_member,
                               const std::vector<Endpoint>& peers)
    : self(std::move(own_member)) {
  this->self.role = MemberRole::kVoter;
  for (const Endpoint& peer : peers) {
    if (peer != this->self.address) {
      this->introductions.emplace(peer, std::nullopt);
    }
  }
}

void GroupFormation::OnIntroduction(const Endpoint& peer,
                                    PeerIntroduction introduction) {
  const auto position = this->introductions.find(peer);
  if (position != this->introductions.end()) {
    position->second = std::move(introduction);
  }
}

std::optional<Membership> GroupFormation::InitialMembership() const {
  Membership formed{{this->self}};
  bool is_complete = true;
  for (const auto& [peer, introduction] : this->introductions) {
    if (introduction && !introduction->membership.members.empty()) {
      return introduction->membership.IsVoter(this->self.disk)
                 ? introduction->membership
                 : Membership();
    }
    if (introduction && introduction->is_forming) {
      formed.members.push_back(introduction->self);
      formed.members.back().role = MemberRole::kVoter;
    } else {
      is_complete = false;
    }
  }
  if (!is_complete) {
    return std::nullopt;
  }
  std::sort(formed.members.begin(), formed.members.end(),
            [](const Member& a, const Member& b) { return a.disk < b.disk; });
  return formed;
}

}  // namespace marigold
