#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <cstddef>
#include <string>
#include <vector>

#include "src/policy/fan_out/part_set.h"
#include "tests/row_indices.h"

namespace marigold {

namespace {

constexpr std::size_t kShardCount = 4;

// A record of 16 bytes whose order is that of `letter`.
std::string Record(char letter) {
  return std::string(16, letter);
}

PartBlock Block(const std::vector<ShardPosition>& shards, char letter) {
  PartBlock block;
  for (const ShardPosition shard : shards) {
    block.parts.push_back(
        {shard, std::string(1, letter) + std::to_string(shard)});
  }
  block.records = Record(letter);
  return block;
}

struct AddRow {
  // The shards of the blocks that are added in this order.
  std::vector<std::vector<ShardPosition>> blocks;
  std::size_t expected_answered;
  // The records of the blocks in use, in descending order. The first block has
  // records "a", the second "b", and so on.
  const char* expected_records;
};

const AddRow kAddRows[] = {
    {{{0, 1}}, 2, "a"},
    {{{0, 1}, {2, 3}}, 4, "ba"},
    // The same shards again.
    {{{0, 1}, {0, 1}}, 2, "a"},
    // A block with all parts of an earlier one and more replaces it.
    {{{0, 1}, {0, 1, 2}}, 3, "b"},
    {{{0}, {1}, {0, 1, 2}}, 3, "c"},
    // The parts of overlapping blocks can't be separated.
    {{{0, 1}, {1, 2}}, 2, "a"},
    {{{0, 1, 2}, {1}}, 3, "a"},
    // A shard twice in a block, and a shard that the request does not have.
    {{{0, 0}}, 0, ""},
    {{{0, 7}}, 0, ""},
    {{{}}, 0, ""},
};

}  // namespace

ParameterizedTestParameters(PartSet, UsesTheAnswerOfEachShardOnce) {
  return RowIndices(kAddRows);
}

// Guards against an answer that counts the records of a shard twice because two
// queries have answered it, and against coverage that counts it twice.
ParameterizedTest(std::size_t* index, PartSet, UsesTheAnswerOfEachShardOnce) {
  const AddRow& row = kAddRows[*index];
  PartSet parts(kShardCount);
  char letter = 'a';
  for (const auto& shards : row.blocks) {
    parts.Add(Block(shards, letter++));
  }
  cr_assert_eq(parts.answered_count(), row.expected_answered,
               "row %zu: actual %zu answered", *index, parts.answered_count());
  cr_assert_eq(parts.Stamps().size(), row.expected_answered,
               "row %zu: actual %zu stamps", *index, parts.Stamps().size());
  std::string expected_records;
  for (const char* record = row.expected_records; *record != 0; ++record) {
    expected_records += Record(*record);
  }
  const std::string records = parts.MergeRecords(10);
  cr_assert(records == expected_records, "row %zu: actual %s", *index,
            records.c_str());
}

// Guards against an answer that names a stamp twice.
Test(PartSet, DropsABlockWithARepeatedStamp) {
  PartSet parts(kShardCount);
  PartBlock block;
  block.parts = {{0, "same"}, {1, "same"}};
  parts.Add(block);
  cr_assert_eq(parts.answered_count(), std::size_t{0}, "actual %zu",
               parts.answered_count());
}

}  // namespace marigold
