#include "src/replication/detail/boot_table.h"

#include <string>
#include <tuple>

#include "src/replication/detail/checksum.h"

namespace marigold::detail {

bool Supersedes(const BootRecord& a, const BootRecord& b) {
  return std::tie(a.count, a.nonce) > std::tie(b.count, b.nonce);
}

BootTable::BootTable(const std::vector<BootRecord>& stored) {
  for (const BootRecord& record : stored) {
    this->Update(record);
  }
}

bool BootTable::Update(const BootRecord& record) {
  const auto [position, added] =
      this->latest_by_disk.try_emplace(record.disk, record);
  if (added) {
    return true;
  }
  if (!Supersedes(record, position->second)) {
    return false;
  }
  position->second = record;
  return true;
}

const BootRecord* BootTable::Find(const DiskId& disk) const {
  const auto position = this->latest_by_disk.find(disk);
  return position == this->latest_by_disk.end() ? nullptr : &position->second;
}

std::vector<BootRecord> BootTable::Records() const {
  std::vector<BootRecord> records;
  for (const auto& [disk, record] : this->latest_by_disk) {
    records.push_back(record);
  }
  return records;
}

std::uint64_t DigestOf(const std::vector<BootRecord>& records) {
  std::string bytes;
  for (const BootRecord& record : records) {
    bytes += record.disk.value();
    bytes += '\0';
    bytes += std::to_string(record.count) + ' ';
    bytes += std::to_string(record.nonce) + ' ';
  }
  return Checksum(bytes);
}

}  // namespace marigold::detail
