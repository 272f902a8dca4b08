#include "tools/relay/relay_buffer.h"

#include <utility>

namespace marigold {

void RelayBuffer::Push(MonotonicTime now, std::string bytes) {
  this->items.push_back({now, std::move(bytes)});
}

void RelayBuffer::PushEnd(MonotonicTime now) {
  this->items.push_back({now, ""});
}

RelayBuffer::Output RelayBuffer::TakeDue(MonotonicTime now) {
  Output output;
  while (this->NextDueTime().value_or(MonotonicTime::max()) <= now) {
    Item item = std::move(this->items.front());
    this->items.pop_front();
    if (item.bytes.empty()) {
      output.ended = true;
    } else {
      output.chunks.push_back(std::move(item.bytes));
    }
  }
  return output;
}

std::optional<MonotonicTime> RelayBuffer::NextDueTime() const {
  if (this->mode.silent || this->items.empty()) {
    return std::nullopt;
  }
  return this->items.front().arrived + this->mode.delay;
}

}  // namespace marigold
