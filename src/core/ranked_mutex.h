#ifndef SRC_CORE_RANKED_MUTEX_H_
#define SRC_CORE_RANKED_MUTEX_H_

#include <mutex>

#include "src/core/lock_rank.h"

namespace marigold {

namespace detail {

// Registers a lock that the calling thread is about to acquire. Prints both
// ranks and aborts if the thread already holds a lock of the same or a higher
// rank.
void PushLockRank(LockRank rank);
// Unregisters a lock that the calling thread has released. Aborts if it is not
// the lock that the thread acquired last.
void PopLockRank(LockRank rank);

}  // namespace detail

// A mutex with a rank in the lock order. The order is checked on every
// acquisition.
template <LockRank Rank>
class RankedMutex {
 public:
  void lock() {
    detail::PushLockRank(Rank);
    this->mutex.lock();
  }

  void unlock() {
    this->mutex.unlock();
    detail::PopLockRank(Rank);
  }

 private:
  std::mutex mutex;
};

// Holds a `RankedMutex` for a scope.
template <class Mutex>
class [[nodiscard]] RankedLock {
 public:
  explicit RankedLock(Mutex& target) : mutex(target) { this->mutex.lock(); }
  ~RankedLock() { this->mutex.unlock(); }

  RankedLock(const RankedLock&) = delete;
  RankedLock& operator=(const RankedLock&) = delete;

 private:
  Mutex& mutex;
};

}  // namespace marigold

#endif  // SRC_CORE_RANKED_MUTEX_H_
