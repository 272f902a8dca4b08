#include <criterion/criterion.h>

#include <string>
#include <variant>

#include "src/replication/file_storage.h"
#include "tests/faulty_disk.h"
#include "tests/storage_folder.h"

namespace marigold {

namespace {

constexpr std::uint64_t kSyncedEntries = 3;

Result<void> AppendAndSync(FileStorage& storage, std::uint64_t index) {
  BOOST_LEAF_CHECK(storage.Append({EntryAt(index)}));
  return storage.Sync();
}

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

}  // namespace marigold
