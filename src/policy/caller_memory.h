#ifndef SRC_POLICY_CALLER_MEMORY_H_
#define SRC_POLICY_CALLER_MEMORY_H_

#include <algorithm>
#include <cstddef>
#include <list>
#include <optional>
#include <unordered_map>

namespace marigold {

// Bounds the memory that requests and answers of callers take together, and
// selects the caller to evict when it is short. Many callers that send all of a
// large request but its end, or that take no answer, would otherwise hold as
// much as they like. They make no progress, while a caller that behaves does.
// `Caller` identifies a caller and is hashable. Not synchronised.
template <class Caller>
class CallerMemory {
 public:
  explicit CallerMemory(std::size_t limit_in_bytes) : limit(limit_in_bytes) {}

  // Commands.

  // Sets the bytes that a caller holds, and notes that it has made progress.
  // One that is not evictable holds a request that is in progress.
  void Hold(const Caller& caller, std::size_t bytes, bool is_evictable) {
    this->Release(caller);
    Holding& holding = this->holdings[caller];
    holding.bytes = bytes;
    if (is_evictable) {
      holding.position =
          this->by_progress.insert(this->by_progress.end(), caller);
    }
    this->used += bytes;
  }

  // The caller holds nothing any more.
  void Release(const Caller& caller) {
    const auto found = this->holdings.find(caller);
    if (found == this->holdings.end()) {
      return;
    }
    this->used -= found->second.bytes;
    if (found->second.position) {
      this->by_progress.erase(*found->second.position);
    }
    this->holdings.erase(found);
  }

  // Queries.

  // True if the caller may keep what it holds. The last eighth of the memory is
  // only for small requests, so that these get in beside large ones. A caller
  // that holds memory alone may always keep it.
  bool Fits(const Caller& caller) const {
    const auto found = this->holdings.find(caller);
    const std::size_t bytes =
        found == this->holdings.end() ? 0 : found->second.bytes;
    const std::size_t available = bytes <= kSmallRequestBytes
                                      ? this->limit
                                      : this->limit - this->limit / 8;
    return this->used <= available || this->used == bytes;
  }

  // Returns the evictable caller, other than `caller`, that has made no
  // progress for the longest time. Returns nothing if there is none.
  std::optional<Caller> NextVictim(const Caller& caller) const {
    const auto victim =
        std::find_if(this->by_progress.begin(), this->by_progress.end(),
                     [&](const Caller& other) { return other != caller; });
    return victim == this->by_progress.end() ? std::nullopt
                                             : std::optional<Caller>(*victim);
  }

  std::size_t used_bytes() const { return this->used; }

 private:
  // A request with a head of the usual limit and a short body.
  static constexpr std::size_t kSmallRequestBytes = 32 * 1024;

  struct Holding {
    std::size_t bytes = 0;
    // Absent if the caller is not evictable.
    std::optional<typename std::list<Caller>::iterator> position;
  };

  std::size_t limit;
  std::size_t used = 0;
  std::unordered_map<Caller, Holding> holdings;
  // The evictable callers, the one that made progress last at the end.
  std::list<Caller> by_progress;
};

}  // namespace marigold

#endif  // SRC_POLICY_CALLER_MEMORY_H_
