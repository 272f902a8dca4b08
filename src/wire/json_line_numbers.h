#ifndef SRC_WIRE_JSON_LINE_NUMBERS_H_
#define SRC_WIRE_JSON_LINE_NUMBERS_H_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace marigold {

// Maps the path of each value of a JSON text, such as "rows[2].rate" or
// "removed[0]", to the line on which the value begins. Lines are counted
// from 1. `text` should be a valid JSON object. For other text the map is
// incomplete.
std::map<std::string, std::size_t> JsonLineNumbers(std::string_view text);

// Returns the line of the byte at `offset`, counted from 1.
std::size_t LineAtOffset(std::string_view text, std::size_t offset);

}  // namespace marigold

#endif  // SRC_WIRE_JSON_LINE_NUMBERS_H_
