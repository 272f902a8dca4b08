#ifndef SRC_TABLES_LISTING_TABLE_H_
#define SRC_TABLES_LISTING_TABLE_H_

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "src/core/ranked_mutex.h"
#include "src/policy/listing.h"

namespace marigold {

// What is known of the newest listing without its rows.
struct ListingSummary {
  ListingHash hash;
  // Nothing if no list was ever read.
  std::optional<MonotonicTime> observed_at;
};

// The newest list of backend servers that this process has read or been sent,
// and its part of limits for the whole fleet. Shared by all workers.
class ListingTable {
 public:
  // `on_changed` is called after the rows have changed, without the lock. To be
  // set before any other use.
  void OnChanged(std::function<void()> on_changed);

  // Commands.

  // Takes a listing unless a newer one is known. True if the rows changed.
  bool Store(std::vector<ListedServer> servers, MonotonicTime observed_at);

  // The rows with this hash were still right at `observed_at`. False if the
  // rows here are others.
  bool Confirm(ListingHash hash, MonotonicTime observed_at);

  // Sets the part of limits for all entry VMs together that this one may use.
  void SetFleetLimitShare(Fraction entry_share);

  // Queries.

  // Zero until control has named one.
  Fraction share() const;
  ListingSummary Summary() const;
  std::shared_ptr<const std::vector<ListedServer>> Servers() const;

 private:
  mutable RankedMutex<LockRank::kListing> mutex;
  std::shared_ptr<const std::vector<ListedServer>> servers =
      std::make_shared<const std::vector<ListedServer>>();
  ListingSummary summary;
  Fraction fleet_limit_share{0};
  std::function<void()> report_changed = [] {};
};

// Depends on all fields of all rows and on their order.
ListingHash HashOf(const std::vector<ListedServer>& servers);

}  // namespace marigold

#endif  // SRC_TABLES_LISTING_TABLE_H_
