#include "src/replication/detail/describe_error.h"

#include <variant>

namespace marigold::detail {

std::string DescribeError(const AnyError& error) {
  if (const auto* io_error = std::get_if<IoError>(&error)) {
    return ToString(*io_error);
  }
  if (const auto* parse_error = std::get_if<ParseError>(&error)) {
    return ToString(*parse_error);
  }
  return std::get<Refusal>(error).detail;
}

}  // namespace marigold::detail
