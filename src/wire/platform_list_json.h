#ifndef SRC_WIRE_PLATFORM_LIST_JSON_H_
#define SRC_WIRE_PLATFORM_LIST_JSON_H_

#include <string>
#include <string_view>

#include "src/core/result.h"
#include "src/policy/backend_messages.h"

namespace marigold {

// The platform's list of backend servers.
std::string EncodePlatformList(const PlatformVmList& list);
// Fails with `ParseError` if the body is not a list. Records that are not valid
// JSON or describe no server are skipped and counted.
Result<PlatformVmList> DecodePlatformList(std::string_view body);

}  // namespace marigold

#endif  // SRC_WIRE_PLATFORM_LIST_JSON_H_
