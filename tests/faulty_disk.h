#ifndef TESTS_FAULTY_DISK_H_
#define TESTS_FAULTY_DISK_H_

// Replaces the system calls that write files, in the test that includes this
// header, so that a disk can be full, fail, or lose its power. Only files below
// `FaultyDisk::folder` are affected. Include it in one source file of a
// program.

#include <fcntl.h>
#include <stdlib.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <limits>
#include <map>
#include <mutex>
#include <string>

namespace marigold {

// The disk under test. The members may be changed from any thread.
class FaultyDisk {
 public:
  static constexpr std::int64_t kUnlimited =
      std::numeric_limits<std::int64_t>::max();

  static FaultyDisk& Get() {
    static FaultyDisk disk;
    return disk;
  }

  // Faults begin to affect the files below `new_folder`.
  void Watch(const std::string& new_folder) {
    const std::lock_guard lock(this->mutex);
    this->folder = new_folder;
  }

  // The errors of the calls; 0 if they work.
  std::atomic<int> sync_error = 0;
  // For files and names that do not exist yet.
  std::atomic<int> create_error = 0;
  std::atomic<int> write_error = 0;
  // Writes wait until this is false.
  std::atomic<bool> hangs = false;
  // Writes beyond this fail with `ENOSPC` after a part of their bytes.
  std::atomic<std::int64_t> free_bytes = kUnlimited;
  std::atomic<int> refused_calls = 0;

  // The disk works again and has room.
  void EndFaults() {
    this->sync_error = 0;
    this->create_error = 0;
    this->write_error = 0;
    this->hangs = false;
    this->hangs.notify_all();
    this->free_bytes = kUnlimited;
  }

  // Copies what the disk holds after a loss of power to `target`: the content
  // that the last successful sync of each file covered. Bytes whose sync failed
  // are lost, although the system reads them back and a later sync succeeds.
  void CopyDurable(const std::string& target) {
    const std::lock_guard lock(this->mutex);
    std::filesystem::create_directories(target);
    for (const auto& [path, content] : this->durable) {
      if (std::filesystem::exists(path)) {
        std::ofstream(target + path.substr(this->folder.size()),
                      std::ios::binary)
            << content;
      }
    }
  }

  // The following are called by the replaced system calls.

  bool Covers(const std::string& path) {
    const std::lock_guard lock(this->mutex);
    return !this->folder.empty() && path.starts_with(this->folder + "/");
  }

  int Refuse(int error) {
    ++this->refused_calls;
    errno = error;
    return -1;
  }

  void OnSynced(const std::string& path) {
    const std::lock_guard lock(this->mutex);
    std::string content = Read(path);
    const auto lost = this->lost_ranges.find(path);
    if (lost != this->lost_ranges.end()) {
      const auto [begin, end] = lost->second;
      for (std::size_t i = begin; i < std::min(end, content.size()); ++i) {
        content[i] = '\0';
      }
    }
    this->durable[path] = std::move(content);
  }

  // The system takes the bytes that it could not write for written.
  void OnSyncFailed(const std::string& path) {
    const std::lock_guard lock(this->mutex);
    const std::size_t durable_size = this->durable[path].size();
    const std::size_t size = Read(path).size();
    if (size > durable_size) {
      this->lost_ranges[path] = {durable_size, size};
    }
  }

  void OnTruncated(const std::string& path, std::size_t size) {
    const std::lock_guard lock(this->mutex);
    const auto lost = this->lost_ranges.find(path);
    if (lost != this->lost_ranges.end()) {
      lost->second.second = std::min(lost->second.second, size);
    }
  }

  void OnRenamed(const std::string& from, const std::string& to) {
    const std::lock_guard lock(this->mutex);
    this->durable[to] = this->durable[from];
    this->durable.erase(from);
    this->lost_ranges.erase(to);
  }

 private:
  static std::string Read(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), {}};
  }

  std::mutex mutex;
  std::string folder;
  std::map<std::string, std::string> durable;
  std::map<std::string, std::pair<std::size_t, std::size_t>> lost_ranges;
};

namespace detail {

inline std::string PathOfDescriptor(int fd) {
  char path[512];
  const std::string link = "/proc/self/fd/" + std::to_string(fd);
  const ssize_t size = ::readlink(link.c_str(), path, sizeof path);
  return size <= 0 ? "" : std::string(path, static_cast<std::size_t>(size));
}

inline int SyncFile(int fd, long call) {
  FaultyDisk& disk = FaultyDisk::Get();
  const std::string path = PathOfDescriptor(fd);
  if (!disk.Covers(path)) {
    return static_cast<int>(::syscall(call, fd));
  }
  if (const int error = disk.sync_error) {
    disk.OnSyncFailed(path);
    return disk.Refuse(error);
  }
  const int outcome = static_cast<int>(::syscall(call, fd));
  disk.OnSynced(path);
  return outcome;
}

}  // namespace detail

}  // namespace marigold

extern "C" {

ssize_t write(int fd, const void* bytes, size_t size) {
  auto& disk = marigold::FaultyDisk::Get();
  const bool may_fail = disk.write_error != 0 || disk.hangs ||
                        disk.free_bytes != marigold::FaultyDisk::kUnlimited;
  if (may_fail && disk.Covers(marigold::detail::PathOfDescriptor(fd))) {
    disk.hangs.wait(true);
    if (const int error = disk.write_error) {
      return disk.Refuse(error);
    }
    const std::int64_t free_bytes = disk.free_bytes;
    if (free_bytes <= 0 && size > 0) {
      return disk.Refuse(ENOSPC);
    }
    size = std::min(size, static_cast<size_t>(free_bytes));
    disk.free_bytes -= static_cast<std::int64_t>(size);
  }
  return ::syscall(SYS_write, fd, bytes, size);
}

int fsync(int fd) {
  return marigold::detail::SyncFile(fd, SYS_fsync);
}

int fdatasync(int fd) {
  return marigold::detail::SyncFile(fd, SYS_fdatasync);
}

int ftruncate(int fd, off_t size) noexcept {
  auto& disk = marigold::FaultyDisk::Get();
  const int outcome = static_cast<int>(::syscall(SYS_ftruncate, fd, size));
  const std::string path = marigold::detail::PathOfDescriptor(fd);
  if (disk.Covers(path)) {
    disk.OnTruncated(path, static_cast<std::size_t>(size));
  }
  return outcome;
}

int open(const char* path, int flags, ...) {
  auto& disk = marigold::FaultyDisk::Get();
  const bool creates = (flags & O_CREAT) != 0 && ::access(path, F_OK) != 0;
  if (creates && disk.create_error != 0 && disk.Covers(path)) {
    return disk.Refuse(disk.create_error);
  }
  return static_cast<int>(
      ::syscall(SYS_openat, AT_FDCWD, path, flags, S_IRUSR | S_IWUSR));
}

int rename(const char* from, const char* to) noexcept {
  const int outcome = static_cast<int>(
      ::syscall(SYS_renameat2, AT_FDCWD, from, AT_FDCWD, to, 0));
  auto& disk = marigold::FaultyDisk::Get();
  if (outcome == 0 && disk.Covers(to)) {
    disk.OnRenamed(from, to);
  }
  return outcome;
}

}  // extern "C"

#endif  // TESTS_FAULTY_DISK_H_
