#ifndef SRC_REPLICATION_GROUP_FORMATION_H_
#define SRC_REPLICATION_GROUP_FORMATION_H_

#include <map>
#include <optional>
#include <vector>

#include "src/replication/types.h"

namespace marigold {

// The state that a peer reports to a control VM that is in no group.
struct PeerIntroduction {
  Member self;
  // True if the peer is in no group either and waits for its peers.
  bool is_forming = false;
  // The membership of the peer's group. It is empty if the peer is in no group.
  Membership membership;
};

// Determines the initial membership of a control VM that starts with an empty
// disk and is to form a group with its peers. The group is formed only once
// every peer waits for it too. Otherwise, a VM that has lost its disk could
// form a second group beside the one that it belonged to.
class GroupFormation {
 public:
  // `peers` are the addresses of the initial voters. The address of
  // `own_member` may be among them.
  GroupFormation(Member own_member, const std::vector<Endpoint>& peers);

  // Commands.

  // Replaces an earlier introduction of the same peer. An introduction from an
  // unknown address is ignored.
  void OnIntroduction(const Endpoint& peer, PeerIntroduction introduction);

  // Queries.

  // Returns nothing while the introduction of a peer is missing or a peer does
  // not form a group yet. Returns an empty membership if the peers are in a
  // group without this disk, which this VM then joins.
  std::optional<Membership> InitialMembership() const;

 private:
  Member self;
  std::map<Endpoint, std::optional<PeerIntroduction>> introductions;
};

}  // namespace marigold

#endif  // SRC_REPLICATION_GROUP_FORMATION_H_
