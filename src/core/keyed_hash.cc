#include "src/core/keyed_hash.h"

#include <xxhash.h>

namespace marigold {

ContentHash KeyedHash::operator()(std::string_view bytes) const {
  static_assert(sizeof(this->secret) >= XXH3_SECRET_SIZE_MIN);
  const XXH128_hash_t hash = XXH3_128bits_withSecret(
      bytes.data(), bytes.size(), this->secret.data(), sizeof(this->secret));
  return {hash.low64, hash.high64};
}

}  // namespace marigold
