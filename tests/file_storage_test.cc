#include <criterion/criterion.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "src/core/log.h"
#include "src/core/random.h"
#include "src/replication/replica.h"
#include "tests/memory_storage.h"
#include "tests/storage_folder.h"

namespace marigold {

// Guards against two processes that write to one log and damage it.
Test(FileStorage, FolderInUseIsRefused) {
  const TemporaryFolder folder;
  const OpenResult first = OpenFolder(folder.path);
  const OpenResult second = OpenFolder(folder.path);
  const auto* error = std::get_if<AnyError>(&second);
  const std::string expected =
      "lock the data folder, which another process uses: " + folder.path +
      "/lock: Resource temporarily unavailable";
  const std::string actual =
      error == nullptr ? "opened" : DescribeOutcome(*error);
  cr_assert(actual == expected, "expected \"%s\", actual \"%s\"",
            expected.c_str(), actual.c_str());
}

// Guards against a disk id that changes between two openings, so that the group
// no longer knows the voter.
Test(FileStorage, DiskIdIsWrittenOnce) {
  const TemporaryFolder folder;
  const TemporaryFolder other;
  const DiskId first = std::get<FileStorage>(OpenFolder(folder.path)).disk();
  const DiskId second = std::get<FileStorage>(OpenFolder(folder.path)).disk();
  const DiskId third = std::get<FileStorage>(OpenFolder(other.path)).disk();
  cr_assert(first == second && first != third,
            "expected one id per folder, actual %s, %s and %s",
            first.value().c_str(), second.value().c_str(),
            third.value().c_str());
}

// Guards against a disk that fills up because segments are kept although a
// snapshot covers them.
Test(FileStorage, SnapshotRemovesSegmentsThatItCovers) {
  const TemporaryFolder folder;
  FillFolder(folder.path);
  {
    OpenResult opened = OpenFolder(folder.path);
    FileStorage& storage = std::get<FileStorage>(opened);
    cr_assert(static_cast<bool>(storage.Load()));
    cr_assert(static_cast<bool>(storage.SaveSnapshot(
        {LogIndex(8), Term(1), {}, WallTime(), "state after eight"})));
  }
  const bool first = fs::exists(folder.path + "/" + SegmentName(1));
  const bool second = fs::exists(folder.path + "/" + SegmentName(5));
  const bool third = fs::exists(folder.path + "/" + SegmentName(9));
  cr_assert(!first && !second && third,
            "expected segment 9 alone, actual %d %d %d", first, second, third);
}

// Guards against a folder that does not load after a crash between saving a
// snapshot and removing the segments that it covers.
Test(FileStorage, CrashBeforeSegmentsAreRemovedIsRepaired) {
  const TemporaryFolder folder;
  const TemporaryFolder copy;
  FillFolder(folder.path);
  fs::copy(folder.path, copy.path, fs::copy_options::recursive);
  {
    OpenResult opened = OpenFolder(folder.path);
    FileStorage& storage = std::get<FileStorage>(opened);
    cr_assert(static_cast<bool>(storage.Load()));
    cr_assert(static_cast<bool>(storage.SaveSnapshot(
        {LogIndex(20), Term(1), {}, WallTime(), "state after twenty"})));
  }
  fs::copy_file(folder.path + "/snapshot", copy.path + "/snapshot",
                fs::copy_options::overwrite_existing);
  const auto outcome = LoadFolder(copy.path);
  const auto* stored = std::get_if<StoredState>(&outcome);
  cr_assert(stored != nullptr && stored->entries.empty() &&
                !fs::exists(copy.path + "/" + SegmentName(9)),
            "expected an empty log after the snapshot");
}

// Guards against a restart that takes longer than 1 s with a log of 10,000
// entries.
Test(FileStorage, OpensTenThousandEntriesWithinASecond) {
  const TemporaryFolder folder;
  {
    auto storage = FileStorage::Open(folder.path);
    cr_assert(storage && storage.value().Load());
    std::vector<LogEntry> entries;
    for (std::uint64_t index = 1; index <= 10'000; ++index) {
      entries.push_back(EntryAt(index));
      entries.back().payload = std::string(200, 'x');
    }
    cr_assert(storage.value().Append(entries) && storage.value().Sync());
  }
  const auto start = std::chrono::steady_clock::now();
  auto storage = FileStorage::Open(folder.path);
  SeededRandom random(1);
  const auto replica = Replica<FileStorage, SeededRandom>::Open(
      {}, storage.value(), random, MonotonicTime());
  const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::steady_clock::now() - start);
  cr_log_info("opened 10,000 entries in %ld ms", elapsed.count());
  cr_assert(replica && replica.value().last_index() == LogIndex(10'000) &&
                elapsed < std::chrono::seconds(1),
            "expected under 1 s, actual %ld ms", elapsed.count());
}

// Guards against any sequence of calls after which the folder holds something
// other than what was written. Random calls are compared with a storage in
// memory.
Test(FileStorage, ReopenedFolderHoldsWhatWasWritten) {
  SetLogLevel(LogLevel::kError);
  for (std::uint64_t seed = 0; seed < 40; ++seed) {
    SeededRandom random(seed);
    const TemporaryFolder folder;
    std::optional<FileStorage> storage(
        std::get<FileStorage>(OpenFolder(folder.path)));
    cr_assert(static_cast<bool>(storage->Load()));
    MemoryStorage model(storage->disk());
    LogIndex last_index;
    LogIndex compacted_index;
    for (int step = 0; step < 60; ++step) {
      std::vector<LogEntry> batch;
      switch (random.NextBelow(6)) {
        case 0:
        case 1:
          for (std::uint64_t i = random.NextBelow(8) + 1; i > 0; --i) {
            last_index = Next(last_index);
            batch.push_back(EntryAt(last_index.value(), seed + 1));
          }
          cr_assert(static_cast<bool>(storage->Append(batch)));
          cr_assert(static_cast<bool>(model.Append(batch)));
          break;
        case 2: {
          const LogIndex from(compacted_index.value() + 1 +
                              random.NextBelow(last_index.value() -
                                               compacted_index.value() + 1));
          cr_assert(static_cast<bool>(storage->TruncateFrom(from)));
          cr_assert(static_cast<bool>(model.TruncateFrom(from)));
          last_index = std::min(last_index, LogIndex(from.value() - 1));
          break;
        }
        case 3: {
          compacted_index =
              LogIndex(compacted_index.value() + 1 + random.NextBelow(12));
          last_index = std::max(last_index, compacted_index);
          const StateSnapshot snapshot{compacted_index,
                                       Term(seed + 1),
                                       {},
                                       WallTime(),
                                       std::string(random.NextBelow(50), 'x')};
          cr_assert(static_cast<bool>(storage->SaveSnapshot(snapshot)));
          cr_assert(static_cast<bool>(model.SaveSnapshot(snapshot)));
          break;
        }
        case 4: {
          HardState hard_state;
          hard_state.term = Term(random.NextBelow(100));
          hard_state.boot_count = static_cast<std::uint64_t>(step);
          hard_state.known_boots = {{DiskId("y"), 3, random.Next()}};
          cr_assert(static_cast<bool>(storage->SaveHardState(hard_state)));
          cr_assert(static_cast<bool>(model.SaveHardState(hard_state)));
          break;
        }
        default:
          cr_assert(static_cast<bool>(storage->Sync()));
          storage.reset();
          storage.emplace(std::get<FileStorage>(OpenFolder(folder.path)));
          const auto loaded = storage->Load();
          cr_assert(
              loaded && loaded.value().entries == model.current.entries &&
                  loaded.value().snapshot == model.current.snapshot &&
                  loaded.value().hard_state == model.current.hard_state,
              "seed %lu, step %d: loaded state differs from what was written",
              seed, step);
      }
    }
  }
}

}  // namespace marigold
