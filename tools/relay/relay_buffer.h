#ifndef TOOLS_RELAY_RELAY_BUFFER_H_
#define TOOLS_RELAY_RELAY_BUFFER_H_

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "src/core/units.h"

namespace marigold {

// The fault that a relay injects into one direction of a connection.
struct RelayMode {
  // If true, all bytes are held back until the mode changes.
  bool silent = false;
  // The time from the arrival of bytes until they are forwarded.
  Duration delay{};
};

// The bytes of one direction that were read but not forwarded yet, in order.
// The end of the stream is queued and delayed like a byte. Does no I/O and
// takes no lock: the caller synchronises access.
class RelayBuffer {
 public:
  struct Output {
    // The bytes to forward, in order.
    std::vector<std::string> chunks;
    // True if the source has closed, so that nothing follows the chunks.
    bool ended = false;
  };

  // Commands.

  // Appends bytes that arrived at `now`. `bytes` must not be empty.
  void Push(MonotonicTime now, std::string bytes);

  // Appends the end of the stream.
  void PushEnd(MonotonicTime now);

  // Applies to the held bytes as well.
  void SetMode(const RelayMode& new_mode) { this->mode = new_mode; }

  // Removes and returns everything that is due at `now`.
  Output TakeDue(MonotonicTime now);

  // Queries.

  // Returns when the next bytes or the end are due, or nothing while the
  // direction is silent or the buffer is empty.
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
