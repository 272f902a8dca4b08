#ifndef SRC_REPLICATION_ADMISSION_H_
#define SRC_REPLICATION_ADMISSION_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "src/replication/types.h"

namespace marigold {

// The maximum number of members of a group, the spares and learners included.
// The design reserves at most this number of VMs for control.
inline constexpr std::size_t kMaxMembers = 13;

// Returns the next change that admits `newcomer` to the group, or nothing if no
// change is due or possible. It joins as a spare or learner.
//
// Another disk that is listed at the newcomer's address has been replaced and
// is removed first, unless it is still a voter. If the group is full, the first
// of `silent_spares` is removed: a VM that was replaced by one at another
// address stays a spare, and would use up the group otherwise.
std::optional<MembershipChange> PlanAdmission(
    const Membership& membership,
    const Member& newcomer,
    const std::vector<DiskId>& silent_spares);

}  // namespace marigold

#endif  // SRC_REPLICATION_ADMISSION_H_
