#ifndef SRC_CTL_LIST_QUERIES_H_
#define SRC_CTL_LIST_QUERIES_H_

#include <optional>
#include <string>

#include "src/commands/control_commands.h"
#include "src/ctl/control_group.h"
#include "src/ctl/exit_code.h"
#include "src/tables/list_edits.h"

namespace marigold::ctl {

// The lists of a leader with a quorum.
RequestResult<ListsReply> FetchLists(ControlGroup& group);

// Lists that nobody has edited yet are not sent.
Lists ListsOf(const ListsReply& reply);

// A file's rows as an edit. Prints every error with its line and gives nothing
// if there are any.
std::optional<PutRows> ReadValidList(ListKind list, const std::string& file);

// Prints one list, as a table or in the form that `put` takes.
ExitCode GetList(ControlGroup& group, ListKind list, bool as_json);

// Validates a file without any control VM. With a file of usage rows, the plans
// of plan rows are looked up there.
ExitCode CheckList(ListKind list,
                   const std::string& file,
                   const std::optional<std::string>& usage_file);

// Prints what putting a file would change.
ExitCode DiffList(ControlGroup& group,
                  ListKind list,
                  const std::string& file,
                  bool as_json);

}  // namespace marigold::ctl

#endif  // SRC_CTL_LIST_QUERIES_H_
