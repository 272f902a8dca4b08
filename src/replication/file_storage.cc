#include "src/replication/file_storage.h"

#include <fcntl.h>
#include <fmt/format.h>

#include <cerrno>
#include <utility>

#include "src/replication/detail/record_format.h"

namespace marigold {

namespace {

// This is larger than a usual entry, so that a disk with little space left is
// not taken for a working one.
constexpr std::size_t kProbeBytes = 256 * 1024;

// Returns the error of every write that follows a failed one.
boost::leaf::error_id EarlierFailureError(const std::string& path) {
  return boost::leaf::new_error(
      IoError{"write after an earlier failure", path, EIO});
}

}  // namespace

FileStorage::FileStorage(std::string folder_path,
                         FileStorageSettings storage_settings)
    : path(std::move(folder_path)), settings(storage_settings) {}

std::string FileStorage::PathOf(const std::string& name) const {
  return this->path + "/" + name;
}

std::string FileStorage::PathOf(const Segment& segment) const {
  return this->PathOf(fmt::format("log-{:020}", segment.first_index.value()));
}

template <class WriteFunction>
Result<void> FileStorage::Write(WriteFunction write) {
  if (this->has_failed) {
    return EarlierFailureError(this->path);
  }
  // The flag remains true unless the write succeeds.
  this->has_failed = true;
  BOOST_LEAF_CHECK(write());
  this->has_failed = false;
  return {};
}

Result<void> FileStorage::Append(const std::vector<LogEntry>& entries) {
  return this->Write([&]() -> Result<void> {
    if (entries.empty()) {
      return {};
    }
    const LogIndex first_index = entries.front().index;
    // A new segment is started only after the previous one was synced, so that
    // a crash can leave an incomplete record only in the last segment.
    const bool is_full =
        !this->segments.empty() && !this->tail_needs_sync &&
        this->segments.back().size >= this->settings.segment_bytes;
    if (this->segments.empty() || is_full) {
      BOOST_LEAF_CHECK(this->StartSegment(first_index));
    }
    Segment& segment = this->segments.back();
    std::string bytes;
    for (const LogEntry& entry : entries) {
      if (entry.index != segment.next_index()) {
        return boost::leaf::new_error(
            ParseError{this->tail.path(), segment.size,
                       fmt::format("an append at index {}",
                                   segment.next_index().value())});
      }
      segment.entry_offsets.push_back(segment.size + bytes.size());
      detail::EncodeRecord(entry, bytes);
    }
    this->tail_needs_sync = true;
    BOOST_LEAF_CHECK(this->tail.Write(bytes));
    segment.size += bytes.size();
    return {};
  });
}

Result<void> FileStorage::StartSegment(LogIndex first_index) {
  const Segment segment{first_index, {}, detail::kSegmentHeader.size()};
  BOOST_LEAF_ASSIGN(
      this->tail, detail::File::Open(this->PathOf(segment),
                                     O_WRONLY | O_CREAT | O_TRUNC | O_APPEND));
  this->segments.push_back(segment);
  this->folder_needs_sync = true;
  this->tail_needs_sync = true;
  return this->tail.Write(detail::kSegmentHeader);
}

Result<void> FileStorage::OpenLastSegment() {
  if (this->segments.empty()) {
    this->tail = detail::File();
    return {};
  }
  BOOST_LEAF_ASSIGN(this->tail,
                    detail::File::Open(this->PathOf(this->segments.back()),
                                       O_WRONLY | O_APPEND));
  return {};
}

Result<void> FileStorage::RemoveLastSegment() {
  BOOST_LEAF_CHECK(detail::RemoveFile(this->PathOf(this->segments.back())));
  // The folder is synced before the preceding segment is removed, so that a
  // crash cannot leave a gap in the log.
  BOOST_LEAF_CHECK(this->folder.Sync());
  this->segments.pop_back();
  this->tail_needs_sync = false;
  return this->OpenLastSegment();
}

Result<void> FileStorage::TruncateFrom(LogIndex index) {
  return this->Write([&]() -> Result<void> {
    while (!this->segments.empty() &&
           index <= this->segments.back().first_index) {
      BOOST_LEAF_CHECK(this->RemoveLastSegment());
    }
    if (this->segments.empty() || index >= this->segments.back().next_index()) {
      return {};
    }
    Segment& segment = this->segments.back();
    const std::size_t kept_entries =
        index.value() - segment.first_index.value();
    segment.size = segment.entry_offsets[kept_entries];
    segment.entry_offsets.resize(kept_entries);
    BOOST_LEAF_CHECK(this->tail.Truncate(segment.size));
    return this->tail.SyncData();
  });
}

Result<void> FileStorage::SaveHardState(const HardState& hard_state) {
  return this->Write([&] {
    return detail::ReplaceFile(this->folder, "hard_state",
                               detail::EncodeHardState(hard_state));
  });
}

Result<void> FileStorage::SaveSnapshot(const StateSnapshot& snapshot) {
  return this->Write([&]() -> Result<void> {
    BOOST_LEAF_CHECK(detail::ReplaceFile(this->folder, "snapshot",
                                         detail::EncodeSnapshot(snapshot)));
    // If a crash leaves some of these segments behind, the next `Load` removes
    // them.
    while (!this->segments.empty() &&
           this->segments.front().next_index() <= Next(snapshot.index)) {
      BOOST_LEAF_CHECK(
          detail::RemoveFile(this->PathOf(this->segments.front())));
      this->segments.erase(this->segments.begin());
      this->folder_needs_sync = true;
    }
    if (this->segments.empty()) {
      this->tail_needs_sync = false;
      this->tail = detail::File();
    }
    return {};
  });
}

Result<void> FileStorage::ProbeDisk() {
  const std::string probe_path =
      this->PathOf("probe" + std::string(detail::kTemporarySuffix));
  {
    BOOST_LEAF_AUTO(
        file, detail::File::Open(probe_path, O_WRONLY | O_CREAT | O_TRUNC));
    BOOST_LEAF_CHECK(file.Write(std::string(kProbeBytes, '\0')));
    BOOST_LEAF_CHECK(file.Sync());
  }
  return detail::RemoveFile(probe_path);
}

Result<void> FileStorage::Sync() {
  return this->Write([&]() -> Result<void> {
    if (this->tail_needs_sync) {
      BOOST_LEAF_CHECK(this->tail.SyncData());
    }
    this->tail_needs_sync = false;
    if (this->folder_needs_sync) {
      BOOST_LEAF_CHECK(this->folder.Sync());
    }
    this->folder_needs_sync = false;
    return {};
  });
}

}  // namespace marigold
