#ifndef SRC_REPLICATION_DETAIL_CHECKSUM_H_
#define SRC_REPLICATION_DETAIL_CHECKSUM_H_

#include <cstdint>
#include <string_view>

namespace marigold::detail {

// Returns the 64-bit xxHash of `bytes`.
std::uint64_t Checksum(std::string_view bytes);

}  // namespace marigold::detail

#endif  // SRC_REPLICATION_DETAIL_CHECKSUM_H_
