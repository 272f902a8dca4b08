#ifndef SRC_WIRE_LIST_JSON_H_
#define SRC_WIRE_LIST_JSON_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "src/commands/control_commands.h"
#include "src/tables/list_edits.h"

namespace marigold {

// One thing that is wrong with a file of rows.
struct ListFileError {
  // Counted from 1.
  std::size_t line = 1;
  // Such as "rows[2].rate".
  std::string field;
  // What is allowed.
  std::string expected;
};

// A file of rows as an edit, with everything that is wrong with it by itself.
struct ListFile {
  PutRows edit;
  std::vector<ListFileError> errors;
};

// Reads the rows of one edit: an object with `rows`, and optionally `removed`,
// the keys of rows to remove. The edit has no change id and no version.
ListFile ReadListFile(ListKind list, std::string_view text);

// Where an error in an edit that `ReadListFile` read stands in the file.
ListFileError LocateRowError(const RowError& error, std::string_view text);

// The rows and the version of one list, in the form that `ReadListFile` takes.
std::string EncodeList(ListKind list, const Lists& lists);

// The answer to an edit.
std::string EncodePutOutcome(const ChangeId& change,
                             const PutRowsOutcome& outcome);

}  // namespace marigold

#endif  // SRC_WIRE_LIST_JSON_H_
