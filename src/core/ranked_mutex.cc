#include "src/core/ranked_mutex.h"

#include <array>
#include <cstddef>
#include <cstdio>
#include <cstdlib>

namespace marigold::detail {

namespace {

constexpr std::size_t kMaxHeldLocks = 16;

struct HeldRanks {
  std::array<LockRank, kMaxHeldLocks> ranks{};
  std::size_t count = 0;
};

thread_local HeldRanks g_held;

// Writes to stderr directly, because the logger acquires a ranked lock itself.
[[noreturn]] void FailLockOrder(LockRank wanted, LockRank held) {
  std::fprintf(stderr, "level=error event=lock_order wanted=%d held=%d\n",
               static_cast<int>(wanted), static_cast<int>(held));
  std::abort();
}

}  // namespace

void PushLockRank(LockRank rank) {
  if (g_held.count > 0) {
    const LockRank held = g_held.ranks[g_held.count - 1];
    if (held >= rank || g_held.count == kMaxHeldLocks) {
      FailLockOrder(rank, held);
    }
  }
  g_held.ranks[g_held.count++] = rank;
}

void PopLockRank(LockRank rank) {
  if (g_held.count == 0 || g_held.ranks[g_held.count - 1] != rank) {
    FailLockOrder(rank, rank);
  }
  --g_held.count;
}

}  // namespace marigold::detail
