#ifndef SRC_CORE_SETTINGS_VALUES_H_
#define SRC_CORE_SETTINGS_VALUES_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/core/units.h"

namespace marigold {

// An IPv4 address with a TCP or UDP port.
struct Endpoint {
  std::string address;
  std::uint16_t port = 0;

  auto operator<=>(const Endpoint&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->address, this->port);
  }
};

// Formats an endpoint, such as "127.0.0.1:8080".
std::string ToString(const Endpoint& endpoint);

// Returns nothing unless `text` is an IPv4 address, a colon and a port from 1
// to 65535.
std::optional<Endpoint> ParseEndpoint(std::string_view text);

// Returns the endpoints in a text that separates them by commas or white space.
// Returns an empty list if one of its parts is no endpoint.
std::vector<Endpoint> ParseEndpoints(std::string_view text);

// Returns nothing unless all of `text` is a whole decimal number.
std::optional<std::int64_t> ParseWholeNumber(std::string_view text);

// Returns nothing unless all of `text` is a finite decimal number.
std::optional<double> ParseDecimalNumber(std::string_view text);

// The non-empty parts of `text` between separators.
std::vector<std::string> Split(std::string_view text, char separator);

}  // namespace marigold

#endif  // SRC_CORE_SETTINGS_VALUES_H_
