#ifndef SRC_CORE_SETTINGS_H_
#define SRC_CORE_SETTINGS_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "src/core/settings_values.h"

namespace marigold {

// One setting: a flag `--name`, an environment variable `MARIGOLD_NAME`, a
// default and what is allowed. `assign` stores a value or says what is wrong.
struct SettingRow {
  std::string name;
  std::string default_text;
  // For people: the unit and the range or the form.
  std::string allowed;
  std::string help;
  std::function<std::optional<std::string>(std::string_view)> assign;
  // A switch takes no argument; its presence assigns "true".
  bool is_switch = false;
  // May be given several times, or once with commas.
  bool is_repeatable = false;
};

// What `ParseSettings` found.
struct SettingsOutcome {
  // The names, values and allowed forms of all settings that are wrong.
  std::vector<std::string> errors;
  // Words on the command line that are not flags.
  std::vector<std::string> arguments;
  bool help_requested = false;
  bool check_requested = false;
};

// The settings of one program, bound to the fields that they fill.
class SettingsTable {
 public:
  // `summary` is one or two sentences for `--help`.
  SettingsTable(std::string program, std::string summary);

  // A whole number in [low, high].
  void AddNumber(std::string name,
                 std::int64_t& field,
                 std::int64_t low,
                 std::int64_t high,
                 std::string unit,
                 std::string help);

  // A decimal number in [low, high].
  void AddDecimal(std::string name,
                  double& field,
                  double low,
                  double high,
                  std::string unit,
                  std::string help);

  // A span of time given as a whole number of milliseconds in [low, high].
  void AddMilliseconds(std::string name,
                       Duration& field,
                       std::int64_t low,
                       std::int64_t high,
                       std::string help);

  // Any text; `allowed` describes the form.
  void AddText(std::string name,
               std::string& field,
               std::string allowed,
               std::string help);

  // One of `choices`.
  void AddChoice(std::string name,
                 std::string& field,
                 std::vector<std::string> choices,
                 std::string help);

  // An IP number and a port, such as 127.0.0.1:8080.
  void AddEndpoint(std::string name, Endpoint& field, std::string help);

  // Several endpoints, separated by commas or given with several flags.
  void AddEndpoints(std::string name,
                    std::vector<Endpoint>& field,
                    std::string help);

  // A flag without an argument.
  void AddSwitch(std::string name, bool& field, std::string help);

  // A setting with its own parser.
  void AddRow(SettingRow row);

  const std::string& program() const { return this->program_name; }
  const std::string& summary() const { return this->program_summary; }
  const std::vector<SettingRow>& rows() const { return this->setting_rows; }

  // The text of `--help`.
  std::string Help() const;

  // The settings as a Markdown table for docs/OPERATIONS.md.
  std::string Markdown() const;

 private:
  std::string program_name;
  std::string program_summary;
  std::vector<SettingRow> setting_rows;
};

// The environment variable of a setting: "io-threads" is MARIGOLD_IO_THREADS.
std::string EnvironmentName(std::string_view name);

// Reads the environment, then the command line, which wins. Fields of wrong
// settings keep their values.
SettingsOutcome ParseSettings(SettingsTable& table, int argc, char** argv);

// What a main does with an outcome: prints the help, the result of `--check`
// or all errors, and gives the exit code; nothing if the program should run.
std::optional<int> ReportSettings(const SettingsTable& table,
                                  const SettingsOutcome& outcome);

}  // namespace marigold

#endif  // SRC_CORE_SETTINGS_H_
