#include "src/replication/detail/file_io.h"

#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <filesystem>
#include <memory>
#include <utility>

namespace marigold::detail {

namespace {

constexpr mode_t kFileMode = 0644;
constexpr mode_t kFolderMode = 0755;
constexpr std::size_t kReadBytes = 256 * 1024;

boost::leaf::error_id SystemCallError(const char* operation,
                                      const std::string& path) {
  return boost::leaf::new_error(IoError{operation, path, errno});
}

}  // namespace

File::File(int descriptor, std::string file_path)
    : fd(descriptor), opened_path(std::move(file_path)) {}

File::File(File&& other) noexcept
    : fd(std::exchange(other.fd, -1)),
      opened_path(std::move(other.opened_path)) {}

File& File::operator=(File&& other) noexcept {
  if (this != &other) {
    this->Close();
    this->fd = std::exchange(other.fd, -1);
    this->opened_path = std::move(other.opened_path);
  }
  return *this;
}

File::~File() {
  this->Close();
}

void File::Close() {
  if (this->fd >= 0) {
    ::close(this->fd);
    this->fd = -1;
  }
}

Result<File> File::Open(const std::string& path, int flags) {
  const int fd = ::open(path.c_str(), flags | O_CLOEXEC, kFileMode);
  if (fd < 0) {
    return SystemCallError("open", path);
  }
  return File(fd, path);
}

Result<void> File::CheckCall(const char* operation, int outcome) const {
  if (outcome != 0) {
    return SystemCallError(operation, this->opened_path);
  }
  return {};
}

Result<void> File::Write(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t written = ::write(this->fd, bytes.data(), bytes.size());
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written < 0) {
      return SystemCallError("write", this->opened_path);
    }
    bytes.remove_prefix(static_cast<std::size_t>(written));
  }
  return {};
}

Result<void> File::Sync() {
  return this->CheckCall("fsync", ::fsync(this->fd));
}

Result<void> File::SyncData() {
  return this->CheckCall("fdatasync", ::fdatasync(this->fd));
}

Result<void> File::Truncate(std::uint64_t size) {
  return this->CheckCall("ftruncate",
                         ::ftruncate(this->fd, static_cast<off_t>(size)));
}

Result<void> File::Lock() {
  return this->CheckCall("flock", ::flock(this->fd, LOCK_EX | LOCK_NB));
}

Result<std::string> ReadFile(const std::string& path) {
  const int fd = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
  if (fd < 0) {
    return SystemCallError("open", path);
  }
  const File file(fd, path);
  std::string bytes;
  while (true) {
    const std::size_t size = bytes.size();
    bytes.resize(size + kReadBytes);
    const ssize_t count = ::read(fd, bytes.data() + size, kReadBytes);
    if (count < 0 && errno != EINTR) {
      return SystemCallError("read", path);
    }
    bytes.resize(size + static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    if (count == 0) {
      return bytes;
    }
  }
}

Result<std::vector<std::string>> ListFolder(const std::string& path) {
  const std::unique_ptr<DIR, int (*)(DIR*)> folder(::opendir(path.c_str()),
                                                   ::closedir);
  if (folder == nullptr) {
    return SystemCallError("opendir", path);
  }
  std::vector<std::string> names;
  errno = 0;
  while (const dirent* entry = ::readdir(folder.get())) {
    names.emplace_back(entry->d_name);
  }
  if (errno != 0) {
    return SystemCallError("readdir", path);
  }
  std::sort(names.begin(), names.end());
  return names;
}

Result<void> MakeFolder(const std::string& path) {
  if (::mkdir(path.c_str(), kFolderMode) != 0) {
    if (errno == EEXIST) {
      return {};
    }
    return SystemCallError("mkdir", path);
  }
  const std::string parent =
      std::filesystem::absolute(path).lexically_normal().parent_path();
  BOOST_LEAF_AUTO(folder, File::Open(parent, O_RDONLY | O_DIRECTORY));
  Result<void> synced = folder.Sync();
  if (!synced) {
    // Otherwise the next call would take the folder for a durable one.
    ::rmdir(path.c_str());
  }
  return synced;
}

Result<void> RemoveFile(const std::string& path) {
  if (::unlink(path.c_str()) != 0) {
    return SystemCallError("unlink", path);
  }
  return {};
}

Result<void> ReplaceFile(File& folder,
                         const std::string& name,
                         std::string_view bytes) {
  const std::string path = folder.path() + "/" + name;
  const std::string temporary_path = path + std::string(kTemporarySuffix);
  BOOST_LEAF_AUTO(file,
                  File::Open(temporary_path, O_WRONLY | O_CREAT | O_TRUNC));
  BOOST_LEAF_CHECK(file.Write(bytes));
  BOOST_LEAF_CHECK(file.Sync());
  if (::rename(temporary_path.c_str(), path.c_str()) != 0) {
    return SystemCallError("rename", path);
  }
  return folder.Sync();
}

Result<bool> FileExists(const std::string& path) {
  struct stat status {};
  if (::stat(path.c_str(), &status) == 0) {
    return true;
  }
  if (errno == ENOENT) {
    return false;
  }
  return SystemCallError("stat", path);
}

void DropCachedPages(const std::string& path) {
  const int fd = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
  const File file(fd, path);
  if (file.is_open()) {
    ::posix_fadvise(fd, 0, 0, POSIX_FADV_DONTNEED);
  }
}

}  // namespace marigold::detail
