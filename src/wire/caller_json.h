#ifndef SRC_WIRE_CALLER_JSON_H_
#define SRC_WIRE_CALLER_JSON_H_

#include <string>
#include <string_view>

#include "src/core/result.h"
#include "src/policy/action_types.h"
#include "src/policy/search_types.h"

namespace marigold {

// Decodes the body of `POST /v1/search`. Fails with `ParseError`.
Result<SearchRequest> DecodeSearchRequest(std::string_view body);

// Encodes the response body of a successful search.
std::string EncodeSearchAnswer(const RequestId& request,
                               const SearchAnswer& answer);

// Decodes the body of `POST /v1/actions`. Fails with `ParseError`.
Result<ActionRequest> DecodeActionRequest(std::string_view body);

// Encodes the response body of an action that ran.
std::string EncodeActionAnswer(const RequestId& request,
                               const ActionAnswer& answer);

// Encodes the response body of a refused or failed search or action.
std::string EncodeRefusal(const RequestId& request, const Refusal& refusal);

// Returns the HTTP status code of the response to a refused or failed request.
int HttpStatusOf(const Refusal& refusal);

}  // namespace marigold

#endif  // SRC_WIRE_CALLER_JSON_H_
