#ifndef SRC_REPLICATION_GROUP_FORMATION_H_
#define SRC_REPLICATION_GROUP_FORMATION_H_

#include <map>
#include <optional>
#include <vector>

#include "src/replication/types.h"

namespace marigold {

// What a peer says of itself to a control VM that is in no group.
struct PeerIntroduction {
  Member self;
  // It is in no group either and waits for its peers.
  bool is_forming = false;
  // Empty if it is in no group.
  Membership membership;
};

// Finds the first membership of a control VM that starts with an empty disk and
// is to form a group with its peers. A group forms only when every peer waits
// for it too, so that a VM that has lost its disk never forms a second group
// beside the one that it was in.
class GroupFormation {
 public:
  // `peers` are the addresses of the other first voters.
  GroupFormation(Member own_member, const std::vector<Endpoint>& peers);

  // Commands.

  void OnIntroduction(const Endpoint& peer, PeerIntroduction introduction);

  // Queries.

  // Nothing while peers are missing. Empty if the peers are in a group without
  // this disk, which this VM then joins.
  std::optional<Membership> InitialMembership() const;

 private:
  Member self;
  std::map<Endpoint, std::optional<PeerIntroduction>> introductions;
};

}  // namespace marigold

#endif  // SRC_REPLICATION_GROUP_FORMATION_H_
