#ifndef SRC_CORE_CHECKSUM_H_
#define SRC_CORE_CHECKSUM_H_

#include <compare>
#include <cstdint>
#include <string_view>

namespace marigold {

// 64-bit xxHash of `bytes`. Detects accidental corruption.
std::uint64_t Checksum(std::string_view bytes);

// 128-bit xxHash that identifies content which is too large to keep.
struct ContentHash {
  std::uint64_t low = 0;
  std::uint64_t high = 0;

  auto operator<=>(const ContentHash&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->low, this->high);
  }
};

ContentHash HashContent(std::string_view bytes);

}  // namespace marigold

#endif  // SRC_CORE_CHECKSUM_H_
