#ifndef SRC_CTL_TEXT_TABLE_H_
#define SRC_CTL_TEXT_TABLE_H_

#include <string>
#include <vector>

namespace marigold::ctl {

// Rows of text in columns that are as wide as their widest value.
class TextTable {
 public:
  explicit TextTable(std::vector<std::string> header);

  void Add(std::vector<std::string> row);

  // Writes the table to standard output.
  void Print() const;

 private:
  std::vector<std::vector<std::string>> rows;
};

// "yes" or "no".
std::string YesNo(bool value);

}  // namespace marigold::ctl

#endif  // SRC_CTL_TEXT_TABLE_H_
