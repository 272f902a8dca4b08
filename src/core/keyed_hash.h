#ifndef SRC_CORE_KEYED_HASH_H_
#define SRC_CORE_KEYED_HASH_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "src/core/checksum.h"
#include "src/core/random.h"

namespace marigold {

// 128-bit xxHash with a secret. Without the secret, it can't be predicted which
// texts have similar hashes.
class KeyedHash {
 public:
  // Draws the secret from `random`.
  template <RandomSource Random>
  explicit KeyedHash(Random random) {
    for (std::uint64_t& word : this->secret) {
      word = random.Next();
    }
  }

  ContentHash operator()(std::string_view bytes) const;

 private:
  // xxHash requires at least 136 bytes.
  static constexpr std::size_t kSecretWords = 24;

  std::array<std::uint64_t, kSecretWords> secret{};
};

}  // namespace marigold

#endif  // SRC_CORE_KEYED_HASH_H_
