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

void Merge(const std::vector<ServerHint>& hints, HintMap& merged) {
  for (const ServerHint& hint : hints) {
    ServerHint& merged_hint =
        merged.try_emplace(HintKey(hint.server, hint.started_at_ms), hint)
            .first->second;
    merged_hint.slowness_percent =
        std::max(merged_hint.slowness_percent, hint.slowness_percent);
  }
}

ServerHints MakeHintsMessage(const HintMap& hints, bool is_relayed) {
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
      local_hints.swap(this->pending_local_hints);
      all_hints.swap(this->pending_all_hints);
      this->is_flush_scheduled = false;
    }
    this->send_to_entry_vms(MakeHintsMessage(all_hints, true));
    if (!local_hints.empty()) {
      this->send_to_control_vms(MakeHintsMessage(local_hints, true));
    }
  }

  WorkerPool& pool;
  const Sender send_to_entry_vms;
  const Sender send_to_control_vms;
  RankedMutex<LockRank::kSubscribers> mutex;
  // Hints for the next batch to the other control VMs. They come from the entry
  // VMs that are subscribed to this control VM.
  HintMap pending_local_hints;
  // Hints for the next batch to the subscribed entry VMs: those in
  // `pending_local_hints`, and those that other control VMs have relayed.
  HintMap pending_all_hints;
  bool is_flush_scheduled = false;
};

HintRelay::HintRelay(WorkerPool& pool,
                     Sender send_to_entry_vms,
                     Sender send_to_control_vms)
    : impl(std::make_shared<Impl>(pool,
                                  std::move(send_to_entry_vms),
                                  std::move(send_to_control_vms))) {}

HintRelay::~HintRelay() = default;

void HintRelay::Add(const ServerHints& received) {
  bool must_schedule_flush = false;
  {
    const RankedLock lock(this->impl->mutex);
    Merge(received.hints, this->impl->pending_all_hints);
    if (!received.is_relayed) {
      Merge(received.hints, this->impl->pending_local_hints);
    }
    must_schedule_flush = !std::exchange(this->impl->is_flush_scheduled, true);
  }
  if (must_schedule_flush) {
    this->impl->pool.PostAfter(kRelayInterval,
                               [weak = std::weak_ptr(this->impl)] {
                                 if (const auto self = weak.lock()) {
                                   self->Flush();
                                 }
                               });
  }
}

}  // namespace marigold
