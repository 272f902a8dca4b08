#ifndef SRC_CORE_STEP_RUNNER_H_
#define SRC_CORE_STEP_RUNNER_H_

#include <utility>
#include <vector>

#include "src/core/ranked_mutex.h"

namespace marigold {

// Connects a state machine to the code that executes its steps. Events may come
// from any thread and are applied under a lock. The resulting steps are
// executed one at a time and in order, outside the lock.
template <class Step, LockRank Rank>
class StepRunner {
 public:
  // Applies `event`, which returns steps, and passes each step to `execute`. If
  // another thread is executing steps, that thread executes these steps as well
  // and this call returns at once.
  template <class Event, class Executor>
  void ProcessEvent(Event&& event, Executor&& execute) {
    {
      const RankedLock lock(this->mutex);
      for (Step& step : std::forward<Event>(event)()) {
        this->pending.push_back(std::move(step));
      }
      if (this->is_executing) {
        return;
      }
      this->is_executing = true;
    }
    while (this->ExecuteBatch(execute)) {
    }
  }

 private:
  // Returns false if no steps were pending.
  template <class Executor>
  bool ExecuteBatch(Executor& execute) {
    std::vector<Step> batch;
    {
      const RankedLock lock(this->mutex);
      batch.swap(this->pending);
      this->is_executing = !batch.empty();
    }
    for (Step& step : batch) {
      execute(step);
    }
    return !batch.empty();
  }

  RankedMutex<Rank> mutex;
  std::vector<Step> pending;
  bool is_executing = false;
};

}  // namespace marigold

#endif  // SRC_CORE_STEP_RUNNER_H_
