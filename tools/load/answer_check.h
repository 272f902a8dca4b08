#ifndef TOOLS_LOAD_ANSWER_CHECK_H_
#define TOOLS_LOAD_ANSWER_CHECK_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "src/core/ids.h"
#include "src/core/units.h"
#include "tools/load/load_request.h"

namespace marigold {

// A search answer that passed every check.
struct CheckedAnswer {
  SnapshotId snapshot;
  std::uint64_t covered_count = 0;
  // The number of covered and missing shards.
  std::uint64_t shard_count = 0;
};

// A refusal that passed every check.
struct CheckedRefusal {
  std::string verdict;
  std::string reason;
};

// A failed check: the expected and the actual content of a response, as text.
struct Violation {
  std::string expected;
  std::string actual;
};

using CheckOutcome = std::variant<CheckedAnswer, CheckedRefusal, Violation>;

// Checks a response to `POST /v1/search`. The request id has to be that of
// `request`. The covered and the missing shards together have to contain every
// shard exactly once, and the coverage has to follow from them and be at least
// the requested minimum. The matches have to be exactly those that the stand-in
// returns for the covered shards of one snapshot. Returns the first failed
// check as a `Violation`.
CheckOutcome CheckSearchResponse(const LoadRequest& request,
                                 int status,
                                 std::string_view body);

// Checks the body of a refusal of a search or an action: its fields, the
// request id and the verdict.
std::variant<CheckedRefusal, Violation> CheckRefusal(const LoadRequest& request,
                                                     std::string_view body);

}  // namespace marigold

#endif  // TOOLS_LOAD_ANSWER_CHECK_H_
