#ifndef SRC_CTL_LIST_QUERIES_H_
#define SRC_CTL_LIST_QUERIES_H_

#include <optional>
#include <string>

#include "src/commands/control_commands.h"
#include "src/ctl/control_group.h"
#include "src/ctl/exit_code.h"
#include "src/tables/list_edits.h"

namespace marigold::ctl {

// Reads the lists from a leader in contact with a quorum.
RequestResult<ListsReply> FetchLists(ControlGroup& group);

// Returns the lists in a reply, or empty lists if it has none. A control VM
// does not send lists that have never been edited.
Lists ListsOf(const ListsReply& reply);

// Reads the rows of a file as an edit. If the file can't be read or has errors,
// prints them to standard error, those in rows with line numbers, and returns
// nothing.
std::optional<PutRows> ReadValidList(ListKind list, const std::string& file);

// Prints one list as a table, or as JSON in the format that `put` reads.
ExitCode GetList(ControlGroup& group, ListKind list, bool as_json);

// Validates a file without calling a control VM, and prints the errors. If
// `usage_file` is given, every plan that `file` refers to must be in it.
ExitCode CheckList(ListKind list,
                   const std::string& file,
                   const std::optional<std::string>& usage_file);

// Prints the rows that `put` would add, change or remove with this file.
ExitCode DiffList(ControlGroup& group,
                  ListKind list,
                  const std::string& file,
                  bool as_json);

}  // namespace marigold::ctl

#endif  // SRC_CTL_LIST_QUERIES_H_
