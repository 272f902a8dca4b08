#include "tools/load/answer_check.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <optional>
#include <variant>
#include <vector>

#include "tools/load/answer_json.h"
#include "tools/standin/match_content.h"

namespace marigold {

namespace {

constexpr int kOk = 200;
constexpr int kFirstErrorStatus = 400;
// The tolerance for rounding: coverage is a decimal number in JSON.
constexpr double kCoverageTolerance = 1e-9;

using Problem = std::optional<Violation>;

std::string Shorten(std::string_view body) {
  constexpr std::size_t kMaxBytes = 400;
  return std::string(body.substr(0, kMaxBytes));
}

Problem CheckId(const LoadRequest& request, const std::string& actual) {
  if (actual == request.id.value()) {
    return std::nullopt;
  }
  return Violation{"request id " + request.id.value(), "request id " + actual};
}

// Checks that covered and missing shards together are numbered from 0 without a
// gap or a repetition, as the shards of a service are.
Problem CheckPartition(const DecodedAnswer& answer) {
  std::vector<std::uint64_t> all = answer.covered;
  all.insert(all.end(), answer.missing.begin(), answer.missing.end());
  std::sort(all.begin(), all.end());
  for (std::size_t i = 0; i < all.size(); ++i) {
    if (all[i] != i) {
      return Violation{
          fmt::format("shard {} exactly once among covered and missing", i),
          fmt::format("covered [{}], missing [{}]",
                      fmt::join(answer.covered, " "),
                      fmt::join(answer.missing, " "))};
    }
  }
  return std::nullopt;
}

Problem CheckCoverage(const LoadRequest& request, const DecodedAnswer& answer) {
  const std::size_t all = answer.covered.size() + answer.missing.size();
  const double expected = all == 0
                              ? 1
                              : static_cast<double>(answer.covered.size()) /
                                    static_cast<double>(all);
  if (std::abs(answer.coverage - expected) > kCoverageTolerance) {
    return Violation{fmt::format("coverage {}", expected),
                     fmt::format("coverage {}", answer.coverage)};
  }
  if (expected < request.minimum_coverage.value()) {
    return Violation{fmt::format("coverage of at least {}",
                                 request.minimum_coverage.value()),
                     fmt::format("coverage {}", answer.coverage)};
  }
  return std::nullopt;
}

std::vector<Match> ExpectedMatches(const LoadRequest& request,
                                   const DecodedAnswer& answer) {
  const SnapshotLayout layout{answer.snapshot,
                              answer.covered.size() + answer.missing.size()};
  std::vector<Match> expected;
  for (const std::uint64_t shard : answer.covered) {
    for (Match& match :
         MatchesFor(request.service, request.query, layout, ShardId(shard))) {
      expected.push_back(std::move(match));
    }
  }
  SortMatches(expected);
  return expected;
}

std::string Describe(const Match& match) {
  return fmt::format("match {} of score {} \"{}\"", match.id, match.score,
                     match.text);
}

Problem CheckMatches(const LoadRequest& request, const DecodedAnswer& answer) {
  const std::vector<Match> expected = ExpectedMatches(request, answer);
  for (std::size_t i = 0; i < std::min(expected.size(), answer.matches.size());
       ++i) {
    if (expected[i] != answer.matches[i]) {
      return Violation{Describe(expected[i]), Describe(answer.matches[i])};
    }
  }
  if (expected.size() != answer.matches.size()) {
    return Violation{fmt::format("{} matches", expected.size()),
                     fmt::format("{} matches", answer.matches.size())};
  }
  return std::nullopt;
}

CheckOutcome CheckAnswer(const LoadRequest& request, std::string_view body) {
  const auto decoded =
      Capture<DecodedAnswer>([&] { return DecodeAnswer(body); });
  const auto* answer = std::get_if<DecodedAnswer>(&decoded);
  if (answer == nullptr) {
    return Violation{"the JSON body of a search answer", Shorten(body)};
  }
  for (const Problem& problem :
       {CheckId(request, answer->request_id), CheckPartition(*answer),
        CheckCoverage(request, *answer), CheckMatches(request, *answer)}) {
    if (problem) {
      return *problem;
    }
  }
  return CheckedAnswer{answer->snapshot, answer->covered.size(),
                       answer->covered.size() + answer->missing.size()};
}

}  // namespace

std::variant<CheckedRefusal, Violation> CheckRefusal(const LoadRequest& request,
                                                     std::string_view body) {
  constexpr std::array<std::string_view, 3> kVerdicts = {"did_not_run",
                                                         "may_have_run", "ran"};
  const auto decoded =
      Capture<DecodedRefusal>([&] { return DecodeRefusal(body); });
  const auto* refusal = std::get_if<DecodedRefusal>(&decoded);
  if (refusal == nullptr || std::find(kVerdicts.begin(), kVerdicts.end(),
                                      refusal->verdict) == kVerdicts.end()) {
    return Violation{"the JSON body of a refusal", Shorten(body)};
  }
  if (const Problem problem = CheckId(request, refusal->request_id)) {
    return *problem;
  }
  return CheckedRefusal{refusal->verdict, refusal->reason};
}

CheckOutcome CheckSearchResponse(const LoadRequest& request,
                                 int status,
                                 std::string_view body) {
  if (status == kOk) {
    return CheckAnswer(request, body);
  }
  if (status >= kFirstErrorStatus) {
    auto refusal = CheckRefusal(request, body);
    if (auto* violation = std::get_if<Violation>(&refusal)) {
      return std::move(*violation);
    }
    return std::get<CheckedRefusal>(std::move(refusal));
  }
  return Violation{"status 200, 4xx or 5xx", fmt::format("status {}", status)};
}

}  // namespace marigold
