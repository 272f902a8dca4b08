#ifndef SRC_WIRE_JSON_SPLIT_H_
#define SRC_WIRE_JSON_SPLIT_H_

#include <string_view>
#include <vector>

#include "src/core/result.h"

namespace marigold {

// One member of a JSON object. Both views refer to the text of the object.
struct JsonMember {
  // The name without quotes and with its escapes.
  std::string_view name;
  std::string_view value;
};

// Splits a JSON object into its members, or a JSON array into its elements,
// without parsing the values. A list with an invalid element can so be read
// without it. Only the strings and brackets of a value must match; it may
// contain any bytes and any nesting. Fails with `ParseError`, which contains
// the offset, if the text is not one whole object or array. The views refer to
// `text`.
Result<std::vector<JsonMember>> SplitJsonObject(std::string_view text);
Result<std::vector<std::string_view>> SplitJsonArray(std::string_view text);

}  // namespace marigold

#endif  // SRC_WIRE_JSON_SPLIT_H_
