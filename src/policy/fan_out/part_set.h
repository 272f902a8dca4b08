#ifndef SRC_POLICY_FAN_OUT_PART_SET_H_
#define SRC_POLICY_FAN_OUT_PART_SET_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "src/policy/fan_out/fan_out_types.h"

namespace marigold {

// The answers of the shards of one request. Contains at most one answer of each
// shard, whichever queries have delivered it.
class PartSet {
 public:
  explicit PartSet(std::size_t shard_count) : is_shard_answered(shard_count) {}

  // Commands.

  // Adds a block whose positions count within the request. A block that
  // overlaps with blocks of the set replaces them if it holds all their parts
  // and more; otherwise it is dropped. A block that names a shard twice or one
  // that the request does not have is dropped.
  void Add(PartBlock block);

  // Queries.

  bool IsAnswered(ShardPosition shard) const {
    return this->is_shard_answered[shard];
  }
  std::size_t answered_count() const { return this->answered; }
  std::size_t shard_count() const { return this->is_shard_answered.size(); }
  // The stamps of all parts, in no particular order.
  std::vector<std::string_view> Stamps() const;
  // The greatest records of all parts, in descending order.
  std::string MergeRecords(std::size_t max_records) const;

 private:
  bool IsWellFormed(const PartBlock& block) const;

  std::vector<PartBlock> blocks;
  std::vector<bool> is_shard_answered;
  std::size_t answered = 0;
};

}  // namespace marigold

#endif  // SRC_POLICY_FAN_OUT_PART_SET_H_
