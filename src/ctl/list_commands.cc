#include "src/ctl/list_commands.h"

#include <fmt/format.h>

#include <utility>
#include <variant>

#include "src/core/random.h"
#include "src/ctl/list_queries.h"
#include "src/wire/list_json.h"

namespace marigold::ctl {

namespace {

ChangeId NewChangeId() {
  return ChangeId(fmt::format("{:016x}{:016x}", SystemSeed(), SystemSeed()));
}

ExitCode ReportOutcome(const ChangeId& change, const PutRowsOutcome& outcome) {
  fmt::print("{}\n", EncodePutOutcome(change, outcome));
  if (outcome.accepted) {
    return ExitCode::kDone;
  }
  return outcome.execution == Execution::kDidNotRun ? ExitCode::kRefused
                                                    : ExitCode::kMayHaveRun;
}

std::optional<Refusal> RefusalOf(const SubmitReply& reply) {
  const auto* refusal = std::get_if<Refusal>(&reply.outcome);
  return refusal == nullptr ? std::nullopt : std::optional(*refusal);
}

}  // namespace

ExitCode PutList(ControlGroup& group, const PutOptions& options) {
  auto edit = ReadValidList(options.list, options.file);
  if (!edit) {
    return ExitCode::kRefused;
  }
  edit->change = options.change ? *options.change : NewChangeId();
  if (options.expected_version) {
    edit->expected = *options.expected_version;
  } else {
    const auto lists_result = FetchLists(group);
    if (!lists_result.reply) {
      return ReportFailure(lists_result);
    }
    edit->expected = VersionOf(ListsOf(*lists_result.reply), options.list);
  }
  fmt::print(stderr,
             "marigoldctl: sending the change; to resend it, add "
             "--change-id={} --expected={}\n",
             edit->change.value(), edit->expected.value());
  const auto result =
      group.CallUntilAccepted<SubmitReply>(Submit{CallId(1), *edit}, RefusalOf);
  if (!result.reply) {
    return ReportFailure(result);
  }
  return ReportOutcome(edit->change,
                       std::get<PutRowsOutcome>(
                           std::get<ControlOutcome>(result.reply->outcome)));
}

}  // namespace marigold::ctl
