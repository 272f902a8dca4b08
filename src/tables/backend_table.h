#ifndef SRC_TABLES_BACKEND_TABLE_H_
#define SRC_TABLES_BACKEND_TABLE_H_

#include <utility>

#include "src/core/ranked_mutex.h"
#include "src/policy/backend_directory.h"

namespace marigold {

// The directory of listed backend servers of one entry process, shared by all
// workers.
class BackendTable {
 public:
  explicit BackendTable(DirectorySettings settings)
      : directory(std::move(settings)) {}

  // Runs `body` on the directory under the lock and returns its result.
  template <class Body>
  auto Access(Body&& body) {
    const RankedLock lock(this->mutex);
    return std::forward<Body>(body)(this->directory);
  }

 private:
  RankedMutex<LockRank::kServerTable> mutex;
  BackendDirectory directory;
};

}  // namespace marigold

#endif  // SRC_TABLES_BACKEND_TABLE_H_
