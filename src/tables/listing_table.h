#ifndef SRC_TABLES_LISTING_TABLE_H_
#define SRC_TABLES_LISTING_TABLE_H_

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "src/core/ranked_mutex.h"
#include "src/policy/listing.h"

namespace marigold {

// Identifies the newest listing without its rows.
struct ListingSummary {
  ListingHash hash;
  // When the listing was last read; nothing before the first one.
  std::optional<MonotonicTime> observed_at;
};

// The rows of a listing together with their summary.
struct ListingSnapshot {
  ListingSummary summary;
  std::shared_ptr<const std::vector<ListedServer>> servers;
};

// The newest listing of backend servers that this process has read or received,
// and its share of the limits that all entry VMs have together. Shared by all
// workers.
class ListingTable {
 public:
  // Sets a callback that runs after the rows have changed, while no lock is
  // held. Must be called before any other use.
  void OnChanged(std::function<void()> on_changed);

  // Commands.

  // Stores a listing unless a newer one is known. Returns true if the rows
  // changed.
  bool Store(std::vector<ListedServer> servers, MonotonicTime observed_at);

  // Records that the rows with this hash were still valid at `observed_at`.
  // Returns false if the stored rows have another hash.
  bool Confirm(ListingHash hash, MonotonicTime observed_at);

  // Sets the share that this entry VM may use of the limits that all entry VMs
  // have together.
  void SetFleetLimitShare(Fraction entry_share);

  // Queries.

  // The value of `SetFleetLimitShare`; zero until a control VM has sent one.
  Fraction FleetLimitShare() const;
  ListingSummary Summary() const;
  std::shared_ptr<const std::vector<ListedServer>> Servers() const;
  // Both of one moment.
  ListingSnapshot Snapshot() const;

 private:
  mutable RankedMutex<LockRank::kListing> mutex;
  std::shared_ptr<const std::vector<ListedServer>> servers =
      std::make_shared<const std::vector<ListedServer>>();
  ListingSummary summary;
  Fraction fleet_limit_share{0};
  std::function<void()> on_rows_changed = [] {};
};

// Hash of all fields of all rows in their order.
ListingHash HashOf(const std::vector<ListedServer>& servers);

}  // namespace marigold

#endif  // SRC_TABLES_LISTING_TABLE_H_
