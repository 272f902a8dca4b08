#ifndef SRC_POLICY_RETRY_BUDGET_H_
#define SRC_POLICY_RETRY_BUDGET_H_

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

#include "src/core/units.h"

namespace marigold {

// Limits the sends beyond the first one of each request that all entry VMs
// together may make to one service within a window.
struct RetryBudgetSettings {
  // The number of extra sends that are allowed for each request for the service
  // in the window.
  Fraction ratio{0.2};
  // The number of extra sends in a window that all entry VMs together may make
  // in addition to the ratio.
  double fleet_minimum_sends = 100;
  Duration window = std::chrono::seconds(10);
  // The start time of the process. Extra sends of an earlier process on this VM
  // still count for one window.
  MonotonicTime started_at = MonotonicTime::min();
};

// One entry VM's part of a service's retry budget. Counts in a sliding window,
// so that no interval of the window's length exceeds the budget. Not
// synchronised.
class RetryBudget {
 public:
  // Commands.

  // Counts a request for the service.
  void OnRequest(const RetryBudgetSettings& settings, MonotonicTime now) {
    this->ClearExpiredSlots(settings, now);
    ++this->slots[this->SlotIndex(settings, now)].requests;
  }

  // Counts one extra send. Returns false and counts nothing if the budget is
  // used up. `share` is this entry VM's fraction of `fleet_minimum_sends`.
  bool TrySpend(const RetryBudgetSettings& settings,
                MonotonicTime now,
                Fraction share) {
    this->ClearExpiredSlots(settings, now);
    std::uint64_t requests = 0;
    std::uint64_t extra_sends = 0;
    for (const Slot& slot : this->slots) {
      requests += slot.requests;
      extra_sends += slot.extra_sends;
    }
    const double earned =
        kSafetyFactor * settings.ratio.value() * static_cast<double>(requests);
    const bool has_just_started = now < settings.started_at + settings.window;
    const double allowed = has_just_started
                               ? kRestartFactor * earned
                               : earned + kSafetyFactor *
                                              settings.fleet_minimum_sends *
                                              share.value();
    if (static_cast<double>(extra_sends + 1) > allowed) {
      return false;
    }
    ++this->slots[this->SlotIndex(settings, now)].extra_sends;
    return true;
  }

 private:
  // The counts of one of the equal parts of the window.
  struct Slot {
    std::uint32_t requests = 0;
    std::uint32_t extra_sends = 0;
  };

  static constexpr std::size_t kSlotsPerWindow = 20;
  // The fraction of the budget that may be used. This process counts a request
  // slightly before an outside observer sees it, and the window of an outside
  // observer may span one slot more.
  static constexpr double kSafetyFactor = 0.85;
  // The fraction of the earned budget that may be used in the first window
  // after a start. An earlier process may have used the whole budget just
  // before all entry VMs were restarted.
  static constexpr double kRestartFactor = 0.35;

  // The number of slots from the epoch of the clock to the slot of `now`.
  std::int64_t SlotNumber(const RetryBudgetSettings& settings,
                          MonotonicTime now) const {
    return now.time_since_epoch() /
           (settings.window / static_cast<std::int64_t>(kSlotsPerWindow));
  }

  std::size_t SlotIndex(const RetryBudgetSettings& settings,
                        MonotonicTime now) const {
    return static_cast<std::size_t>(this->SlotNumber(settings, now)) %
           kSlotsPerWindow;
  }

  // Clears the slots whose counts are older than the window.
  void ClearExpiredSlots(const RetryBudgetSettings& settings,
                         MonotonicTime now) {
    const std::int64_t slot_number = this->SlotNumber(settings, now);
    const std::int64_t first =
        std::max(this->last_slot_number + 1,
                 slot_number - static_cast<std::int64_t>(kSlotsPerWindow) + 1);
    for (std::int64_t number = first; number <= slot_number; ++number) {
      this->slots[static_cast<std::size_t>(number) % kSlotsPerWindow] = {};
    }
    this->last_slot_number = std::max(this->last_slot_number, slot_number);
  }

  std::array<Slot, kSlotsPerWindow> slots{};
  std::int64_t last_slot_number = 0;
};

}  // namespace marigold

#endif  // SRC_POLICY_RETRY_BUDGET_H_
