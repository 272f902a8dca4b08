#include <fcntl.h>
#include <fmt/format.h>

#include <algorithm>
#include <cerrno>
#include <optional>
#include <utility>

#include "src/core/log.h"
#include "src/core/random.h"
#include "src/core/settings_values.h"
#include "src/replication/detail/record_format.h"
#include "src/replication/file_storage.h"

namespace marigold {

namespace {

constexpr std::string_view kSegmentPrefix = "log-";
constexpr std::size_t kDiskIdLength = 32;

bool IsSegment(const std::string& name) {
  return name.starts_with(kSegmentPrefix);
}

// Returns the index in the name of a segment file, or nothing if the name
// contains no valid index.
std::optional<LogIndex> FirstIndexOf(const std::string& name) {
  const auto number = ParseWholeNumber(name.substr(kSegmentPrefix.size()));
  if (!number || *number <= 0) {
    return std::nullopt;
  }
  return LogIndex(static_cast<std::uint64_t>(*number));
}

boost::leaf::error_id DamageError(const std::string& path,
                                  std::uint64_t offset,
                                  std::string expected) {
  return boost::leaf::new_error(ParseError{path, offset, std::move(expected)});
}

bool IsDiskId(std::string_view text) {
  return text.size() == kDiskIdLength + 1 && text.back() == '\n' &&
         text.find_first_not_of("0123456789abcdef") == kDiskIdLength;
}

}  // namespace

Result<FileStorage> FileStorage::Open(const std::string& folder,
                                      FileStorageSettings settings) {
  FileStorage storage(folder, settings);
  BOOST_LEAF_CHECK(detail::MakeFolder(folder));
  BOOST_LEAF_ASSIGN(storage.lock, detail::File::Open(storage.PathOf("lock"),
                                                     O_RDWR | O_CREAT));
  if (!storage.lock.Lock()) {
    const int cause = errno;
    return boost::leaf::new_error(
        IoError{cause == EWOULDBLOCK
                    ? "lock the data folder, which another process uses:"
                    : "lock",
                storage.lock.path(), cause});
  }
  BOOST_LEAF_ASSIGN(storage.folder,
                    detail::File::Open(folder, O_RDONLY | O_DIRECTORY));
  BOOST_LEAF_CHECK(storage.LoadDiskId());
  return storage;
}

Result<void> FileStorage::LoadDiskId() {
  const std::string file_path = this->PathOf("disk_id");
  BOOST_LEAF_AUTO(names, detail::ListFolder(this->path));
  const auto has_file = [&](const char* name) {
    return std::find(names.begin(), names.end(), name) != names.end();
  };
  if (!has_file("disk_id")) {
    if (has_file("hard_state") || has_file("snapshot") ||
        std::any_of(names.begin(), names.end(), IsSegment)) {
      return DamageError(file_path, 0, "a disk id beside the other files");
    }
    const std::string text =
        fmt::format("{:016x}{:016x}\n", SystemSeed(), SystemSeed());
    BOOST_LEAF_CHECK(detail::ReplaceFile(this->folder, "disk_id", text));
  }
  BOOST_LEAF_AUTO(text, detail::ReadFile(file_path));
  if (!IsDiskId(text)) {
    return DamageError(file_path, 0, "32 hexadecimal digits and a line feed");
  }
  this->disk_id = DiskId(text.substr(0, kDiskIdLength));
  return {};
}

Result<StoredState> FileStorage::Load() {
  StoredState stored;
  stored.disk = this->disk_id;
  BOOST_LEAF_CHECK(this->RemoveTemporaryFiles());
  BOOST_LEAF_AUTO(has_hard_state,
                  detail::FileExists(this->PathOf("hard_state")));
  if (has_hard_state) {
    const std::string file_path = this->PathOf("hard_state");
    BOOST_LEAF_AUTO(bytes, detail::ReadFile(file_path));
    BOOST_LEAF_ASSIGN(stored.hard_state,
                      detail::DecodeHardState(file_path, bytes));
  }
  BOOST_LEAF_AUTO(has_snapshot, detail::FileExists(this->PathOf("snapshot")));
  if (has_snapshot) {
    const std::string file_path = this->PathOf("snapshot");
    BOOST_LEAF_AUTO(bytes, detail::ReadFile(file_path));
    BOOST_LEAF_ASSIGN(stored.snapshot,
                      detail::DecodeSnapshot(file_path, bytes));
  }
  BOOST_LEAF_CHECK(this->LoadLog(stored));
  BOOST_LEAF_CHECK(this->CheckSynced(stored));
  this->tail_needs_sync = this->tail.is_open();
  this->folder_needs_sync = true;
  this->synced_tail_bytes =
      this->segments.empty() ? 0 : this->segments.back().size;
  return stored;
}

Result<void> FileStorage::CheckSynced(const StoredState& stored) const {
  const LogIndex snapshot_index =
      stored.snapshot ? stored.snapshot->index : LogIndex();
  const LogIndex last_index =
      stored.entries.empty() ? snapshot_index : stored.entries.back().index;
  if (last_index < this->synced_index) {
    return DamageError(
        this->path, 0,
        fmt::format("entries up to index {}, which were synced, not {}",
                    this->synced_index.value(), last_index.value()));
  }
  const HardState& held = stored.hard_state;
  const HardState& synced = this->synced_hard_state;
  const bool has_vote =
      held.term > synced.term ||
      (held.term == synced.term &&
       (!synced.voted_for || held.voted_for == synced.voted_for));
  if (!has_vote || held.boot_count < synced.boot_count) {
    return DamageError(
        this->PathOf("hard_state"), 0,
        fmt::format("the state of term {} and boot {}, which was synced",
                    synced.term.value(), synced.boot_count));
  }
  return {};
}

Result<std::vector<std::string>> FileStorage::RemoveTemporaryFiles() {
  BOOST_LEAF_AUTO(names, detail::ListFolder(this->path));
  for (const std::string& name : names) {
    if (name.ends_with(detail::kTemporarySuffix)) {
      BOOST_LEAF_CHECK(detail::RemoveFile(this->PathOf(name)));
    }
  }
  return names;
}

Result<void> FileStorage::LoadLog(StoredState& stored) {
  this->segments.clear();
  BOOST_LEAF_AUTO(names, detail::ListFolder(this->path));
  std::vector<LogIndex> first_indices;
  for (const std::string& name : names) {
    if (!IsSegment(name)) {
      continue;
    }
    const auto first_index = FirstIndexOf(name);
    if (!first_index) {
      return DamageError(this->PathOf(name), 0, "an index in the file's name");
    }
    first_indices.push_back(*first_index);
  }
  std::sort(first_indices.begin(), first_indices.end());
  const LogIndex snapshot_index =
      stored.snapshot ? stored.snapshot->index : LogIndex();
  BOOST_LEAF_CHECK(this->RemoveCoveredSegments(snapshot_index, first_indices));
  LogIndex expected_index = Next(snapshot_index);
  for (const LogIndex first_index : first_indices) {
    const bool is_first = this->segments.empty();
    if (is_first ? first_index > expected_index
                 : first_index != expected_index) {
      return DamageError(
          this->PathOf(Segment{first_index, {}, 0}), 0,
          fmt::format("entries from index {} on", expected_index.value()));
    }
    BOOST_LEAF_CHECK(this->LoadSegment(
        first_index, first_index == first_indices.back(), stored.entries));
    expected_index = this->segments.back().next_index();
  }
  std::erase_if(stored.entries, [&](const LogEntry& entry) {
    return entry.index <= snapshot_index;
  });
  BOOST_LEAF_CHECK(this->OpenLastSegment());
  // A loss of power can leave a new segment without its header. No entry could
  // be read back from it any more.
  if (!this->segments.empty() && this->segments.back().size == 0) {
    BOOST_LEAF_CHECK(this->RemoveLastSegment());
  }
  // If the snapshot covers all entries of the last segment, the next entry need
  // not follow the last one in it, so the segment cannot be extended.
  if (!this->segments.empty() && stored.entries.empty()) {
    return this->RemoveLastSegment();
  }
  return {};
}

Result<void> FileStorage::RemoveCoveredSegments(
    LogIndex snapshot_index,
    std::vector<LogIndex>& first_indices) {
  while (first_indices.size() > 1 && first_indices[1] <= Next(snapshot_index)) {
    BOOST_LEAF_CHECK(detail::RemoveFile(
        this->PathOf(Segment{first_indices.front(), {}, 0})));
    first_indices.erase(first_indices.begin());
    this->folder_needs_sync = true;
  }
  return {};
}

Result<void> FileStorage::LoadSegment(LogIndex first_index,
                                      bool is_last,
                                      std::vector<LogEntry>& entries) {
  Segment segment{first_index, {}, 0};
  const std::string file_path = this->PathOf(segment);
  BOOST_LEAF_AUTO(bytes, detail::ReadFile(file_path));
  BOOST_LEAF_AUTO(scan, detail::ScanSegment(file_path, bytes, first_index));
  segment.entry_offsets = std::move(scan.entry_offsets);
  segment.size = scan.valid_bytes;
  if (scan.valid_bytes < bytes.size()) {
    if (!is_last ||
        detail::HasRecordAfter(bytes, scan.valid_bytes, segment.next_index())) {
      return DamageError(file_path, scan.valid_bytes,
                         fmt::format("a valid record of index {}",
                                     segment.next_index().value()));
    }
    LogEvent(LogLevel::kWarning, "log_tail_truncated",
             {{"file", file_path},
              {"offset", scan.valid_bytes},
              {"bytes", bytes.size() - scan.valid_bytes}});
    BOOST_LEAF_AUTO(tail_file, detail::File::Open(file_path, O_WRONLY));
    BOOST_LEAF_CHECK(tail_file.Truncate(scan.valid_bytes));
    BOOST_LEAF_CHECK(tail_file.SyncData());
  }
  std::move(scan.entries.begin(), scan.entries.end(),
            std::back_inserter(entries));
  this->segments.push_back(std::move(segment));
  return {};
}

}  // namespace marigold
