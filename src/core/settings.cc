#include "src/core/settings.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <iterator>

namespace marigold {

namespace {

using AssignError = std::optional<std::string>;

std::string JoinEndpoints(const std::vector<Endpoint>& endpoints) {
  std::string text;
  for (const Endpoint& endpoint : endpoints) {
    text += text.empty() ? "" : ",";
    text += ToString(endpoint);
  }
  return text;
}

}  // namespace

SettingsTable::SettingsTable(std::string program, std::string summary)
    : program_name(std::move(program)), program_summary(std::move(summary)) {}

void SettingsTable::AddNumber(std::string name,
                              std::int64_t& field,
                              std::int64_t low,
                              std::int64_t high,
                              std::string unit,
                              std::string help) {
  std::string allowed = fmt::format("{} {} to {}", unit, low, high);
  auto assign = [&field, low, high, allowed](std::string_view text) {
    const auto value = ParseWholeNumber(text);
    if (!value || *value < low || *value > high) {
      return AssignError("expected " + allowed);
    }
    field = *value;
    return AssignError();
  };
  this->AddRow({std::move(name), std::to_string(field), allowed,
                std::move(help), assign});
}

void SettingsTable::AddDecimal(std::string name,
                               double& field,
                               double low,
                               double high,
                               std::string unit,
                               std::string help) {
  std::string allowed = fmt::format("{} {} to {}", unit, low, high);
  auto assign = [&field, low, high, allowed](std::string_view text) {
    const auto value = ParseDecimalNumber(text);
    if (!value || *value < low || *value > high) {
      return AssignError("expected " + allowed);
    }
    field = *value;
    return AssignError();
  };
  this->AddRow({std::move(name), fmt::format("{}", field), allowed,
                std::move(help), assign});
}

void SettingsTable::AddMilliseconds(std::string name,
                                    Duration& field,
                                    std::int64_t low,
                                    std::int64_t high,
                                    std::string help) {
  std::string allowed = fmt::format("ms {} to {}", low, high);
  const auto whole =
      std::chrono::duration_cast<std::chrono::milliseconds>(field);
  auto assign = [&field, low, high, allowed](std::string_view text) {
    const auto value = ParseWholeNumber(text);
    if (!value || *value < low || *value > high) {
      return AssignError("expected " + allowed);
    }
    field = std::chrono::milliseconds(*value);
    return AssignError();
  };
  this->AddRow({std::move(name), std::to_string(whole.count()), allowed,
                std::move(help), assign});
}

void SettingsTable::AddText(std::string name,
                            std::string& field,
                            std::string allowed,
                            std::string help) {
  auto assign = [&field, allowed](std::string_view text) {
    if (text.empty()) {
      return AssignError("expected " + allowed);
    }
    field = std::string(text);
    return AssignError();
  };
  this->AddRow({std::move(name), field, allowed, std::move(help), assign});
}

void SettingsTable::AddChoice(std::string name,
                              std::string& field,
                              std::vector<std::string> choices,
                              std::string help) {
  std::string allowed;
  for (const std::string& choice : choices) {
    allowed += (allowed.empty() ? "" : "|") + choice;
  }
  auto assign = [&field, choices, allowed](std::string_view text) {
    if (std::find(choices.begin(), choices.end(), text) == choices.end()) {
      return AssignError("expected " + allowed);
    }
    field = std::string(text);
    return AssignError();
  };
  this->AddRow({std::move(name), field, allowed, std::move(help), assign});
}

void SettingsTable::AddEndpoint(std::string name,
                                Endpoint& field,
                                std::string help) {
  auto assign = [&field](std::string_view text) {
    const auto endpoint = ParseEndpoint(text);
    if (!endpoint) {
      return AssignError("expected IP:PORT");
    }
    field = *endpoint;
    return AssignError();
  };
  std::string default_text = field.port == 0 ? "" : ToString(field);
  this->AddRow({std::move(name), std::move(default_text), "IP:PORT",
                std::move(help), assign});
}

void SettingsTable::AddEndpoints(std::string name,
                                 std::vector<Endpoint>& field,
                                 std::string help) {
  auto assign = [&field,
                 is_default_replaced = false](std::string_view text) mutable {
    std::vector<Endpoint> parsed;
    for (const std::string& part : Split(text, ',')) {
      const auto endpoint = ParseEndpoint(part);
      if (!endpoint) {
        return AssignError("expected IP:PORT[,IP:PORT...]");
      }
      parsed.push_back(*endpoint);
    }
    if (!is_default_replaced) {
      field.clear();
      is_default_replaced = true;
    }
    field.insert(field.end(), parsed.begin(), parsed.end());
    return AssignError();
  };
  SettingRow row{std::move(name), JoinEndpoints(field), "IP:PORT[,IP:PORT...]",
                 std::move(help), assign};
  row.is_repeatable = true;
  this->AddRow(std::move(row));
}

void SettingsTable::AddSwitch(std::string name, bool& field, std::string help) {
  auto assign = [&field](std::string_view text) {
    if (text != "true" && text != "false") {
      return AssignError("expected true or false");
    }
    field = text == "true";
    return AssignError();
  };
  SettingRow row{std::move(name), field ? "true" : "false", "true|false",
                 std::move(help), assign};
  row.is_switch = true;
  this->AddRow(std::move(row));
}

void SettingsTable::AddRow(SettingRow row) {
  this->setting_rows.push_back(std::move(row));
}

std::string SettingsTable::Help() const {
  std::string text = fmt::format("Usage: {} [flags]\n{}\n\n", this->program(),
                                 this->summary());
  text +=
      "Every flag can also be set by the environment variable shown; the flag "
      "wins.\n\n";
  for (const SettingRow& row : this->rows()) {
    fmt::format_to(std::back_inserter(text),
                   "  --{}{}\n      {}\n      {}; default {}; {}\n", row.name,
                   row.is_switch ? "" : "=VALUE", row.help, row.allowed,
                   row.default_text.empty() ? "none" : row.default_text,
                   EnvironmentName(row.name));
  }
  text += "  --check\n      Validate all settings and exit.\n";
  text += "  --help\n      Print this text and exit.\n";
  return text;
}

std::string SettingsTable::Markdown() const {
  std::string text = fmt::format(
      "| `{}` flag | environment variable | allowed | default | meaning |\n"
      "| --- | --- | --- | --- | --- |\n",
      this->program());
  for (const SettingRow& row : this->rows()) {
    std::string allowed = row.allowed;
    for (std::size_t position = 0;
         (position = allowed.find('|', position)) != std::string::npos;
         position += 2) {
      allowed.insert(position, "\\");
    }
    fmt::format_to(
        std::back_inserter(text), "| `--{}` | `{}` | {} | {} | {} |\n",
        row.name, EnvironmentName(row.name), allowed,
        row.default_text.empty() ? "none" : row.default_text, row.help);
  }
  return text;
}

std::string EnvironmentName(std::string_view name) {
  std::string text = "MARIGOLD_";
  for (char c : name) {
    text +=
        c == '-'
            ? '_'
            : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
  }
  return text;
}

}  // namespace marigold
