#ifndef TOOLS_STANDIN_STANDIN_JSON_H_
#define TOOLS_STANDIN_STANDIN_JSON_H_

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "src/wire/backend_json.h"
#include "tools/standin/action_record.h"
#include "tools/standin/searcher_types.h"
#include "tools/standin/snapshot_schedule.h"

namespace marigold {

// A decoded sub-request or action, or why the body is wrong.
std::variant<SubRequest, BackendAction, std::string> DecodeWork(
    std::string_view path,
    std::string_view body);

// The attempt of `POST /v1/cancel`. Fails with `ParseError`.
Result<AttemptId> DecodeCancel(std::string_view body);

// The HTTP status and body of a reply.
std::pair<int, std::string> EncodeReply(const ReplyBody& reply);

std::string EncodeError(std::string_view detail);

std::string EncodeActions(const std::vector<ExecutedAction>& actions);

std::string EncodeSnapshots(
    const std::map<ServiceId, SnapshotLayout>& snapshots);

}  // namespace marigold

#endif  // TOOLS_STANDIN_STANDIN_JSON_H_
