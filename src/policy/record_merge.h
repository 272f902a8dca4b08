#ifndef SRC_POLICY_RECORD_MERGE_H_
#define SRC_POLICY_RECORD_MERGE_H_

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace marigold {

// The size of a record in bytes. Records are compared byte by byte, as unsigned
// values.
inline constexpr std::size_t kRecordBytes = 16;

// Returns the `max_records` greatest records of all parts, in descending order.
// A part is the answer of one shard. Keeps duplicates. Trailing bytes of a part
// that do not form a complete record are ignored.
std::string MergeRecords(std::span<const std::string_view> parts,
                         std::size_t max_records);

}  // namespace marigold

#endif  // SRC_POLICY_RECORD_MERGE_H_
