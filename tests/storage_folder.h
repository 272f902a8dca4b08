#ifndef TESTS_STORAGE_FOLDER_H_
#define TESTS_STORAGE_FOLDER_H_

#include <criterion/criterion.h>
#include <stdlib.h>

#include <filesystem>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "src/replication/detail/describe_error.h"
#include "src/replication/file_storage.h"

namespace marigold {

namespace fs = std::filesystem;

// A folder that is removed at the end of the test.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string pattern = (fs::temp_directory_path() / "storage-XXXXXX");
    this->path = ::mkdtemp(pattern.data());
  }
  ~TemporaryFolder() { fs::remove_all(this->path); }

  std::string path;
};

// The segment size in the tests. A header of 8 bytes and four records of 50
// bytes fill a segment.
inline constexpr std::uint64_t kSegmentBytes = 200;

inline LogEntry EntryAt(std::uint64_t index, std::uint64_t term = 1) {
  return {Term(term), LogIndex(index), EntryKind::kCommand,
          WallTime(Duration(static_cast<std::int64_t>(index))),
          "thirteen byte"};
}

using OpenResult = std::variant<FileStorage, AnyError>;

inline OpenResult OpenFolder(const std::string& folder) {
  return Capture<FileStorage>(
      [&] { return FileStorage::Open(folder, {kSegmentBytes}); });
}

inline std::variant<StoredState, AnyError> LoadFolder(
    const std::string& folder) {
  return Capture<StoredState>([&]() -> Result<StoredState> {
    BOOST_LEAF_AUTO(storage, FileStorage::Open(folder, {kSegmentBytes}));
    return storage.Load();
  });
}

// Returns the error of `call`, or nothing if it succeeds.
template <class Call>
std::optional<AnyError> ErrorOf(Call call) {
  auto outcome = Capture<bool>([&]() -> Result<bool> {
    BOOST_LEAF_CHECK(call());
    return true;
  });
  if (std::holds_alternative<bool>(outcome)) {
    return std::nullopt;
  }
  return std::get<AnyError>(std::move(outcome));
}

// Writes entries 1 to 10 into segments that start at 1, 5 and 9, a hard state,
// and a snapshot at index 2.
inline void FillFolder(const std::string& folder) {
  OpenResult opened = OpenFolder(folder);
  FileStorage& storage = std::get<FileStorage>(opened);
  cr_assert(static_cast<bool>(storage.Load()));
  for (std::uint64_t index = 1; index <= 10; ++index) {
    cr_assert(static_cast<bool>(storage.Append({EntryAt(index)})));
    cr_assert(static_cast<bool>(storage.Sync()));
  }
  HardState hard_state;
  hard_state.term = Term(1);
  hard_state.voted_for = DiskId("x");
  cr_assert(static_cast<bool>(storage.SaveHardState(hard_state)));
  cr_assert(static_cast<bool>(storage.SaveSnapshot(
      {LogIndex(2), Term(1), {}, WallTime(), "state after two"})));
}

inline std::string SegmentName(std::uint64_t first_index) {
  return "log-" + std::string(20 - std::to_string(first_index).size(), '0') +
         std::to_string(first_index);
}

inline std::string DescribeOutcome(const std::optional<AnyError>& error) {
  return error ? detail::DescribeError(*error) : "none";
}

}  // namespace marigold

#endif  // TESTS_STORAGE_FOLDER_H_
