#ifndef SRC_REPLICATION_DETAIL_BOOT_TABLE_H_
#define SRC_REPLICATION_DETAIL_BOOT_TABLE_H_

#include <cstdint>
#include <map>
#include <vector>

#include "src/replication/types.h"

namespace marigold::detail {

// True if `a` takes the place of `b` as the latest known start of a disk. Of
// two starts with one count, every member keeps the same.
bool Supersedes(const BootRecord& a, const BootRecord& b);

// The latest known process start of every disk. Disks that are no longer
// members are kept: a member that lags behind may still count on them.
class BootTable {
 public:
  explicit BootTable(const std::vector<BootRecord>& stored);

  // Commands.

  // Returns whether the record is later than the known one of its disk.
  bool Update(const BootRecord& record);

  // Queries.

  // Null for a disk of which no start is known.
  const BootRecord* Find(const DiskId& disk) const;
  std::vector<BootRecord> Records() const;

 private:
  std::map<DiskId, BootRecord> latest_by_disk;
};

// Equal for equal records in the same order.
std::uint64_t DigestOf(const std::vector<BootRecord>& records);

}  // namespace marigold::detail

#endif  // SRC_REPLICATION_DETAIL_BOOT_TABLE_H_
