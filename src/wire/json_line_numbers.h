#ifndef SRC_WIRE_JSON_LINE_NUMBERS_H_
#define SRC_WIRE_JSON_LINE_NUMBERS_H_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace marigold {

// The line on which each value of a JSON text begins, counted from 1, by the
// value's path, such as "rows[2].rate" or "removed[0]". `text` is valid JSON
// with an object at the top; for other text the result is incomplete.
std::map<std::string, std::size_t> JsonLineNumbers(std::string_view text);

// The line of the byte at `offset`.
std::size_t LineAtOffset(std::string_view text, std::size_t offset);

}  // namespace marigold

#endif  // SRC_WIRE_JSON_LINE_NUMBERS_H_
