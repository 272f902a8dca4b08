#ifndef SRC_WIRE_FRAME_H_
#define SRC_WIRE_FRAME_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "src/core/result.h"

namespace marigold {

// A frame consists of the length of the body in 4 bytes, the 64-bit xxHash of
// the body in 8 bytes and the body. Both numbers are little-endian.
inline constexpr std::size_t kFrameHeaderBytes = 12;
inline constexpr std::size_t kMaxFrameBodyBytes = 4 * 1024 * 1024;

// Appends a frame with this body to `stream`. Returns false and appends nothing
// if the body is longer than `kMaxFrameBodyBytes`.
bool AppendFrame(std::string_view body, std::string& stream);

// Extracts the bodies of the frames from a stream of bytes.
class FrameReader {
 public:
  // Appends the next bytes of the stream.
  void Add(std::string_view bytes);

  // Returns the next body, or nothing if the next frame is not complete yet.
  // Fails with `ParseError` if the body is longer than `kMaxFrameBodyBytes` or
  // does not match its hash. The rest of the stream is unreadable then.
  Result<std::optional<std::string>> Next();

  // True if bytes were added that `Next` has not returned.
  bool has_partial_frame() const {
    return this->consumed_bytes < this->buffer.size();
  }

 private:
  std::string buffer;
  // The number of bytes of `buffer` that `Next` has already returned.
  std::size_t consumed_bytes = 0;
};

}  // namespace marigold

#endif  // SRC_WIRE_FRAME_H_
