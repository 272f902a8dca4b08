#ifndef SRC_TABLES_REQUEST_NOTE_TABLE_H_
#define SRC_TABLES_REQUEST_NOTE_TABLE_H_

#include <cstddef>
#include <deque>
#include <utility>
#include <vector>

#include "src/core/ranked_mutex.h"
#include "src/policy/entry_state.h"

namespace marigold {

// The latest requests that were refused or answered without some shards, for
// the state dump.
class RequestNoteTable {
 public:
  // Commands.

  void Add(MonotonicTime now, RequestNote note) {
    const RankedLock lock(this->mutex);
    this->notes.emplace_front(now, std::move(note));
    if (this->notes.size() > kMaxNotes) {
      this->notes.pop_back();
    }
  }

  // Queries.

  // The notes, newest first, with their age at `now`.
  std::vector<RequestNote> Copy(MonotonicTime now) const {
    const RankedLock lock(this->mutex);
    std::vector<RequestNote> copies;
    copies.reserve(this->notes.size());
    for (const auto& [added_at, note] : this->notes) {
      copies.push_back(note);
      copies.back().age = now - added_at;
    }
    return copies;
  }

 private:
  static constexpr std::size_t kMaxNotes = 50;

  mutable RankedMutex<LockRank::kMetrics> mutex;
  std::deque<std::pair<MonotonicTime, RequestNote>> notes;
};

}  // namespace marigold

#endif  // SRC_TABLES_REQUEST_NOTE_TABLE_H_
