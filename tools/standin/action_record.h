#ifndef TOOLS_STANDIN_ACTION_RECORD_H_
#define TOOLS_STANDIN_ACTION_RECORD_H_

#include <memory>
#include <string>
#include <vector>

#include "src/core/ids.h"
#include "src/core/ranked_mutex.h"
#include "src/core/result.h"
#include "src/core/units.h"

namespace marigold {

// One execution of an action: its idempotency key, the searcher that ran it,
// and the time at which it started.
struct ExecutedAction {
  IdempotencyKey key;
  BackendServerId server;
  WallTime started_at;
};

// Records every action that any searcher runs. Tests use the record to find out
// whether an action ran twice, so an execution is recorded before it starts and
// is never changed or removed. Safe to use from several threads.
class ActionRecord {
 public:
  // Opens a record that appends to the file `path`, or that exists only in
  // memory if `path` is empty. Fails with `IoError`.
  static Result<std::unique_ptr<ActionRecord>> Open(const std::string& path);

  ~ActionRecord();

  ActionRecord(const ActionRecord&) = delete;
  ActionRecord& operator=(const ActionRecord&) = delete;

  // Commands.

  // Appends one line: key, server and Unix time in milliseconds, separated by
  // tabs. Aborts the process if the line can't be written, because a record
  // with gaps could hide a second execution.
  void Add(const ExecutedAction& action);

  // Queries.

  // Returns the executions since `Open`, in the order of `Add`.
  std::vector<ExecutedAction> Executions() const;

 private:
  explicit ActionRecord(int file_descriptor) : file(file_descriptor) {}

  int file;
  mutable RankedMutex<LockRank::kStandinRecord> mutex;
  std::vector<ExecutedAction> actions;
};

}  // namespace marigold

#endif  // TOOLS_STANDIN_ACTION_RECORD_H_
