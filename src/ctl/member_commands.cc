#include "src/ctl/member_commands.h"

#include <fmt/format.h>

namespace marigold::ctl {

ExitCode ChangeMember(ControlGroup& group, const MembershipChange& change) {
  const auto result = group.CallUntilAccepted<ChangeMembersReply>(
      ChangeMembers{CallId(1), change},
      [](const ChangeMembersReply& reply) { return reply.refusal; });
  if (!result.reply) {
    return ReportFailure(result);
  }
  fmt::print("done\n");
  return ExitCode::kDone;
}

ExitCode AddMember(ControlGroup& group,
                   const Endpoint& address,
                   MemberRole role) {
  CallFailure failure = CallFailure::kNotConnected;
  const auto reply = group.Call(address, ReadStatus{CallId(1)}, failure);
  const auto* status = reply ? std::get_if<StatusReply>(&*reply) : nullptr;
  if (status == nullptr) {
    fmt::print(stderr, "marigoldctl: no control VM replied at {}\n",
               ToString(address));
    return ExitCode::kUnreachable;
  }
  MembershipChange change{MembershipChange::Kind::kAdd, status->status.self};
  change.member.role = role;
  return ChangeMember(group, change);
}

}  // namespace marigold::ctl
