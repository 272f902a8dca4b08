#ifndef SRC_WIRE_STATE_JSON_H_
#define SRC_WIRE_STATE_JSON_H_

#include <string>

#include "src/policy/entry_state.h"

namespace marigold {

// Encodes the response body of `GET /state` on an entry VM.
std::string EncodeEntryState(const EntryState& state);

}  // namespace marigold

#endif  // SRC_WIRE_STATE_JSON_H_
