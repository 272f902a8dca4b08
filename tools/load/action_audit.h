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

// The checked response to an action that ran.
struct CheckedExecution {
  std::string result;
  // True if the result is that of an earlier request with the same key.
  bool is_repeat = false;
};

using ActionCheck = std::variant<CheckedExecution, CheckedRefusal, Violation>;

// Checks a response to `POST /v1/actions`: the request id, and that the result
// is the stand-in's receipt for the key of `action`. Returns a `Violation` if
// the response fails a check.
ActionCheck CheckActionResponse(const ActionLoadRequest& action,
                                int status,
                                std::string_view body);

// One execution of an action, as the stand-in recorded it.
struct RecordedExecution {
  std::string key;
  std::string server;
};

// Parses the body of the stand-in's `GET /v1/actions`. Fails with `ParseError`.
Result<std::vector<RecordedExecution>> ParseActionRecord(std::string_view body);

// Collects what the responses said about each idempotency key and compares it
// with the stand-in's record of executions. Does no I/O and takes no lock: the
// caller synchronises access.
class ActionAudit {
 public:
  // Commands.

  // Call before the first request with `key` is sent.
  void OnSent(const IdempotencyKey& key);

  // Call for each response that says that the action ran. Returns a violation
  // if an earlier response had a different result for `key`, otherwise nothing.
  std::vector<Violation> OnExecuted(const IdempotencyKey& key,
                                    const std::string& result);

  // Call for each request that ended without a result. `did_not_run` is false
  // if the action may have run.
  void OnNoResult(const IdempotencyKey& key, bool did_not_run);

  // Queries.

  // Returns a violation for each key that ran more than once, that ran although
  // every response said that it did not, or that has a result without an
  // execution. Ignores executions of keys that were never sent.
  std::vector<Violation> FindViolations(
      const std::vector<RecordedExecution>& executions) const;

  // Returns the numbers of keys that were sent, that ran, that have a result,
  // and that may have run without a result.
  Metrics Summary(const std::vector<RecordedExecution>& executions) const;

 private:
  struct KeyOutcome {
    // Empty until a response contains a result.
    std::string result;
    bool may_have_run = false;
  };

  std::map<std::string, KeyOutcome> outcomes_by_key;
};

}  // namespace marigold

#endif  // TOOLS_LOAD_ACTION_AUDIT_H_
