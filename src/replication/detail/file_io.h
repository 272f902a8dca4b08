#ifndef SRC_REPLICATION_DETAIL_FILE_IO_H_
#define SRC_REPLICATION_DETAIL_FILE_IO_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "src/core/result.h"

namespace marigold::detail {

// An open file or folder, closed on destruction. All calls fail with `IoError`.
class File {
 public:
  File() = default;
  File(int descriptor, std::string file_path);
  File(File&& other) noexcept;
  File& operator=(File&& other) noexcept;
  File(const File&) = delete;
  File& operator=(const File&) = delete;
  ~File();

  // `flags` are those of open(2); close-on-exec is added.
  static Result<File> Open(const std::string& path, int flags);

  // Writes all bytes at the file's position.
  Result<void> Write(std::string_view bytes);
  // Makes the file's data durable, or a folder's entries.
  Result<void> Sync();
  Result<void> SyncData();
  Result<void> Truncate(std::uint64_t size);
  // Fails with EWOULDBLOCK if another process holds the lock.
  Result<void> Lock();

  bool is_open() const { return this->fd >= 0; }
  const std::string& path() const { return this->name; }

 private:
  Result<void> CheckCall(const char* operation, int outcome) const;
  void Close();

  int fd = -1;
  std::string name;
};

Result<std::string> ReadFile(const std::string& path);
// Names in the folder, in ascending order.
Result<std::vector<std::string>> ListFolder(const std::string& path);
// Creates the folder durably unless it exists. Its parent exists.
Result<void> MakeFolder(const std::string& path);
Result<void> RemoveFile(const std::string& path);
// Replaces `name` in the folder by way of a temporary file, durably.
Result<void> ReplaceFile(File& folder,
                         const std::string& name,
                         std::string_view bytes);
Result<bool> FileExists(const std::string& path);

// The suffix of temporary files that a crash may leave behind.
inline constexpr std::string_view kTemporarySuffix = ".tmp";

}  // namespace marigold::detail

#endif  // SRC_REPLICATION_DETAIL_FILE_IO_H_
