#ifndef SRC_REPLICATION_FILE_STORAGE_H_
#define SRC_REPLICATION_FILE_STORAGE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "src/core/result.h"
#include "src/replication/detail/file_io.h"
#include "src/replication/storage.h"
#include "src/replication/types.h"

namespace marigold {

struct FileStorageSettings {
  // The size at which a synced log segment is complete. The next append then
  // starts a new segment.
  std::uint64_t segment_bytes = 8 * 1024 * 1024;
};

// The disk of a replica as one folder, which one process uses at a time:
//
//   lock                      locked while a process uses the folder
//   disk_id                   a random id, written once
//   hard_state                replaced as a whole
//   snapshot                  replaced as a whole
//   log-00000000000000000001  entries from that index on
//
// After a write has failed, all later ones fail too until `Repair` has
// succeeded, since the state of the disk is then unknown.
class FileStorage {
 public:
  // Locks the folder, which is created if it is missing, and writes a disk id
  // if the folder is empty. Fails with `IoError` if a system call fails or
  // another process uses the folder, and with `ParseError` if the disk id is
  // damaged or missing beside other files.
  static Result<FileStorage> Open(const std::string& folder,
                                  FileStorageSettings settings = {});

  // Commands.

  // Reads the folder. Removes an incomplete or damaged last record, which a
  // crash during a write leaves behind. The entries count as not synced, since
  // an earlier process may have ended before it synced them. Fails with
  // `ParseError`, whose field is the path of the file, on any other damage, on
  // any gap in the log, and if the folder lacks something that this object has
  // synced.
  Result<StoredState> Load();
  // Appends the entries without a sync.
  Result<void> Append(const std::vector<LogEntry>& entries);
  // Removes the entries from `index` on and makes this durable before it
  // returns. A crash can thus not leave old and new entries in one block of the
  // file.
  Result<void> TruncateFrom(LogIndex index);
  Result<void> SaveHardState(const HardState& hard_state);
  Result<void> SaveSnapshot(const StateSnapshot& snapshot);
  Result<void> Sync();

  // Restores a storage after a failed write, so that `Load` can be called
  // again. Removes everything that was not synced: what a failed write or sync
  // has left of it is unknown, and it was never promised to anyone. Does
  // nothing if no write has failed. Fails with `IoError` if the disk still
  // refuses this, and may then be called again.
  Result<void> Repair();

  // Queries.

  const DiskId& disk() const { return this->disk_id; }

 private:
  // One file of the log. Only the last one grows.
  struct Segment {
    LogIndex first_index;
    // The position of each entry in the file, in bytes.
    std::vector<std::uint64_t> entry_offsets;
    std::uint64_t size = 0;

    LogIndex next_index() const {
      return LogIndex(this->first_index.value() + this->entry_offsets.size());
    }
  };

  FileStorage(std::string folder_path, FileStorageSettings storage_settings);

  std::string PathOf(const std::string& name) const;
  std::string PathOf(const Segment& segment) const;
  Result<void> LoadDiskId();
  Result<void> LoadLog(StoredState& stored);
  Result<void> LoadSegment(LogIndex first_index,
                           bool is_last,
                           std::vector<LogEntry>& entries);
  Result<void> RemoveCoveredSegments(LogIndex snapshot_index,
                                     std::vector<LogIndex>& first_indices);
  Result<std::vector<std::string>> RemoveTemporaryFiles();
  Result<void> StartSegment(LogIndex first_index);
  Result<void> RemoveLastSegment();
  Result<void> CutUnsyncedTail();
  // Fails with `ParseError` if the folder lacks something that was synced.
  Result<void> CheckSynced(const StoredState& stored) const;
  Result<void> OpenLastSegment();

  // Runs `write` unless an earlier write has failed, and records a failure.
  template <class WriteFunction>
  Result<void> Write(WriteFunction write);

  std::string path;
  FileStorageSettings settings;
  DiskId disk_id;
  detail::File lock;
  detail::File folder;
  std::vector<Segment> segments;
  // The last segment, open for writing. It is closed if there is no segment.
  detail::File tail;
  bool tail_needs_sync = false;
  // The size of the last segment that is known to be durable.
  std::uint64_t synced_tail_bytes = 0;
  // What has been made durable: the end of the log or of the snapshot, and the
  // hard state.
  LogIndex synced_index;
  HardState synced_hard_state;
  bool folder_needs_sync = false;
  bool has_failed = false;
};

static_assert(ReplicaStorage<FileStorage>);

// True for errors of a disk that may pass without a change of settings: it is
// full, or the device failed.
bool MayPass(const IoError& error);

}  // namespace marigold

#endif  // SRC_REPLICATION_FILE_STORAGE_H_
