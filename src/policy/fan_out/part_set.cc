#include "src/policy/fan_out/part_set.h"

#include <algorithm>
#include <utility>

#include "src/policy/record_merge.h"

namespace marigold {

namespace {

bool Contains(const PartBlock& block, ShardPosition shard) {
  return std::any_of(block.parts.begin(), block.parts.end(),
                     [&](const Part& part) { return part.shard == shard; });
}

bool Overlaps(const PartBlock& a, const PartBlock& b) {
  return std::any_of(a.parts.begin(), a.parts.end(),
                     [&](const Part& part) { return Contains(b, part.shard); });
}

bool ContainsAll(const PartBlock& outer, const PartBlock& inner) {
  return std::all_of(
      inner.parts.begin(), inner.parts.end(),
      [&](const Part& part) { return Contains(outer, part.shard); });
}

}  // namespace

void PartSet::Add(PartBlock block) {
  if (!this->IsWellFormed(block)) {
    return;
  }
  std::size_t replaced_parts = 0;
  for (const PartBlock& other : this->blocks) {
    if (!Overlaps(block, other)) {
      continue;
    }
    if (!ContainsAll(block, other)) {
      return;
    }
    replaced_parts += other.parts.size();
  }
  if (block.parts.size() <= replaced_parts) {
    return;
  }
  std::erase_if(this->blocks,
                [&](const PartBlock& other) { return Overlaps(block, other); });
  for (const Part& part : block.parts) {
    this->is_shard_answered[part.shard] = true;
  }
  this->answered += block.parts.size() - replaced_parts;
  this->blocks.push_back(std::move(block));
}

bool PartSet::IsWellFormed(const PartBlock& block) const {
  for (std::size_t i = 0; i < block.parts.size(); ++i) {
    const Part& part = block.parts[i];
    const bool is_repeated = std::any_of(
        block.parts.begin(),
        block.parts.begin() + static_cast<std::ptrdiff_t>(i),
        [&](const Part& other) {
          return other.shard == part.shard || other.stamp == part.stamp;
        });
    if (part.shard >= this->is_shard_answered.size() || part.stamp.empty() ||
        is_repeated) {
      return false;
    }
  }
  return !block.parts.empty();
}

std::vector<std::string_view> PartSet::Stamps() const {
  std::vector<std::string_view> stamps;
  stamps.reserve(this->answered);
  for (const PartBlock& block : this->blocks) {
    for (const Part& part : block.parts) {
      stamps.emplace_back(part.stamp);
    }
  }
  return stamps;
}

std::string PartSet::MergeRecords(std::size_t max_records) const {
  std::vector<std::string_view> bodies;
  bodies.reserve(this->blocks.size());
  for (const PartBlock& block : this->blocks) {
    bodies.emplace_back(block.records);
  }
  return marigold::MergeRecords(bodies, max_records);
}

}  // namespace marigold
