// marigoldctl, the operators' command-line client of the control group.

#include <fmt/format.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "src/core/log.h"
#include "src/core/settings.h"
#include "src/ctl/control_group.h"
#include "src/ctl/customer_queries.h"
#include "src/ctl/group_queries.h"
#include "src/ctl/list_commands.h"
#include "src/ctl/list_queries.h"
#include "src/ctl/member_commands.h"

namespace marigold::ctl {

namespace {

constexpr char kUsage[] =
    "Commands:\n"
    "  get plans|usage                 print a list with its version\n"
    "  check plans|usage FILE [USAGE]  validate a file without a control VM;\n"
    "                                  plans are looked up in USAGE\n"
    "  diff plans|usage FILE           print what putting a file would change\n"
    "  put plans|usage FILE            edit a list\n"
    "  history                         print the latest edits\n"
    "  customers                       print customers, without their keys\n"
    "  status                          print control VMs, members, entry VMs\n"
    "  dump                            print all of that as JSON\n"
    "  member add IP:PORT [learner]    add a control VM as a spare or learner\n"
    "  member remove DISK              remove a member\n"
    "  member promote|demote|spare DISK  make it a voter, learner or spare\n"
    "Exit codes: 0 done; 1 refused, did not run; 2 usage; 3 may have run,\n"
    "resend with the same change id; 4 no control VM reached, did not run.\n";

struct CtlSettings {
  std::vector<Endpoint> controls = {{"127.0.0.1", 7100}};
  std::string change_id;
  std::int64_t expected_version = -1;
  std::int64_t history_limit = 100;
  bool prints_json = false;
  Duration timeout = std::chrono::seconds(5);
};

SettingsTable MakeTable(CtlSettings& settings) {
  SettingsTable table("marigoldctl", kUsage);
  table.AddEndpoints("controls", settings.controls, "The control VMs.");
  table.AddText("change-id", settings.change_id, "up to 128 bytes",
                "Identifies an edit; give it again to resend the edit.");
  table.AddNumber("expected", settings.expected_version, -1, 1'000'000'000,
                  "version",
                  "The version that was edited; -1 reads the current one.");
  table.AddNumber("limit", settings.history_limit, 1, 1'000, "edits",
                  "Edits that history prints.");
  table.AddSwitch("json", settings.prints_json,
                  "Print JSON instead of tables.");
  table.AddMilliseconds("timeout-ms", settings.timeout, 10, 60'000,
                        "For the whole command.");
  return table;
}

std::optional<ListKind> ParseListKind(const std::string& name) {
  if (name == "plans") {
    return ListKind::kPlans;
  }
  if (name == "usage") {
    return ListKind::kUsage;
  }
  return std::nullopt;
}

std::optional<MembershipChange> ParseMemberChange(
    const std::vector<std::string>& arguments) {
  MembershipChange change;
  change.kind = MembershipChange::Kind::kSetRole;
  change.member.disk = DiskId(arguments[2]);
  if (arguments[1] == "remove") {
    change.kind = MembershipChange::Kind::kRemove;
  } else if (arguments[1] == "promote") {
    change.member.role = MemberRole::kVoter;
  } else if (arguments[1] == "demote") {
    change.member.role = MemberRole::kLearner;
  } else if (arguments[1] == "spare") {
    change.member.role = MemberRole::kSpare;
  } else {
    return std::nullopt;
  }
  return change;
}

PutOptions ToPutOptions(const CtlSettings& settings,
                        ListKind list,
                        const std::string& file) {
  PutOptions options;
  options.list = list;
  options.file = file;
  if (!settings.change_id.empty()) {
    options.change = ChangeId(settings.change_id);
  }
  if (settings.expected_version >= 0) {
    options.expected_version =
        ListVersion(static_cast<std::uint64_t>(settings.expected_version));
  }
  return options;
}

// Each of the following functions runs one group of commands. It returns
// nothing if `arguments` are not a valid command of its group.

std::optional<ExitCode> RunListCommand(
    const CtlSettings& settings,
    const std::vector<std::string>& arguments) {
  const auto list = arguments.size() > 1 ? ParseListKind(arguments[1])
                                         : std::optional<ListKind>();
  if (!list) {
    return std::nullopt;
  }
  const bool has_file = arguments.size() == 3;
  if (arguments[0] == "check" && (has_file || arguments.size() == 4)) {
    return CheckList(*list, arguments[2],
                     has_file ? std::nullopt : std::optional(arguments[3]));
  }
  ControlGroup group(settings.controls, settings.timeout);
  if (arguments[0] == "get" && arguments.size() == 2) {
    return GetList(group, *list, settings.prints_json);
  }
  if (arguments[0] == "diff" && has_file) {
    return DiffList(group, *list, arguments[2], settings.prints_json);
  }
  if (arguments[0] == "put" && has_file) {
    return PutList(group, ToPutOptions(settings, *list, arguments[2]));
  }
  return std::nullopt;
}

std::optional<ExitCode> RunMemberCommand(
    const CtlSettings& settings,
    const std::vector<std::string>& arguments) {
  if (arguments.size() < 3 || arguments[0] != "member") {
    return std::nullopt;
  }
  ControlGroup group(settings.controls, settings.timeout);
  if (arguments[1] == "add") {
    const auto address = ParseEndpoint(arguments[2]);
    const bool is_learner = arguments.size() == 4 && arguments[3] == "learner";
    if (!address || (arguments.size() > 3 && !is_learner)) {
      return std::nullopt;
    }
    return AddMember(group, *address,
                     is_learner ? MemberRole::kLearner : MemberRole::kSpare);
  }
  const auto change = ParseMemberChange(arguments);
  return change && arguments.size() == 3
             ? std::optional(ChangeMember(group, *change))
             : std::nullopt;
}

std::optional<ExitCode> RunGroupCommand(
    const CtlSettings& settings,
    const std::vector<std::string>& arguments) {
  if (arguments.size() != 1) {
    return std::nullopt;
  }
  ControlGroup group(settings.controls, settings.timeout);
  if (arguments[0] == "history") {
    return PrintHistory(group,
                        static_cast<std::uint64_t>(settings.history_limit),
                        settings.prints_json);
  }
  if (arguments[0] == "customers") {
    return PrintCustomers(group, settings.prints_json);
  }
  if (arguments[0] == "status") {
    return PrintStatus(group, settings.prints_json);
  }
  if (arguments[0] == "dump") {
    return PrintDump(group);
  }
  return std::nullopt;
}

ExitCode Run(const CtlSettings& settings,
             const std::vector<std::string>& arguments) {
  SetLogLevel(LogLevel::kOff);
  for (const auto run_command :
       {RunListCommand, RunMemberCommand, RunGroupCommand}) {
    if (arguments.empty()) {
      break;
    }
    if (const auto code = run_command(settings, arguments)) {
      return *code;
    }
  }
  fmt::print(stderr, "{}", kUsage);
  return ExitCode::kUsage;
}

}  // namespace

}  // namespace marigold::ctl

int main(int argc, char** argv) {
  marigold::ctl::CtlSettings settings;
  marigold::SettingsTable table = marigold::ctl::MakeTable(settings);
  const auto outcome = marigold::ParseSettings(table, argc, argv);
  if (const auto code = marigold::ReportSettings(table, outcome)) {
    return *code;
  }
  return static_cast<int>(marigold::ctl::Run(settings, outcome.arguments));
}
