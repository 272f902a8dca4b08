#include "src/core/checksum.h"

#include <xxhash.h>

namespace marigold {

std::uint64_t Checksum(std::string_view bytes) {
  return XXH64(bytes.data(), bytes.size(), 0);
}

ContentHash HashContent(std::string_view bytes) {
  const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
  return {hash.low64, hash.high64};
}

}  // namespace marigold
