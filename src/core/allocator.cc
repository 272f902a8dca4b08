#include "src/core/allocator.h"

#include <malloc.h>

namespace marigold {

namespace {

// The allocator's initial threshold. Setting it keeps the allocator from
// raising it.
constexpr int kLargeBlockBytes = 128 * 1024;

}  // namespace

void ReturnFreedMemory() {
  ::mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
}

}  // namespace marigold
