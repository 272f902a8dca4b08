#include "src/net/control/seeds_file.h"

#include <fstream>
#include <optional>
#include <utility>

#include "src/core/log.h"
#include "src/net/serial_queue.h"

namespace marigold {

namespace {

// The file is read again after this time, because not every change of it is
// announced by a signal.
constexpr Duration kReadInterval = std::chrono::seconds(2);

// A longer file has no list of seeds.
constexpr std::size_t kMaxFileBytes = 64 * 1024;

// Returns nothing if the file can't be read.
std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  std::string content(kMaxFileBytes, '\0');
  file.read(content.data(), static_cast<std::streamsize>(content.size()));
  content.resize(static_cast<std::size_t>(file.gcount()));
  return content;
}

}  // namespace

// All members are used only on the queue.
struct SeedsFile::Impl : std::enable_shared_from_this<Impl> {
  Impl(WorkerPool& pool, std::string file_path, SeedsHandler changed_handler)
      : queue(pool),
        path(std::move(file_path)),
        on_changed(std::move(changed_handler)) {}

  void Read() {
    this->timer =
        this->queue.After(kReadInterval, [weak = this->weak_from_this()] {
          if (const auto self = weak.lock()) {
            self->Read();
          }
        });
    std::optional<std::string> content = ReadFile(this->path);
    if (!content || content == this->last_content) {
      return;
    }
    const std::vector<Endpoint> seeds = ParseEndpoints(*content);
    this->last_content = std::move(content);
    if (seeds.empty()) {
      LogEvent(LogLevel::kWarning, "seeds_file_ignored",
               {{"path", this->path},
                {"expected", "IPv4 addresses with ports"},
                {"bytes", this->last_content->size()}});
      return;
    }
    LogEvent(LogLevel::kInfo, "seeds_read",
             {{"path", this->path}, {"seeds", *this->last_content}});
    this->on_changed(seeds);
  }

  SerialQueue queue;
  const std::string path;
  const SeedsHandler on_changed;
  std::optional<std::string> last_content;
  TimerHandle timer;
};

SeedsFile::SeedsFile(WorkerPool& pool,
                     std::string path,
                     SeedsHandler on_changed)
    : impl(std::make_shared<Impl>(pool,
                                  std::move(path),
                                  std::move(on_changed))) {}

SeedsFile::~SeedsFile() {
  this->impl->queue.Post([impl = this->impl] { impl->timer.Cancel(); });
}

void SeedsFile::Read() {
  if (!this->impl->path.empty()) {
    this->impl->queue.Post([impl = this->impl] { impl->Read(); });
  }
}

}  // namespace marigold
