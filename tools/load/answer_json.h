#ifndef TOOLS_LOAD_ANSWER_JSON_H_
#define TOOLS_LOAD_ANSWER_JSON_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "src/core/result.h"
#include "src/policy/search_types.h"

namespace marigold {

// The body of a successful response to `POST /v1/search`.
struct DecodedAnswer {
  std::string request_id;
  SnapshotId snapshot;
  double coverage = 0;
  // Shard numbers.
  std::vector<std::uint64_t> covered;
  std::vector<std::uint64_t> missing;
  std::vector<Match> matches;
};

// The body of a response that refuses a search or an action.
struct DecodedRefusal {
  std::string request_id;
  std::string verdict;
  std::string reason;
};

// Both fail with `ParseError` if a field is missing, unknown or out of range.
Result<DecodedAnswer> DecodeAnswer(std::string_view body);
Result<DecodedRefusal> DecodeRefusal(std::string_view body);

}  // namespace marigold

#endif  // TOOLS_LOAD_ANSWER_JSON_H_
