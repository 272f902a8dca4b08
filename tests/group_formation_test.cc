#include "src/replication/group_formation.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <fmt/format.h>

#include <string>
#include <vector>

#include "tests/row_indices.h"

namespace marigold {

namespace {

Member MemberNamed(const std::string& disk, std::uint16_t port) {
  return {DiskId(disk), VmId(disk), {"127.0.0.1", port}, MemberRole::kVoter};
}

Membership Group(const std::vector<std::string>& disks) {
  Membership membership;
  for (const std::string& disk : disks) {
    membership.members.push_back(MemberNamed(disk, 9));
  }
  return membership;
}

struct FormationRow {
  const char* name;
  // The port of each peer that answers and its introduction, in the order of
  // arrival.
  std::vector<std::pair<std::uint16_t, PeerIntroduction>> introductions;
  // The disks of the initial voters, "-" if the membership is not determined
  // yet, and "" if this VM joins an existing group.
  const char* voters;
};

// Guards against a second group beside an existing one, formed either without a
// peer or by a VM whose peers are already in a group.
const FormationRow kFormationRows[] = {
    {"nobody has answered", {}, "-"},
    {"one peer is missing", {{2, {MemberNamed("b", 2), true, {}}}}, "-"},
    {"all peers are forming",
     {{2, {MemberNamed("b", 2), true, {}}},
      {3, {MemberNamed("c", 3), true, {}}}},
     "abc"},
    {"a peer is not forming yet",
     {{2, {MemberNamed("b", 2), false, {}}},
      {3, {MemberNamed("c", 3), true, {}}}},
     "-"},
    {"a peer has formed the group with this disk",
     {{2, {MemberNamed("b", 2), false, Group({"a", "b", "c"})}}},
     "abc"},
    {"a peer is in a group without this disk",
     {{2, {MemberNamed("b", 2), true, {}}},
      {3, {MemberNamed("c", 3), false, Group({"b", "c", "old"})}}},
     ""},
    {"a peer's disk is replaced while the group forms",
     {{2, {MemberNamed("b", 2), true, {}}},
      {2, {MemberNamed("d", 2), true, {}}},
      {3, {MemberNamed("c", 3), true, {}}}},
     "acd"},
    {"an unknown address answers", {{4, {MemberNamed("x", 4), true, {}}}}, "-"},
};

}  // namespace

ParameterizedTestParameters(GroupFormation, FindsTheInitialMembership) {
  return RowIndices(kFormationRows);
}

ParameterizedTest(std::size_t* index,
                  GroupFormation,
                  FindsTheInitialMembership) {
  const FormationRow& row = kFormationRows[*index];
  GroupFormation formation(
      MemberNamed("a", 1),
      {{"127.0.0.1", 1}, {"127.0.0.1", 2}, {"127.0.0.1", 3}});
  for (const auto& [port, introduction] : row.introductions) {
    formation.OnIntroduction({"127.0.0.1", port}, introduction);
  }
  const auto initial_membership = formation.InitialMembership();
  std::string voters = initial_membership ? "" : "-";
  for (const Member& member :
       initial_membership ? initial_membership->members : Group({}).members) {
    voters += member.disk.value();
  }
  cr_assert_eq(voters, std::string(row.voters),
               "%s: expected \"%s\", actual \"%s\"", row.name, row.voters,
               voters.c_str());
}

}  // namespace marigold
