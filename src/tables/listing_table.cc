#include "src/tables/listing_table.h"

#include <algorithm>
#include <utility>

#include "src/core/binary_codec.h"
#include "src/core/checksum.h"

namespace marigold {

void ListingTable::OnChanged(std::function<void()> on_changed) {
  this->on_rows_changed = std::move(on_changed);
}

bool ListingTable::Store(std::vector<ListedServer> listed,
                         MonotonicTime observed_at) {
  std::sort(listed.begin(), listed.end(),
            [](const ListedServer& a, const ListedServer& b) {
              return a.server < b.server;
            });
  const ListingHash hash = HashOf(listed);
  {
    const RankedLock lock(this->mutex);
    if (this->summary.observed_at && observed_at < *this->summary.observed_at) {
      return false;
    }
    const bool changed =
        !this->summary.observed_at || hash != this->summary.hash;
    this->summary = {hash, observed_at};
    if (!changed) {
      return false;
    }
    this->servers =
        std::make_shared<const std::vector<ListedServer>>(std::move(listed));
  }
  this->on_rows_changed();
  return true;
}

bool ListingTable::Confirm(ListingHash hash, MonotonicTime observed_at) {
  const RankedLock lock(this->mutex);
  if (!this->summary.observed_at || this->summary.hash != hash) {
    return false;
  }
  this->summary.observed_at = std::max(*this->summary.observed_at, observed_at);
  return true;
}

void ListingTable::SetFleetLimitShare(Fraction entry_share) {
  const RankedLock lock(this->mutex);
  this->fleet_limit_share = entry_share;
}

Fraction ListingTable::FleetLimitShare() const {
  const RankedLock lock(this->mutex);
  return this->fleet_limit_share;
}

ListingSummary ListingTable::Summary() const {
  const RankedLock lock(this->mutex);
  return this->summary;
}

std::shared_ptr<const std::vector<ListedServer>> ListingTable::Servers() const {
  const RankedLock lock(this->mutex);
  return this->servers;
}

ListingSnapshot ListingTable::Snapshot() const {
  const RankedLock lock(this->mutex);
  return {this->summary, this->servers};
}

ListingHash HashOf(const std::vector<ListedServer>& servers) {
  return ListingHash(Checksum(EncodeBinary(servers)));
}

}  // namespace marigold
