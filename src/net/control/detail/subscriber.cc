#include "src/net/control/detail/subscriber.h"

#include <algorithm>
#include <utility>

#include "src/core/log.h"

namespace marigold::detail {

namespace {

// Most subscribers confirm the newest lists within tens of milliseconds.
constexpr Duration kLateConfirmation = std::chrono::seconds(1);

}  // namespace

void DistributionLog::OnNewest(MonotonicTime now, LogIndex newest) {
  if (newest > this->logged_index && !this->open_change) {
    this->open_change = OpenChange{newest, now};
  }
}

void DistributionLog::OnConfirmed(MonotonicTime now,
                                  LogIndex newest,
                                  Subscriber& subscriber,
                                  const Subscribers& all) {
  if (std::exchange(subscriber.is_logged_late, false)) {
    LogEvent(LogLevel::kInfo, "subscriber_caught_up",
             {{"vm", subscriber.vm.value()},
              {"index", subscriber.acknowledged_index.value()}});
  }
  const bool all_have_it =
      std::all_of(all.begin(), all.end(), [newest](const auto& entry) {
        return entry.second.acknowledged_index >= newest;
      });
  if (!this->open_change || !all_have_it) {
    return;
  }
  LogEvent(LogLevel::kInfo, "lists_distributed",
           {{"index", newest.value()},
            {"from", this->open_change->index.value()},
            {"subscribers", all.size()},
            {"took_ms", ToMilliseconds(now - this->open_change->began_at)}});
  this->logged_index = newest;
  this->open_change.reset();
}

void DistributionLog::LogLate(MonotonicTime now, Subscribers& all) {
  for (auto& [connection, subscriber] : all) {
    if (!subscriber.is_logged_late && subscriber.behind_since &&
        now - *subscriber.behind_since >= kLateConfirmation) {
      subscriber.is_logged_late = true;
      LogEvent(LogLevel::kWarning, "subscriber_late",
               {{"vm", subscriber.vm.value()},
                {"has", subscriber.acknowledged_index.value()},
                {"sent", subscriber.sent_index.value()},
                {"late_ms", ToMilliseconds(now - *subscriber.behind_since)}});
    }
  }
}

}  // namespace marigold::detail
