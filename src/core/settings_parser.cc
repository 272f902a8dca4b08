#include <fmt/format.h>
#include <getopt.h>

#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "src/core/settings.h"

namespace marigold {

namespace {

// Values that `getopt_long` returns for the options. The settings have
// consecutive values from `kFirstSettingOption` on.
constexpr int kHelpOption = 1;
constexpr int kCheckOption = 2;
constexpr int kMarkdownOption = 3;
constexpr int kFirstSettingOption = 1000;
constexpr int kExitUsage = 2;

void Assign(const SettingRow& row,
            std::string_view source,
            std::string_view value,
            SettingsOutcome& outcome) {
  if (const auto error = row.assign(value)) {
    outcome.errors.push_back(
        fmt::format("setting {}: value \"{}\": {}", source, value, *error));
  }
}

void ReadEnvironment(const SettingsTable& table, SettingsOutcome& outcome) {
  for (const SettingRow& row : table.rows()) {
    const std::string name = EnvironmentName(row.name);
    if (const char* value = std::getenv(name.c_str())) {
      Assign(row, name, value, outcome);
    }
  }
}

std::vector<option> MakeOptions(const SettingsTable& table) {
  std::vector<option> options;
  int code = kFirstSettingOption;
  for (const SettingRow& row : table.rows()) {
    const int argument = row.is_switch ? no_argument : required_argument;
    options.push_back({row.name.c_str(), argument, nullptr, code++});
  }
  options.push_back({"help", no_argument, nullptr, kHelpOption});
  options.push_back({"check", no_argument, nullptr, kCheckOption});
  options.push_back({"help-markdown", no_argument, nullptr, kMarkdownOption});
  options.push_back({nullptr, 0, nullptr, 0});
  return options;
}

void HandleOption(int code,
                  const char* flag,
                  const SettingsTable& table,
                  SettingsOutcome& outcome) {
  if (code >= kFirstSettingOption) {
    const SettingRow& row =
        table.rows()[static_cast<std::size_t>(code - kFirstSettingOption)];
    Assign(row, "--" + row.name, row.is_switch ? "true" : optarg, outcome);
    return;
  }
  switch (code) {
    case kHelpOption:
      outcome.help_requested = true;
      break;
    case kCheckOption:
      outcome.check_requested = true;
      break;
    case kMarkdownOption:
      fmt::print("{}", table.Markdown());
      std::exit(0);
    case ':':
      outcome.errors.push_back(fmt::format("flag {}: expected a value", flag));
      break;
    default:
      outcome.errors.push_back(fmt::format(
          "flag {}: unknown, or a value where none is taken; see --help",
          flag));
  }
}

}  // namespace

SettingsOutcome ParseSettings(SettingsTable& table, int argc, char** argv) {
  SettingsOutcome outcome;
  ReadEnvironment(table, outcome);
  const std::vector<option> options = MakeOptions(table);
  optind = 0;
  opterr = 0;
  while (true) {
    const int argument_index = optind == 0 ? 1 : optind;
    const int code = getopt_long(argc, argv, ":", options.data(), nullptr);
    if (code == -1) {
      break;
    }
    HandleOption(code, argument_index < argc ? argv[argument_index] : "", table,
                 outcome);
  }
  for (int i = optind; i < argc; ++i) {
    outcome.arguments.emplace_back(argv[i]);
  }
  return outcome;
}

std::optional<int> ReportSettings(const SettingsTable& table,
                                  const SettingsOutcome& outcome) {
  if (outcome.help_requested) {
    fmt::print("{}", table.Help());
    return 0;
  }
  for (const std::string& error : outcome.errors) {
    fmt::print(stderr, "{}: {}\n", table.program(), error);
  }
  if (!outcome.errors.empty()) {
    return kExitUsage;
  }
  if (outcome.check_requested) {
    fmt::print("{}: settings are valid\n", table.program());
    return 0;
  }
  return std::nullopt;
}

}  // namespace marigold
