#ifndef SRC_REPLICATION_DETAIL_FILE_IO_H_
#define SRC_REPLICATION_DETAIL_FILE_IO_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "src/core/result.h"

namespace marigold::detail {

// An open file or folder, which is closed on destruction. A call fails with
// `IoError` if its system call fails.
class File {
 public:
  File() = default;
  File(int descriptor, std::string file_path);
  File(File&& other) noexcept;
  File& operator=(File&& other) noexcept;
  File(const File&) = delete;
  File& operator=(const File&) = delete;
  ~File();

  // `flags` are those of open(2). `O_CLOEXEC` is added.
  static Result<File> Open(const std::string& path, int flags);

  // Writes all bytes at the current position of the file.
  Result<void> Write(std::string_view bytes);
  // Makes the content of the file durable, or the entries of the folder.
  Result<void> Sync();
  // Like `Sync`, but leaves out metadata that is not needed to read the
  // content.
  Result<void> SyncData();
  Result<void> Truncate(std::uint64_t size);
  // Takes an exclusive lock. Fails with `EWOULDBLOCK` if another process holds
  // it.
  Result<void> Lock();

  bool is_open() const { return this->fd >= 0; }
  const std::string& path() const { return this->opened_path; }

 private:
  Result<void> CheckCall(const char* operation, int outcome) const;
  void Close();

  int fd = -1;
  std::string opened_path;
};

Result<std::string> ReadFile(const std::string& path);
// Returns the names of the folder's entries in ascending order.
Result<std::vector<std::string>> ListFolder(const std::string& path);
// Creates the folder durably unless it exists. Its parent must exist.
Result<void> MakeFolder(const std::string& path);
Result<void> RemoveFile(const std::string& path);
// Replaces the file `name` in the folder durably, by renaming a temporary file.
Result<void> ReplaceFile(File& folder,
                         const std::string& name,
                         std::string_view bytes);
Result<bool> FileExists(const std::string& path);
// Makes the next read of the file come from the disk, where the system allows
// it. After a failed sync, the memory of the system may hold what the disk does
// not.
void DropCachedPages(const std::string& path);

// The suffix of temporary files, which a crash may leave behind.
inline constexpr std::string_view kTemporarySuffix = ".tmp";

}  // namespace marigold::detail

#endif  // SRC_REPLICATION_DETAIL_FILE_IO_H_
