#ifndef SRC_REPLICATION_DETAIL_MEMBERSHIP_RULES_H_
#define SRC_REPLICATION_DETAIL_MEMBERSHIP_RULES_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "src/replication/types.h"

namespace marigold::detail {

// Returns the membership after one change, or nothing if the change is not
// allowed. A new member must be a learner or a spare, any other change must
// alter an existing member, and at least one voter must remain.
std::optional<Membership> ApplyChange(const Membership& membership,
                                      const MembershipChange& change);

// Returns the next single change that replaces a lost voter, or nothing if no
// change is due. If the number of voters is odd, a caught-up spare is promoted
// first and the lost voter is demoted after that. The responsive voters and the
// spare are a quorum of the larger group, so no step makes the group tolerate
// fewer further losses than before. Without a lost voter, a caught-up spare is
// promoted while there are fewer than `target_voters` voters.
//
// `lost_voters` are voters, `caught_up_spares` are spares.
std::optional<MembershipChange> PlanMembershipChange(
    const Membership& membership,
    const std::vector<DiskId>& lost_voters,
    const std::vector<DiskId>& caught_up_spares,
    std::size_t target_voters);

}  // namespace marigold::detail

#endif  // SRC_REPLICATION_DETAIL_MEMBERSHIP_RULES_H_
