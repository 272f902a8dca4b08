#include "src/core/result.h"

#include <fmt/format.h>

#include <cstring>

namespace marigold {

std::string ToString(const ParseError& error) {
  std::string text;
  if (!error.field.empty()) {
    text += fmt::format("field {}: ", error.field);
  }
  if (error.offset.has_value()) {
    text += fmt::format("byte {}: ", *error.offset);
  }
  return text + "expected " + error.expected;
}

std::string ToString(const IoError& error) {
  return fmt::format("{} {}: {}", error.operation, error.path,
                     std::strerror(error.error_number));
}

std::string ToString(const AnyError& error) {
  if (const auto* io = std::get_if<IoError>(&error)) {
    return ToString(*io);
  }
  if (const auto* parse = std::get_if<ParseError>(&error)) {
    return ToString(*parse);
  }
  return std::get<Refusal>(error).detail;
}

}  // namespace marigold
