#ifndef SRC_CORE_RESULT_H_
#define SRC_CORE_RESULT_H_

#include <boost/leaf.hpp>
#include <cstddef>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "src/core/verdict.h"

namespace marigold {

// A value, or a Boost.LEAF error whose object is a `Refusal`, a `ParseError`
// or an `IoError`.
template <class T>
using Result = boost::leaf::result<T>;

// Malformed input: settings, lists, requests, messages from peers and files.
struct ParseError {
  // The field's path, such as "rows[3].rate", or empty.
  std::string field;
  // Offset in bytes from the start of the input, if it is known.
  std::optional<std::size_t> offset;
  // The valid input, as text that follows the word "expected".
  std::string expected;
};

// A failed system call.
struct IoError {
  std::string operation;
  std::string path;
  int error_number = 0;
};

// One line that names the field or the byte offset, and the expected input.
std::string ToString(const ParseError& error);

// One line that names the operation, the path and the system's error message.
std::string ToString(const IoError& error);

using AnyError = std::variant<Refusal, ParseError, IoError>;

// One line that describes the error.
std::string ToString(const AnyError& error);

// Runs `body`, which returns a `Result<T>`, and returns either its value or its
// error object. An error without a known error object becomes a `Refusal` with
// `kInternal`.
template <class T, class Body>
std::variant<T, AnyError> Capture(Body&& body) {
  using Outcome = std::variant<T, AnyError>;
  return boost::leaf::try_handle_all(
      [&]() -> Result<Outcome> {
        Result<T> result = std::forward<Body>(body)();
        if (!result) {
          return result.error();
        }
        return Outcome(std::in_place_index<0>, std::move(result.value()));
      },
      [](const Refusal& refusal) {
        return Outcome(std::in_place_index<1>, refusal);
      },
      [](const ParseError& error) {
        return Outcome(std::in_place_index<1>, error);
      },
      [](const IoError& error) {
        return Outcome(std::in_place_index<1>, error);
      },
      [] {
        return Outcome(std::in_place_index<1>,
                       Refusal{Execution::kMayHaveRun,
                               Reason::kInternal,
                               "an error without a description",
                               {}});
      });
}

}  // namespace marigold

#endif  // SRC_CORE_RESULT_H_
