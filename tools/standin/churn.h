#ifndef TOOLS_STANDIN_CHURN_H_
#define TOOLS_STANDIN_CHURN_H_

#include <cstdint>
#include <memory>

#include "src/core/units.h"
#include "src/net/worker_pool.h"
#include "tools/standin/standin_system.h"

namespace marigold {

// The changes that the stand-in makes without a command. An interval of zero
// turns the change off.
struct ChurnSettings {
  // The time between two snapshots of every service.
  Duration snapshot_interval{};
  // The time between two attempts to stop a random searcher.
  Duration kill_interval{};
  // The time from the stop of a searcher to its start.
  Duration down_time = std::chrono::seconds(2);
  // Determines the sequence of searchers.
  std::uint64_t seed = 1;
};

// Publishes snapshots, and stops and restarts searchers, at fixed intervals.
// The system has to outlive it.
class Churn {
 public:
  Churn(WorkerPool& worker_pool,
        StandinSystem& standin_system,
        ChurnSettings churn_settings);
  ~Churn();

  Churn(const Churn&) = delete;
  Churn& operator=(const Churn&) = delete;

  void Start();

  struct Impl;

 private:
  std::shared_ptr<Impl> impl;
};

}  // namespace marigold

#endif  // TOOLS_STANDIN_CHURN_H_
