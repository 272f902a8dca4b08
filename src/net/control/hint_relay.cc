#include "src/net/control/hint_relay.h"

#include <algorithm>
#include <map>
#include <utility>

#include "src/core/ranked_mutex.h"

namespace marigold {

namespace {

// Hints that arrive within this interval are forwarded in one batch.
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
  Impl(WorkerPool& worker_pool,
       Sender entry_vms_sender,
       Sender control_vms_sender)
      : pool(worker_pool),
        send_to_entry_vms(std::move(entry_vms_sender)),
        send_to_control_vms(std::move(control_vms_sender)) {}

  void Flush() {
    HintMap local_hints;
    HintMap all_hints;
    {
      const RankedLock lock(this->mutex);
      local_hints.swap(this->pending_local);
      all_hints.swap(this->pending_all);
      this->is_scheduled = false;
    }
    this->send_to_entry_vms(Collect(all_hints, true));
    if (!local_hints.empty()) {
      this->send_to_control_vms(Collect(local_hints, true));
    }
  }

  WorkerPool& pool;
  const Sender send_to_entry_vms;
  const Sender send_to_control_vms;
  RankedMutex<LockRank::kSubscribers> mutex;
  // Hints of the next batch: those of entry VMs that are subscribed here, which
  // go to the other control VMs, and those plus the hints of other control VMs,
  // which go to the entry VMs.
  HintMap pending_local;
  HintMap pending_all;
  bool is_scheduled = false;
};

HintRelay::HintRelay(WorkerPool& pool,
                     Sender send_to_entry_vms,
                     Sender send_to_control_vms)
    : impl(std::make_shared<Impl>(pool,
                                  std::move(send_to_entry_vms),
                                  std::move(send_to_control_vms))) {}

HintRelay::~HintRelay() = default;

void HintRelay::Add(const ServerHints& received) {
  bool must_schedule = false;
  {
    const RankedLock lock(this->impl->mutex);
    Merge(received.hints, this->impl->pending_all);
    if (!received.is_relayed) {
      Merge(received.hints, this->impl->pending_local);
    }
    must_schedule = !std::exchange(this->impl->is_scheduled, true);
  }
  if (must_schedule) {
    this->impl->pool.PostAfter(kRelayInterval,
                               [weak = std::weak_ptr(this->impl)] {
                                 if (const auto self = weak.lock()) {
                                   self->Flush();
                                 }
                               });
  }
}

}  // namespace marigold
