#ifndef SRC_WIRE_FRAME_H_
#define SRC_WIRE_FRAME_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "src/core/result.h"

namespace marigold {

// A frame is the body's length in 4 bytes, its 64-bit xxHash in 8 bytes, both
// little-endian, and the body.
inline constexpr std::size_t kFrameHeaderBytes = 12;
inline constexpr std::size_t kMaxFrameBodyBytes = 4 * 1024 * 1024;

// Appends a frame to `stream`. False, and nothing appended, if the body is
// longer than `kMaxFrameBodyBytes`.
bool AppendFrame(std::string_view body, std::string& stream);

// Splits a stream of bytes into the bodies of its frames.
class FrameReader {
 public:
  // Takes the next bytes of the stream.
  void Add(std::string_view bytes);

  // The next body, or nothing until more bytes have arrived. Fails with
  // `ParseError` for a body that is too long or does not match its hash; the
  // stream can't be read any further then.
  Result<std::optional<std::string>> Next();

  // Whether a frame has begun and is not complete.
  bool has_partial_frame() const {
    return this->consumed_bytes < this->buffer.size();
  }

 private:
  std::string buffer;
  // Bytes of `buffer` that were returned already.
  std::size_t consumed_bytes = 0;
};

}  // namespace marigold

#endif  // SRC_WIRE_FRAME_H_
