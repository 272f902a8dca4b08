#include "src/replication/file_storage.h"

#include <fcntl.h>
#include <fmt/format.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "src/replication/detail/record_format.h"

namespace marigold {

namespace {

// Returns the error of every write that follows a failed one.
boost::leaf::error_id EarlierFailureError(const std::string& path) {
  return boost::leaf::new_error(
      IoError{"write after an earlier failure", path, EIO});
}

}  // namespace

bool MayPass(const IoError& error) {
  switch (error.error_number) {
    case ENOSPC:
    case EDQUOT:
    case EFBIG:
    case EIO:
    case EROFS:
    case ENFILE:
    case EMFILE:
    case ENOMEM:
      return true;
    default:
      return false;
  }
}

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
  this->synced_tail_bytes = 0;
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
  this->synced_tail_bytes =
      this->segments.empty() ? 0 : this->segments.back().size;
  return this->OpenLastSegment();
}

Result<void> FileStorage::TruncateFrom(LogIndex index) {
  return this->Write([&]() -> Result<void> {
    // The leader has replaced the entries from `index` on, so nobody relies on
    // them any more.
    this->synced_index = std::min(this->synced_index, Previous(index));
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
    this->synced_tail_bytes = std::min(this->synced_tail_bytes, segment.size);
    BOOST_LEAF_CHECK(this->tail.Truncate(segment.size));
    BOOST_LEAF_CHECK(this->tail.SyncData());
    this->synced_tail_bytes = segment.size;
    return {};
  });
}

Result<void> FileStorage::SaveHardState(const HardState& hard_state) {
  return this->Write([&]() -> Result<void> {
    BOOST_LEAF_CHECK(detail::ReplaceFile(this->folder, "hard_state",
                                         detail::EncodeHardState(hard_state)));
    this->synced_hard_state = hard_state;
    return {};
  });
}

Result<void> FileStorage::SaveSnapshot(const StateSnapshot& snapshot) {
  return this->Write([&]() -> Result<void> {
    BOOST_LEAF_CHECK(detail::ReplaceFile(this->folder, "snapshot",
                                         detail::EncodeSnapshot(snapshot)));
    this->synced_index = std::max(this->synced_index, snapshot.index);
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
      this->synced_tail_bytes = 0;
      this->tail = detail::File();
    }
    return {};
  });
}

Result<void> FileStorage::Repair() {
  if (!this->has_failed) {
    return {};
  }
  BOOST_LEAF_CHECK(this->CutUnsyncedTail());
  BOOST_LEAF_AUTO(names, detail::ListFolder(this->path));
  for (const std::string& name : names) {
    detail::DropCachedPages(this->PathOf(name));
  }
  this->has_failed = false;
  return {};
}

// Shortens the last segment to its synced size. This also writes the block in
// which the synced part ends again.
Result<void> FileStorage::CutUnsyncedTail() {
  this->tail = detail::File();
  if (this->segments.empty()) {
    return {};
  }
  const std::string tail_path = this->PathOf(this->segments.back());
  BOOST_LEAF_AUTO(exists, detail::FileExists(tail_path));
  if (!exists) {
    return {};
  }
  if (this->synced_tail_bytes == 0) {
    BOOST_LEAF_CHECK(detail::RemoveFile(tail_path));
    return this->folder.Sync();
  }
  BOOST_LEAF_AUTO(file, detail::File::Open(tail_path, O_WRONLY));
  BOOST_LEAF_CHECK(file.Truncate(this->synced_tail_bytes));
  return file.Sync();
}

Result<void> FileStorage::Sync() {
  return this->Write([&]() -> Result<void> {
    if (this->tail_needs_sync) {
      BOOST_LEAF_CHECK(this->tail.SyncData());
    }
    this->tail_needs_sync = false;
    if (!this->segments.empty()) {
      const Segment& segment = this->segments.back();
      this->synced_tail_bytes = segment.size;
      this->synced_index =
          std::max(this->synced_index, Previous(segment.next_index()));
    }
    if (this->folder_needs_sync) {
      BOOST_LEAF_CHECK(this->folder.Sync());
    }
    this->folder_needs_sync = false;
    return {};
  });
}

}  // namespace marigold
