#ifndef SRC_WIRE_BACKEND_JSON_H_
#define SRC_WIRE_BACKEND_JSON_H_

#include <string>
#include <string_view>

#include "src/core/result.h"
#include "src/policy/backend_messages.h"

namespace marigold {

// JSON bodies of the protocol between entry VMs and backend servers.

std::string EncodeSubRequest(const SubRequest& request);
// Fails with `ParseError`.
Result<SubRequest> DecodeSubRequest(std::string_view body);

std::string EncodeSubResponse(const SubResponse& response);
// Fails with `ParseError`.
Result<SubResponse> DecodeSubResponse(std::string_view body);

std::string EncodeSubRefusal(const SubRefusal& refusal);
// Fails with `ParseError`.
Result<SubRefusal> DecodeSubRefusal(std::string_view body);

std::string EncodeSubAction(const BackendAction& action);
// Fails with `ParseError`.
Result<BackendAction> DecodeSubAction(std::string_view body);

std::string EncodeSubActionReply(const BackendActionReply& reply);
// Fails with `ParseError`.
Result<BackendActionReply> DecodeSubActionReply(std::string_view body);

// Encodes the body of `POST /v1/cancel`.
std::string EncodeCancel(AttemptId attempt);

std::string EncodeStatus(const BackendServerId& server,
                         const StatusReport& report);
// Fails with `ParseError`.
Result<StatusReport> DecodeStatus(std::string_view body);

}  // namespace marigold

#endif  // SRC_WIRE_BACKEND_JSON_H_
