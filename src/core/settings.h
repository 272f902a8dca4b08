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
// default and a description of the allowed values.
struct SettingRow {
  std::string name;
  std::string default_text;
  // The unit and range of a number or the form of a text, for help texts and
  // errors.
  std::string allowed;
  std::string help;
  // Stores a value, or returns an error message if the value is invalid.
  std::function<std::optional<std::string>(std::string_view)> assign;
  // A switch takes no argument; its presence assigns "true".
  bool is_switch = false;
  // The flag may be given several times, or once with values separated by
  // commas.
  bool is_repeatable = false;
};

// The result of `ParseSettings`.
struct SettingsOutcome {
  // One message for each invalid setting, with its name, its value and the
  // allowed values.
  std::vector<std::string> errors;
  // Arguments on the command line that are not flags.
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

  // A duration, given as a whole number of milliseconds in [low, high].
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

  // An IPv4 address and a port, such as 127.0.0.1:8080.
  void AddEndpoint(std::string name, Endpoint& field, std::string help);

  // A list of endpoints, separated by commas or given with several flags.
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

// Reads the environment, then the command line, which takes precedence. Fields
// of invalid settings keep their values.
SettingsOutcome ParseSettings(SettingsTable& table, int argc, char** argv);

// Prints the help, all errors or the result of `--check`, and returns the exit
// code for `main`. Returns nothing if the program should run.
std::optional<int> ReportSettings(const SettingsTable& table,
                                  const SettingsOutcome& outcome);

}  // namespace marigold

#endif  // SRC_CORE_SETTINGS_H_
