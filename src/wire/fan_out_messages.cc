#include "src/wire/fan_out_messages.h"

#include <fmt/format.h>

#include "src/core/binary_codec.h"

namespace marigold {

namespace {

// Increased with each change of the format, so that VMs of different releases
// refuse each other's messages instead of misreading them.
constexpr std::uint16_t kFormatVersion = 2;

struct VersionedMessage {
  std::uint16_t version = kFormatVersion;
  FanOutMessage message;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->version);
    if (this->version == kFormatVersion) {
      archive(this->message);
    }
  }
};

}  // namespace

std::string EncodeFanOutMessage(const FanOutMessage& message) {
  return EncodeBinary(VersionedMessage{kFormatVersion, message});
}

Result<FanOutMessage> DecodeFanOutMessage(std::string_view body) {
  if (body.size() > kMaxFanOutMessageBytes) {
    return boost::leaf::new_error(ParseError{
        "length", 0, fmt::format("at most {} bytes", kMaxFanOutMessageBytes)});
  }
  std::uint16_t version = 0;
  if (body.size() >= sizeof(version)) {
    std::memcpy(&version, body.data(), sizeof(version));
  }
  if (version != kFormatVersion) {
    return boost::leaf::new_error(
        ParseError{"version", 0, fmt::format("version {}", kFormatVersion)});
  }
  BOOST_LEAF_AUTO(decoded, DecodeBinary<VersionedMessage>(body));
  return std::move(decoded.message);
}

}  // namespace marigold
