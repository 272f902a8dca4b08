#ifndef SRC_CTL_TEXT_TABLE_H_
#define SRC_CTL_TEXT_TABLE_H_

#include <string>
#include <vector>

namespace marigold::ctl {

// A table of text whose columns are as wide as their widest cell.
class TextTable {
 public:
  explicit TextTable(std::vector<std::string> header);

  // Adds a row with at most as many cells as the header has.
  void Add(std::vector<std::string> row);

  // Writes the table to standard output, beginning with the header.
  void Print() const;

 private:
  std::vector<std::vector<std::string>> rows;
};

// Returns "yes" or "no".
std::string YesNo(bool value);

}  // namespace marigold::ctl

#endif  // SRC_CTL_TEXT_TABLE_H_
