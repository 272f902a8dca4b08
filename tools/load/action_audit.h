#ifndef TOOLS_LOAD_ACTION_AUDIT_H_
#define TOOLS_LOAD_ACTION_AUDIT_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "src/core/ids.h"
#include "tools/load/action_load_request.h"
#include "tools/load/answer_check.h"
#include "tools/load/metrics.h"

namespace marigold {

// A checked answer to an action that ran.
struct CheckedExecution {
  std::string result;
  bool is_repeat = false;
};

using ActionCheck = std::variant<CheckedExecution, CheckedRefusal, Violation>;

// Checks a response to `POST /v1/actions`: the request id, and that the result
// is the stand-in's receipt for this key.
ActionCheck CheckActionResponse(const ActionLoadRequest& action,
                                int status,
                                std::string_view body);

// An execution that the stand-in recorded.
struct RecordedExecution {
  std::string key;
  std::string server;
};

// Reads the body of the stand-in's `GET /v1/actions`. Fails with `ParseError`.
Result<std::vector<RecordedExecution>> ParseActionRecord(std::string_view body);

// What callers were told about each key, to be held against the record of what
// ran. Pure; the caller synchronises it.
class ActionAudit {
 public:
  // Commands.

  void OnSent(const IdempotencyKey& key);

  // Gives a violation if the key has another result already.
  std::vector<Violation> OnExecuted(const IdempotencyKey& key,
                                    const std::string& result);

  // `did_not_run` is false where the action may have run.
  void OnNoResult(const IdempotencyKey& key, bool did_not_run);

  // Queries.

  // Keys that ran twice, that ran although every request was told that it did
  // not, and results without an execution. Ignores runs of other keys.
  std::vector<Violation> FindViolations(
      const std::vector<RecordedExecution>& executions) const;

  Metrics Summary(const std::vector<RecordedExecution>& executions) const;

 private:
  struct KeyOutcome {
    std::string result;
    bool may_have_run = false;
  };

  std::map<std::string, KeyOutcome> outcomes_by_key;
};

}  // namespace marigold

#endif  // TOOLS_LOAD_ACTION_AUDIT_H_
