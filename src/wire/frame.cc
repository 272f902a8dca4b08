#include "src/wire/frame.h"

#include <fmt/format.h>

#include <bit>
#include <cstdint>
#include <cstring>

#include "src/core/checksum.h"

namespace marigold {

namespace {

static_assert(std::endian::native == std::endian::little);

// Once the buffer contains more consumed bytes than this, `Add` erases them.
constexpr std::size_t kMaxConsumedBytes = 64 * 1024;

}  // namespace

bool AppendFrame(std::string_view body, std::string& stream) {
  if (body.size() > kMaxFrameBodyBytes) {
    return false;
  }
  const auto length = static_cast<std::uint32_t>(body.size());
  const std::uint64_t hash = Checksum(body);
  char header[kFrameHeaderBytes];
  std::memcpy(header, &length, sizeof(length));
  std::memcpy(header + sizeof(length), &hash, sizeof(hash));
  stream.append(header, sizeof(header));
  stream.append(body);
  return true;
}

void FrameReader::Add(std::string_view bytes) {
  if (this->consumed_bytes == this->buffer.size() ||
      this->consumed_bytes > kMaxConsumedBytes) {
    this->buffer.erase(0, this->consumed_bytes);
    this->consumed_bytes = 0;
  }
  this->buffer.append(bytes);
}

Result<std::optional<std::string>> FrameReader::Next() {
  const std::string_view rest =
      std::string_view(this->buffer).substr(this->consumed_bytes);
  if (rest.size() < kFrameHeaderBytes) {
    return std::optional<std::string>();
  }
  std::uint32_t length = 0;
  std::uint64_t hash = 0;
  std::memcpy(&length, rest.data(), sizeof(length));
  std::memcpy(&hash, rest.data() + sizeof(length), sizeof(hash));
  if (length > kMaxFrameBodyBytes) {
    return boost::leaf::new_error(
        ParseError{"length", 0, fmt::format("at most {}", kMaxFrameBodyBytes)});
  }
  if (rest.size() < kFrameHeaderBytes + length) {
    return std::optional<std::string>();
  }
  const std::string_view body = rest.substr(kFrameHeaderBytes, length);
  if (Checksum(body) != hash) {
    return boost::leaf::new_error(
        ParseError{"hash", sizeof(length), "the hash of the body"});
  }
  this->consumed_bytes += kFrameHeaderBytes + length;
  return std::optional<std::string>(body);
}

}  // namespace marigold
