#ifndef SRC_REPLICATION_DETAIL_MEMBERSHIP_RULES_H_
#define SRC_REPLICATION_DETAIL_MEMBERSHIP_RULES_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "src/replication/types.h"

namespace marigold::detail {

// The membership after one change. Nothing if no group allows the change: a
// member is added only as a learner or spare, and the last voter stays.
std::optional<Membership> ApplyChange(const Membership& membership,
                                      const MembershipChange& change);

// The next single change that replaces a lost voter, or nothing if there is
// none to make. With an odd number of voters a ready spare is promoted first,
// and the lost voter is demoted after that: the voters that answer plus the
// spare make the larger quorum, so no step makes the group tolerate fewer
// further losses than before. `lost_voters` are voters, `ready_messages`
// spares. Without a lost voter, a ready spare is promoted while there are fewer
// than `target_voters` voters.
std::optional<MembershipChange> PlanRepair(
    const Membership& membership,
    const std::vector<DiskId>& lost_voters,
    const std::vector<DiskId>& caught_up_spares,
    std::size_t target_voters);

}  // namespace marigold::detail

#endif  // SRC_REPLICATION_DETAIL_MEMBERSHIP_RULES_H_
