#ifndef SRC_REPLICATION_DETAIL_RECORD_FORMAT_H_
#define SRC_REPLICATION_DETAIL_RECORD_FORMAT_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/core/result.h"
#include "src/replication/types.h"

namespace marigold::detail {

// The first bytes of every segment of the log.
inline constexpr std::string_view kSegmentHeader = "MDLOG01\n";

// Appends the entry to `bytes` as one record: a checksum of the rest of the
// record, the length of the payload, the term, index, kind and time, and the
// payload. Numbers are little-endian.
void EncodeRecord(const LogEntry& entry, std::string& bytes);

// The records of a segment up to the first one that is not valid.
struct SegmentScan {
  std::vector<LogEntry> entries;
  // The position of each entry in the file, in bytes.
  std::vector<std::uint64_t> entry_offsets;
  // The end of the last valid record. This is the size of the file if all
  // records are valid, and 0 if the segment header is missing.
  std::uint64_t valid_bytes = 0;
};

// Reads a segment whose first entry has the index `first_index`. Fails with
// `ParseError` if a valid record does not have the next index. The error names
// `path` and the byte offset.
Result<SegmentScan> ScanSegment(const std::string& path,
                                std::string_view bytes,
                                LogIndex first_index);

// Returns whether a valid record with an index of at least `min_index` starts
// at or after `offset`.
bool HasRecordAfter(std::string_view bytes,
                    std::uint64_t offset,
                    LogIndex min_index);

std::string EncodeHardState(const HardState& hard_state);
std::string EncodeSnapshot(const StateSnapshot& snapshot);

// Both fail with `ParseError` if the bytes are damaged. The error names `path`
// and, if it is known, the byte offset.
Result<HardState> DecodeHardState(const std::string& path,
                                  std::string_view bytes);
Result<StateSnapshot> DecodeSnapshot(const std::string& path,
                                     std::string_view bytes);

}  // namespace marigold::detail

#endif  // SRC_REPLICATION_DETAIL_RECORD_FORMAT_H_
