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

struct ExecutedAction {
  IdempotencyKey key;
  BackendServerId server;
  WallTime at;
};

// Every action that any searcher ran. Judges whether one ran twice, so it is
// written before the action begins and never rewritten.
class ActionRecord {
 public:
  // Appends to `path`, or keeps the record only in memory if it is empty. Fails
  // with `IoError`.
  static Result<std::unique_ptr<ActionRecord>> Open(const std::string& path);

  ~ActionRecord();

  ActionRecord(const ActionRecord&) = delete;
  ActionRecord& operator=(const ActionRecord&) = delete;

  // Commands.

  // Appends one line: key, server and Unix time in milliseconds, separated by
  // tabs. Aborts the process if the line can't be written, as a record with
  // gaps would hide a violation.
  void Add(const ExecutedAction& action);

  // Queries.

  std::vector<ExecutedAction> All() const;

 private:
  explicit ActionRecord(int file_descriptor) : file(file_descriptor) {}

  int file;
  mutable RankedMutex<LockRank::kStandinRecord> mutex;
  std::vector<ExecutedAction> actions;
};

}  // namespace marigold

#endif  // TOOLS_STANDIN_ACTION_RECORD_H_
