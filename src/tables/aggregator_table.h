#ifndef SRC_TABLES_AGGREGATOR_TABLE_H_
#define SRC_TABLES_AGGREGATOR_TABLE_H_

#include <utility>

#include "src/core/ranked_mutex.h"
#include "src/policy/fan_out/aggregator_directory.h"

namespace marigold {

// The directory of the other entry VMs, shared by all workers.
class AggregatorTable {
 public:
  AggregatorTable(VmId vm,
                  DataCentreId data_centre,
                  FanOutSettings settings = {})
      : directory(std::move(vm), std::move(data_centre), settings) {}

  // Runs `body` on the directory under the lock and returns its result.
  template <class Body>
  auto Access(Body&& body) {
    const RankedLock lock(this->mutex);
    return std::forward<Body>(body)(this->directory);
  }

 private:
  RankedMutex<LockRank::kAggregators> mutex;
  AggregatorDirectory directory;
};

}  // namespace marigold

#endif  // SRC_TABLES_AGGREGATOR_TABLE_H_
