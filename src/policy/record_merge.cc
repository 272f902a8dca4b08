#include "src/policy/record_merge.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace marigold {

std::string MergeRecords(std::span<const std::string_view> parts,
                         std::size_t most) {
  std::vector<std::string_view> records;
  for (const std::string_view part : parts) {
    for (std::size_t at = 0; at + kRecordBytes <= part.size();
         at += kRecordBytes) {
      records.push_back(part.substr(at, kRecordBytes));
    }
  }
  const std::size_t kept = std::min(most, records.size());
  std::partial_sort(records.begin(),
                    records.begin() + static_cast<std::ptrdiff_t>(kept),
                    records.end(), std::greater<>());
  std::string merged;
  merged.reserve(kept * kRecordBytes);
  for (std::size_t i = 0; i < kept; ++i) {
    merged += records[i];
  }
  return merged;
}

}  // namespace marigold
