#include "src/replication/detail/membership_codec.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>

namespace marigold::detail {

std::string EncodeMembership(const Membership& membership) {
  std::ostringstream stream;
  cereal::PortableBinaryOutputArchive archive(stream);
  archive(membership);
  return stream.str();
}

Result<Membership> DecodeMembership(std::string_view payload) {
  std::istringstream stream{std::string(payload)};
  Membership membership;
  try {
    cereal::PortableBinaryInputArchive archive(stream);
    archive(membership);
  } catch (const std::exception& error) {
    return boost::leaf::new_error(
        ParseError{"membership", {}, std::string("members: ") + error.what()});
  }
  return membership;
}

}  // namespace marigold::detail
