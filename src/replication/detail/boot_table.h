#ifndef SRC_REPLICATION_DETAIL_BOOT_TABLE_H_
#define SRC_REPLICATION_DETAIL_BOOT_TABLE_H_

#include <cstdint>
#include <map>
#include <vector>

#include "src/replication/types.h"

namespace marigold::detail {

// Returns whether `a` replaces `b` as the latest known boot of a disk. All
// members make the same choice between two boots with the same count.
bool Supersedes(const BootRecord& a, const BootRecord& b);

// The latest known boot of every disk. Disks that are no longer members are
// kept, because a member that lags behind may still count them.
class BootTable {
 public:
  explicit BootTable(const std::vector<BootRecord>& stored);

  // Commands.

  // Returns whether the record is later than the known one of its disk, which
  // it then replaces.
  bool Update(const BootRecord& record);

  // Queries.

  // Returns null if no boot of the disk is known.
  const BootRecord* Find(const DiskId& disk) const;
  std::vector<BootRecord> Records() const;

 private:
  std::map<DiskId, BootRecord> latest_by_disk;
};

// Returns a hash that is equal for equal records in the same order.
std::uint64_t DigestOf(const std::vector<BootRecord>& records);

}  // namespace marigold::detail

#endif  // SRC_REPLICATION_DETAIL_BOOT_TABLE_H_
