#include "src/replication/file_storage.h"

#include <fcntl.h>
#include <fmt/format.h>

#include <cerrno>
#include <utility>

#include "src/replication/detail/record_format.h"

namespace marigold {

namespace {

// More than the usual entry, so that a disk with a little room is not taken for
// a sound one.
constexpr std::size_t kProbeBytes = 256 * 1024;

// An error that stands for all writes after the first failure.
boost::leaf::error_id FailedEarlier(const std::string& path) {
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
  return this->PathOf(fmt::format("log-{:020}", segment.first.value()));
}

template <class WriteFunction>
Result<void> FileStorage::Write(WriteFunction write) {
  if (this->failed) {
    return FailedEarlier(this->path);
  }
  // Stays set unless the write succeeds.
  this->failed = true;
  BOOST_LEAF_CHECK(write());
  this->failed = false;
  return {};
}

Result<void> FileStorage::Append(const std::vector<LogEntry>& entries) {
  return this->Write([&]() -> Result<void> {
    if (entries.empty()) {
      return {};
    }
    const LogIndex first = entries.front().index;
    // A new segment starts only after a synced one, so that a crash can leave
    // an incomplete record in the last segment alone.
    const bool is_full =
        !this->segments.empty() && !this->tail_dirty &&
        this->segments.back().size >= this->settings.segment_bytes;
    if (this->segments.empty() || is_full) {
      BOOST_LEAF_CHECK(this->StartSegment(first));
    }
    Segment& segment = this->segments.back();
    std::string bytes;
    for (const LogEntry& entry : entries) {
      if (entry.index != segment.next()) {
        return boost::leaf::new_error(ParseError{
            this->tail.path(), segment.size,
            fmt::format("an append at index {}", segment.next().value())});
      }
      segment.offsets.push_back(segment.size + bytes.size());
      detail::EncodeRecord(entry, bytes);
    }
    this->tail_dirty = true;
    BOOST_LEAF_CHECK(this->tail.Write(bytes));
    segment.size += bytes.size();
    return {};
  });
}

Result<void> FileStorage::StartSegment(LogIndex first) {
  const Segment segment{first, {}, detail::kSegmentHeader.size()};
  BOOST_LEAF_ASSIGN(
      this->tail, detail::File::Open(this->PathOf(segment),
                                     O_WRONLY | O_CREAT | O_TRUNC | O_APPEND));
  this->segments.push_back(segment);
  this->folder_dirty = true;
  this->tail_dirty = true;
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
  // Before the next is removed: without this one, the log must not have a gap.
  BOOST_LEAF_CHECK(this->folder.Sync());
  this->segments.pop_back();
  this->tail_dirty = false;
  return this->OpenLastSegment();
}

Result<void> FileStorage::TruncateFrom(LogIndex index) {
  return this->Write([&]() -> Result<void> {
    while (!this->segments.empty() && index <= this->segments.back().first) {
      BOOST_LEAF_CHECK(this->RemoveLastSegment());
    }
    if (this->segments.empty() || index >= this->segments.back().next()) {
      return {};
    }
    Segment& segment = this->segments.back();
    const std::size_t kept = index.value() - segment.first.value();
    segment.size = segment.offsets[kept];
    segment.offsets.resize(kept);
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

Result<void> FileStorage::SaveSnapshot(const SnapshotImage& snapshot) {
  return this->Write([&]() -> Result<void> {
    BOOST_LEAF_CHECK(detail::ReplaceFile(this->folder, "snapshot",
                                         detail::EncodeSnapshot(snapshot)));
    // A crash on the way leaves segments that the next `Load` removes.
    while (!this->segments.empty() &&
           this->segments.front().next() <= Next(snapshot.index)) {
      BOOST_LEAF_CHECK(
          detail::RemoveFile(this->PathOf(this->segments.front())));
      this->segments.erase(this->segments.begin());
      this->folder_dirty = true;
    }
    if (this->segments.empty()) {
      this->tail_dirty = false;
      this->tail = detail::File();
    }
    return {};
  });
}

Result<void> FileStorage::TryWrite() {
  const std::string name =
      this->PathOf("probe" + std::string(detail::kTemporarySuffix));
  {
    BOOST_LEAF_AUTO(file,
                    detail::File::Open(name, O_WRONLY | O_CREAT | O_TRUNC));
    BOOST_LEAF_CHECK(file.Write(std::string(kProbeBytes, '\0')));
    BOOST_LEAF_CHECK(file.Sync());
  }
  return detail::RemoveFile(name);
}

Result<void> FileStorage::Sync() {
  return this->Write([&]() -> Result<void> {
    if (this->tail_dirty) {
      BOOST_LEAF_CHECK(this->tail.SyncData());
    }
    this->tail_dirty = false;
    if (this->folder_dirty) {
      BOOST_LEAF_CHECK(this->folder.Sync());
    }
    this->folder_dirty = false;
    return {};
  });
}

}  // namespace marigold
