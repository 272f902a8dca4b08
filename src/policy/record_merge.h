#ifndef SRC_POLICY_RECORD_MERGE_H_
#define SRC_POLICY_RECORD_MERGE_H_

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace marigold {

// Records have a fixed size and are compared byte by byte.
inline constexpr std::size_t kRecordBytes = 16;

// The greatest `max_records` records of all parts, greatest first. Equal
// records all count. Bytes at the end of a part that make no whole record are
// ignored.
std::string MergeRecords(std::span<const std::string_view> parts,
                         std::size_t max_records);

}  // namespace marigold

#endif  // SRC_POLICY_RECORD_MERGE_H_
