#include "src/policy/fan_out/fan_out_types.h"

#include <algorithm>

namespace marigold {

bool IsValidReport(const GroupReport& report, std::size_t shard_count) {
  const auto is_known = [&](const auto& item) {
    return item.shard < shard_count;
  };
  return std::all_of(report.blocks.begin(), report.blocks.end(),
                     [&](const PartBlock& block) {
                       return std::all_of(block.parts.begin(),
                                          block.parts.end(), is_known);
                     }) &&
         std::all_of(report.failed.begin(), report.failed.end(), is_known) &&
         std::all_of(report.late.begin(), report.late.end(), is_known) &&
         report.congestion.queueing <= shard_count &&
         report.congestion.overloaded <= shard_count;
}

}  // namespace marigold
