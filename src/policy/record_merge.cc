#include "src/policy/record_merge.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace marigold {

std::string MergeRecords(std::span<const std::string_view> parts,
                         std::size_t max_records) {
  std::vector<std::string_view> records;
  for (const std::string_view part : parts) {
    for (std::size_t offset = 0; offset + kRecordBytes <= part.size();
         offset += kRecordBytes) {
      records.push_back(part.substr(offset, kRecordBytes));
    }
  }
  const std::size_t merged_count = std::min(max_records, records.size());
  std::partial_sort(records.begin(),
                    records.begin() + static_cast<std::ptrdiff_t>(merged_count),
                    records.end(), std::greater<>());
  std::string merged;
  merged.reserve(merged_count * kRecordBytes);
  for (std::size_t i = 0; i < merged_count; ++i) {
    merged += records[i];
  }
  return merged;
}

}  // namespace marigold
