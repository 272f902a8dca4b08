#include "src/wire/control_messages.h"

#include "src/core/binary_codec.h"

namespace marigold {

// The number of values of each enum. Decoding fails for a higher number.
template <>
inline constexpr std::uint64_t kEnumValues<MemberRole> = 3;
template <>
inline constexpr std::uint64_t kEnumValues<EntryKind> = 3;
template <>
inline constexpr std::uint64_t kEnumValues<MembershipChange::Kind> = 3;

std::vector<ControlVmLocation> LocationsOf(const Membership& membership) {
  std::vector<ControlVmLocation> locations;
  locations.reserve(membership.members.size());
  for (const Member& member : membership.members) {
    locations.push_back({member.address, member.data_centre,
                         member.role == MemberRole::kVoter});
  }
  return locations;
}

std::string EncodeControlMessage(const ControlMessage& message) {
  return EncodeBinary(message);
}

Result<ControlMessage> DecodeControlMessage(std::string_view body) {
  return DecodeBinary<ControlMessage>(body);
}

std::string EncodeCommand(const ControlCommand& command) {
  return EncodeBinary(command);
}

Result<ControlCommand> DecodeCommand(std::string_view payload) {
  return DecodeBinary<ControlCommand>(payload);
}

}  // namespace marigold
