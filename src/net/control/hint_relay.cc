#include "src/net/control/hint_relay.h"

#include <algorithm>
#include <map>
#include <utility>

#include "src/core/ranked_mutex.h"

namespace marigold {

namespace {

// Hints of this time go out together.
constexpr Duration kRelayInterval = std::chrono::milliseconds(200);

using HintKey = std::pair<BackendServerId, std::int64_t>;
using HintMap = std::map<HintKey, ServerHint>;

void Merge(const std::vector<ServerHint>& hints, HintMap& into) {
  for (const ServerHint& hint : hints) {
    ServerHint& known =
        into.try_emplace(HintKey(hint.server, hint.started_at_ms), hint)
            .first->second;
    known.slowness_percent =
        std::max(known.slowness_percent, hint.slowness_percent);
  }
}

ServerHints Collect(const HintMap& hints, bool is_relayed) {
  ServerHints message;
  message.is_relayed = is_relayed;
  for (const auto& [key, hint] : hints) {
    message.hints.push_back(hint);
  }
  return message;
}

}  // namespace

struct HintRelay::Impl : std::enable_shared_from_this<HintRelay::Impl> {
  Impl(WorkerPool& worker_pool, Send entries_sender, Send controls_sender)
      : pool(worker_pool),
        to_entries(std::move(entries_sender)),
        to_controls(std::move(controls_sender)) {}

  void Flush() {
    HintMap own_hints;
    HintMap all_hints;
    {
      const RankedLock lock(this->mutex);
      own_hints.swap(this->own);
      all_hints.swap(this->all);
      this->is_scheduled = false;
    }
    this->to_entries(Collect(all_hints, true));
    if (!own_hints.empty()) {
      this->to_controls(Collect(own_hints, true));
    }
  }

  WorkerPool& pool;
  const Send to_entries;
  const Send to_controls;
  RankedMutex<LockRank::kSubscribers> mutex;
  // Those of the entry VMs here, and with those of other control VMs.
  HintMap own;
  HintMap all;
  bool is_scheduled = false;
};

HintRelay::HintRelay(WorkerPool& pool, Send to_entries, Send to_controls)
    : impl(std::make_shared<Impl>(pool,
                                  std::move(to_entries),
                                  std::move(to_controls))) {}

HintRelay::~HintRelay() = default;

void HintRelay::Take(const ServerHints& received) {
  bool schedules = false;
  {
    const RankedLock lock(this->impl->mutex);
    Merge(received.hints, this->impl->all);
    if (!received.is_relayed) {
      Merge(received.hints, this->impl->own);
    }
    schedules = !std::exchange(this->impl->is_scheduled, true);
  }
  if (schedules) {
    this->impl->pool.PostAfter(kRelayInterval,
                               [weak = std::weak_ptr(this->impl)] {
                                 if (const auto self = weak.lock()) {
                                   self->Flush();
                                 }
                               });
  }
}

}  // namespace marigold
