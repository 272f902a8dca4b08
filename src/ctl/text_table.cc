#include "src/ctl/text_table.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace marigold::ctl {

TextTable::TextTable(std::vector<std::string> header) {
  this->rows.push_back(std::move(header));
}

void TextTable::Add(std::vector<std::string> row) {
  this->rows.push_back(std::move(row));
}

void TextTable::Print() const {
  std::vector<std::size_t> widths(this->rows.front().size());
  for (const auto& row : this->rows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  for (const auto& row : this->rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += fmt::format("{:<{}}  ", row[i], widths[i]);
    }
    line.erase(line.find_last_not_of(' ') + 1);
    fmt::print("{}\n", line);
  }
}

std::string YesNo(bool value) {
  return value ? "yes" : "no";
}

}  // namespace marigold::ctl
