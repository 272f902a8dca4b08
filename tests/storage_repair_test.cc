#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <functional>
#include <string>
#include <vector>

#include "src/replication/file_storage.h"
#include "tests/faulty_disk.h"
#include "tests/row_indices.h"
#include "tests/storage_folder.h"

namespace marigold {

namespace {

constexpr std::uint64_t kSyncedEntries = 3;

void FillDisk() {
  FaultyDisk::Get().free_bytes = 0;
}

void LeaveFewBytes() {
  FaultyDisk::Get().free_bytes = 20;
}

void FailWrites() {
  FaultyDisk::Get().write_error = EIO;
}

void FailSyncs() {
  FaultyDisk::Get().sync_error = EIO;
}

void UseUpInodes() {
  FaultyDisk::Get().create_error = ENOSPC;
}

Result<void> AppendAndSync(FileStorage& storage, std::uint64_t index) {
  BOOST_LEAF_CHECK(storage.Append({EntryAt(index)}));
  return storage.Sync();
}

Result<void> SaveVote(FileStorage& storage) {
  HardState hard_state;
  hard_state.term = Term(7);
  hard_state.voted_for = DiskId("other");
  return storage.SaveHardState(hard_state);
}

Result<void> SaveSnapshotAtTwo(FileStorage& storage) {
  return storage.SaveSnapshot({LogIndex(2), Term(1), {}, WallTime(), "two"});
}

Result<void> CutLog(FileStorage& storage) {
  BOOST_LEAF_CHECK(storage.TruncateFrom(LogIndex(3)));
  return storage.Sync();
}

// Starts a new segment, since four entries fill one.
Result<void> AppendThree(FileStorage& storage) {
  for (std::uint64_t index = 4; index <= 6; ++index) {
    BOOST_LEAF_CHECK(AppendAndSync(storage, index));
  }
  return {};
}

struct RepairRow {
  const char* scenario;
  void (*begin_fault)();
  Result<void> (*write)(FileStorage&);
  // Entries that may be in the log after the repair.
  std::uint64_t min_entries;
  std::uint64_t max_entries;
};

const RepairRow kRepairRows[] = {
    {"full during an append", FillDisk,
     [](FileStorage& storage) { return AppendAndSync(storage, 4); }, 3, 3},
    {"full after a part of an entry", LeaveFewBytes,
     [](FileStorage& storage) { return AppendAndSync(storage, 4); }, 3, 3},
    {"full after a part of a new segment", LeaveFewBytes, AppendThree, 3, 4},
    {"error in the write of an entry", FailWrites,
     [](FileStorage& storage) { return AppendAndSync(storage, 4); }, 3, 3},
    {"error in the sync of an entry", FailSyncs,
     [](FileStorage& storage) { return AppendAndSync(storage, 4); }, 3, 3},
    {"full during a vote", FillDisk, SaveVote, 3, 3},
    {"error in the sync of a vote", FailSyncs, SaveVote, 3, 3},
    {"no inode for a vote", UseUpInodes, SaveVote, 3, 3},
    {"no inode for a new segment", UseUpInodes, AppendThree, 4, 4},
    {"full during a snapshot", FillDisk, SaveSnapshotAtTwo, 3, 3},
    {"error in the sync of a snapshot", FailSyncs, SaveSnapshotAtTwo, 3, 3},
    {"error while the log is cut", FailSyncs, CutLog, 2, 3},
};

std::uint64_t LastIndexOf(const StoredState& stored) {
  if (!stored.entries.empty()) {
    return stored.entries.back().index.value();
  }
  return stored.snapshot ? stored.snapshot->index.value() : 0;
}

FileStorage OpenWithEntries(const std::string& folder) {
  FileStorage storage = std::get<FileStorage>(OpenFolder(folder));
  cr_assert(static_cast<bool>(storage.Load()));
  for (std::uint64_t index = 1; index <= kSyncedEntries; ++index) {
    cr_assert(static_cast<bool>(AppendAndSync(storage, index)));
  }
  return storage;
}

std::variant<StoredState, AnyError> LoadAgain(FileStorage& storage) {
  return Capture<StoredState>([&] { return storage.Load(); });
}

}  // namespace

ParameterizedTestParameters(FileStorage, RepairKeepsWhatWasSynced) {
  return RowIndices(kRepairRows);
}

// Guards against a disk that stays unused after it was full or failed once, and
// against one that is used again although it lacks what the member has promised
// or holds bytes that were never synced.
ParameterizedTest(std::size_t* index, FileStorage, RepairKeepsWhatWasSynced) {
  const RepairRow& row = kRepairRows[*index];
  const TemporaryFolder folder;
  const TemporaryFolder copy;
  FaultyDisk::Get().Watch(folder.path);
  FileStorage storage = OpenWithEntries(folder.path);
  row.begin_fault();
  const auto failure = ErrorOf([&] { return row.write(storage); });
  const auto refused = ErrorOf([&] { return AppendAndSync(storage, 9); });
  FaultyDisk::Get().EndFaults();
  cr_assert(failure && refused, "%s: expected failures, actual %d, %d",
            row.scenario, failure.has_value(), refused.has_value());

  const auto repaired = ErrorOf([&] { return storage.Repair(); });
  const auto loaded = LoadAgain(storage);
  const auto* stored = std::get_if<StoredState>(&loaded);
  cr_assert(
      !repaired && stored != nullptr,
      "%s: expected a storage that loads, actual %s", row.scenario,
      DescribeOutcome(stored != nullptr ? repaired : std::get<AnyError>(loaded))
          .c_str());
  const std::uint64_t last_index = LastIndexOf(*stored);
  cr_assert(last_index >= row.min_entries && last_index <= row.max_entries,
            "%s: expected %lu to %lu entries, actual %lu", row.scenario,
            row.min_entries, row.max_entries, last_index);

  // What is synced from now on survives a loss of power.
  const auto written =
      ErrorOf([&] { return AppendAndSync(storage, last_index + 1); });
  FaultyDisk::Get().CopyDurable(copy.path);
  const auto after_power_loss = LoadFolder(copy.path);
  const auto* durable = std::get_if<StoredState>(&after_power_loss);
  cr_assert(
      !written && durable != nullptr && LastIndexOf(*durable) == last_index + 1,
      "%s: expected entry %lu after a loss of power, actual %s, %lu",
      row.scenario, last_index + 1, DescribeOutcome(written).c_str(),
      durable == nullptr ? 0 : LastIndexOf(*durable));
}

// Guards against a member that acknowledges an entry which an earlier process
// on its disk wrote and did not sync. A loss of power would take it away.
Test(FileStorage, EntriesOfAnEarlierProcessAreSynced) {
  const TemporaryFolder folder;
  const TemporaryFolder copy;
  FaultyDisk::Get().Watch(folder.path);
  {
    FileStorage killed = OpenWithEntries(folder.path);
    cr_assert(static_cast<bool>(killed.Append({EntryAt(4)})));
  }
  FileStorage storage = std::get<FileStorage>(OpenFolder(folder.path));
  const auto loaded = LoadAgain(storage);
  cr_assert(static_cast<bool>(storage.Sync()));
  FaultyDisk::Get().CopyDurable(copy.path);
  const auto after_power_loss = LoadFolder(copy.path);
  const std::uint64_t expected = LastIndexOf(std::get<StoredState>(loaded));
  const std::uint64_t actual =
      LastIndexOf(std::get<StoredState>(after_power_loss));
  cr_assert(actual == expected,
            "expected the %lu entries that were loaded, actual %lu", expected,
            actual);
}

// Guards against a member that votes and acknowledges entries again although
// its disk has lost what it had promised.
Test(FileStorage, LossOfSyncedEntriesIsNoticed) {
  const TemporaryFolder folder;
  FaultyDisk::Get().Watch(folder.path);
  FileStorage storage = OpenWithEntries(folder.path);
  FailWrites();
  cr_assert(ErrorOf([&] { return AppendAndSync(storage, 4); }).has_value());
  FaultyDisk::Get().EndFaults();
  cr_assert(static_cast<bool>(storage.Repair()));
  fs::resize_file(folder.path + "/" + SegmentName(1),
                  fs::file_size(folder.path + "/" + SegmentName(1)) - 10);
  const auto loaded = LoadAgain(storage);
  const auto* error = std::get_if<AnyError>(&loaded);
  cr_assert(error != nullptr && std::holds_alternative<ParseError>(*error),
            "expected a damaged folder, actual %s",
            error == nullptr ? "loaded" : DescribeOutcome(*error).c_str());
}

}  // namespace marigold
