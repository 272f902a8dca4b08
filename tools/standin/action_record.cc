#include "tools/standin/action_record.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>

#include "src/core/log.h"

namespace marigold {

namespace {

constexpr int kNoFile = -1;
constexpr int kFileMode = 0644;

}  // namespace

Result<std::unique_ptr<ActionRecord>> ActionRecord::Open(
    const std::string& path) {
  int file = kNoFile;
  if (!path.empty()) {
    file = open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
                kFileMode);
    if (file < 0) {
      return boost::leaf::new_error(IoError{"open", path, errno});
    }
  }
  return std::unique_ptr<ActionRecord>(new ActionRecord(file));
}

ActionRecord::~ActionRecord() {
  if (this->file != kNoFile) {
    close(this->file);
  }
}

void ActionRecord::Add(const ExecutedAction& action) {
  const std::string line =
      fmt::format("{}\t{}\t{}\n", action.key.value(), action.server.value(),
                  action.started_at.time_since_epoch().count() / 1000);
  // A single write with O_APPEND keeps the lines of several threads from being
  // interleaved.
  if (this->file != kNoFile && write(this->file, line.data(), line.size()) !=
                                   static_cast<ssize_t>(line.size())) {
    LogEvent(LogLevel::kError, "action_record_failed", {{"errno", errno}});
    std::abort();
  }
  const RankedLock lock(this->mutex);
  this->actions.push_back(action);
}

std::vector<ExecutedAction> ActionRecord::Executions() const {
  const RankedLock lock(this->mutex);
  return this->actions;
}

}  // namespace marigold
