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

// Decodes the body of `POST /v1/search` or `POST /v1/action`. Returns an error
// text if the body is invalid or the path is another one.
std::variant<SubRequest, BackendAction, std::string> DecodeWork(
    std::string_view path,
    std::string_view body);

// Decodes the attempt id of `POST /v1/cancel`. Fails with `ParseError`.
Result<AttemptId> DecodeCancel(std::string_view body);

// Returns the HTTP status and the body of a reply.
std::pair<int, std::string> EncodeReply(const ReplyBody& reply);

// Encodes the body of an error response.
std::string EncodeError(std::string_view detail);

// Encodes the body of `GET /v1/actions`.
std::string EncodeActions(const std::vector<ExecutedAction>& actions);

// Encodes the body of `GET /v1/snapshots`.
std::string EncodeSnapshots(
    const std::map<ServiceId, SnapshotLayout>& snapshots);

}  // namespace marigold

#endif  // TOOLS_STANDIN_STANDIN_JSON_H_
