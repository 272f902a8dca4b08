#include "tools/standin/match_content.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <utility>

#include "src/core/random.h"

namespace marigold {

namespace {

constexpr std::uint64_t kMaxMatches = 3;
// Scores are whole numbers, which JSON represents exactly.
constexpr std::uint64_t kMaxScore = 1000;

// The FNV-1a hash. Unlike `std::hash`, it is the same in every process and on
// every platform, so the load tool computes the same content as the stand-in.
std::uint64_t HashOf(std::string_view text) {
  std::uint64_t hash = 0xcbf29ce484222325;
  for (const char c : text) {
    hash ^= static_cast<unsigned char>(c);
    hash *= 0x100000001b3;
  }
  return hash;
}

}  // namespace

std::vector<Match> MatchesFor(const ServiceId& service,
                              std::string_view query,
                              const SnapshotLayout& layout,
                              ShardId shard) {
  const std::string text = fmt::format(
      "{} {:016x} snapshot {} shard {} of {}", service.value(), HashOf(query),
      layout.snapshot.value(), shard.value(), layout.shards);
  SeededRandom random(HashOf(text));
  std::vector<Match> matches;
  const std::uint64_t count = random.NextBelow(kMaxMatches) + 1;
  for (std::uint64_t i = 0; i < count; ++i) {
    matches.push_back(
        {fmt::format("{}-{}-{}", layout.snapshot.value(), shard.value(), i),
         static_cast<double>(random.NextBelow(kMaxScore)), text});
  }
  SortMatches(matches);
  return matches;
}

void SortMatches(std::vector<Match>& matches) {
  std::sort(matches.begin(), matches.end(), [](const Match& a, const Match& b) {
    return std::pair(-a.score, std::string_view(a.id)) <
           std::pair(-b.score, std::string_view(b.id));
  });
}

}  // namespace marigold
