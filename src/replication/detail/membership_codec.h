#ifndef SRC_REPLICATION_DETAIL_MEMBERSHIP_CODEC_H_
#define SRC_REPLICATION_DETAIL_MEMBERSHIP_CODEC_H_

#include <string>
#include <string_view>

#include "src/core/result.h"
#include "src/replication/types.h"

namespace marigold::detail {

// Encodes the payload of a membership entry.
std::string EncodeMembership(const Membership& membership);

// Fails with `ParseError` if the payload is not an encoded membership.
Result<Membership> DecodeMembership(std::string_view payload);

}  // namespace marigold::detail

#endif  // SRC_REPLICATION_DETAIL_MEMBERSHIP_CODEC_H_
