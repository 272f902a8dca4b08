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

// Every segment of the log starts with these bytes.
inline constexpr std::string_view kSegmentHeader = "MDLOG01\n";

// Adds the entry as a record: a checksum over all that follows, the payload's
// length, term, index, kind, time and the payload; numbers are little-endian.
void EncodeRecord(const LogEntry& entry, std::string& bytes);

// The records of one segment up to the first that is not valid.
struct SegmentScan {
  std::vector<LogEntry> entries;
  // Where each entry starts.
  std::vector<std::uint64_t> entry_offsets;
  // The end of the last valid record; the file's size if all are valid.
  std::uint64_t valid_bytes = 0;
};

// Reads a segment whose first entry is `first_index`. Fails with `ParseError`,
// naming `path` and the byte, if a valid record has an index that does not
// follow on.
Result<SegmentScan> ScanSegment(const std::string& path,
                                std::string_view bytes,
                                LogIndex first_index);

// True if any valid record with an index from `min_index` on starts at or after
// `offset`.
bool HasRecordAfter(std::string_view bytes,
                    std::uint64_t offset,
                    LogIndex min_index);

std::string EncodeHardState(const HardState& hard_state);
std::string EncodeSnapshot(const StateSnapshot& snapshot);

// Fail with `ParseError`, naming `path` and the byte.
Result<HardState> DecodeHardState(const std::string& path,
                                  std::string_view bytes);
Result<StateSnapshot> DecodeSnapshot(const std::string& path,
                                     std::string_view bytes);

}  // namespace marigold::detail

#endif  // SRC_REPLICATION_DETAIL_RECORD_FORMAT_H_
