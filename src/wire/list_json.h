#ifndef SRC_WIRE_LIST_JSON_H_
#define SRC_WIRE_LIST_JSON_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "src/commands/control_commands.h"
#include "src/tables/list_edits.h"

namespace marigold {

// An error in a file with rows of a list.
struct ListFileError {
  // The line of the invalid or missing value, counted from 1.
  std::size_t line = 1;
  // The path of the value, such as "rows[2].rate".
  std::string field;
  // A description of the allowed values.
  std::string expected;
};

// The edit that a file describes, and all errors that can be found without
// knowing the current lists.
struct ListFile {
  PutRows edit;
  std::vector<ListFileError> errors;
};

// Reads an edit from a JSON object with the rows to add or replace in `rows`
// and, optionally, the keys of the rows to remove in `removed`. The edit that
// it returns has no change id and no version.
ListFile ReadListFile(ListKind list, std::string_view text);

// Finds the position of an error in the file. `text` is the file from which
// `ReadListFile` read the edit.
ListFileError LocateRowError(const RowError& error, std::string_view text);

// Encodes the rows and the version of one list as JSON that `ReadListFile`
// accepts.
std::string EncodeList(ListKind list, const Lists& lists);

// Encodes the outcome of an edit as JSON.
std::string EncodePutOutcome(const ChangeId& change,
                             const PutRowsOutcome& outcome);

}  // namespace marigold

#endif  // SRC_WIRE_LIST_JSON_H_
