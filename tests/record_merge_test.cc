#include <criterion/criterion.h>

#include <string>
#include <string_view>
#include <vector>

#include "src/policy/record_merge.h"
#include "tests/row_indices.h"

namespace marigold {

namespace {

// Returns one record for each letter, which consists of 16 times this letter.
std::string Records(std::string_view letters) {
  std::string bytes;
  for (const char letter : letters) {
    bytes.append(kRecordBytes, letter);
  }
  return bytes;
}

struct MergeRow {
  std::vector<const char*> parts;
  std::size_t max_records;
  const char* expected;
};

const MergeRow kMergeRows[] = {
    {{"acb", "bd"}, 3, "dcb"},
    {{"aa", "a"}, 5, "aaa"},
    {{"a", "z", "m"}, 1, "z"},
    {{"", "b"}, 2, "b"},
    {{}, 3, ""},
    {{"abc"}, 0, ""},
    // Bytes are compared as unsigned values.
    {{"a\xff", "z"}, 2, "\xffz"},
};

}  // namespace

ParameterizedTestParameters(RecordMerge, GreatestRecordsComeFirst) {
  return RowIndices(kMergeRows);
}

// Guards against a merged answer in which records of a part are lost,
// duplicated or in the wrong order.
ParameterizedTest(std::size_t* index, RecordMerge, GreatestRecordsComeFirst) {
  const MergeRow& row = kMergeRows[*index];
  std::vector<std::string> bodies;
  for (const char* part : row.parts) {
    bodies.push_back(Records(part));
  }
  const std::vector<std::string_view> parts(bodies.begin(), bodies.end());
  const std::string actual = MergeRecords(parts, row.max_records);
  cr_assert(actual == Records(row.expected), "row %zu: actual %zu bytes %s",
            *index, actual.size(), actual.c_str());
}

// Guards against a record that is built from the trailing bytes of a part, or
// from bytes of two parts.
Test(RecordMerge, IncompleteRecordIsIgnored) {
  const std::string part = Records("a") + "zzz";
  const std::string_view parts[] = {part};
  cr_assert(MergeRecords(parts, 5) == Records("a"));
}

}  // namespace marigold
