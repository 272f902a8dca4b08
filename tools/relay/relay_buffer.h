#ifndef TOOLS_RELAY_RELAY_BUFFER_H_
#define TOOLS_RELAY_RELAY_BUFFER_H_

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "src/core/units.h"

namespace marigold {

// What one direction of a relayed connection does with its bytes.
struct RelayMode {
  // Holds everything until it is not silent any more.
  bool silent = false;
  Duration delay{};
};

// The bytes of one direction that were read and not passed on, in order. The
// end of the stream is passed on like a byte. Pure; the caller synchronises it.
class RelayBuffer {
 public:
  struct Output {
    std::vector<std::string> chunks;
    // The source has closed, and nothing comes after the chunks.
    bool ended = false;
  };

  // Commands.

  void Push(MonotonicTime now, std::string bytes);
  void PushEnd(MonotonicTime now);
  void SetMode(const RelayMode& new_mode) { this->mode = new_mode; }

  // Removes what is due.
  Output TakeDue(MonotonicTime now);

  // Queries.

  // When something is due next; nothing while silent or empty.
  std::optional<MonotonicTime> NextDueTime() const;
  bool is_silent() const { return this->mode.silent; }

 private:
  struct Item {
    MonotonicTime arrived;
    // Empty for the end of the stream.
    std::string bytes;
  };

  RelayMode mode;
  std::deque<Item> items;
};

}  // namespace marigold

#endif  // TOOLS_RELAY_RELAY_BUFFER_H_
