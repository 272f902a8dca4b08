#include "src/core/settings_values.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <charconv>
#include <cmath>
#include <limits>

namespace marigold {

std::string ToString(const Endpoint& endpoint) {
  return fmt::format("{}:{}", endpoint.address, endpoint.port);
}

std::optional<Endpoint> ParseEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string address(text.substr(0, colon));
  const auto port = ParseWholeNumber(text.substr(colon + 1));
  if (!port || *port < 1 || *port > std::numeric_limits<std::uint16_t>::max()) {
    return std::nullopt;
  }
  in_addr parsed{};
  if (inet_pton(AF_INET, address.c_str(), &parsed) != 1) {
    return std::nullopt;
  }
  return Endpoint{address, static_cast<std::uint16_t>(*port)};
}

std::vector<Endpoint> ParseEndpoints(std::string_view text) {
  constexpr std::string_view kSeparators = ", \t\r\n";
  std::vector<Endpoint> endpoints;
  std::size_t begin = text.find_first_not_of(kSeparators);
  while (begin != std::string_view::npos) {
    const std::size_t end =
        std::min(text.find_first_of(kSeparators, begin), text.size());
    const auto endpoint = ParseEndpoint(text.substr(begin, end - begin));
    if (!endpoint) {
      return {};
    }
    endpoints.push_back(*endpoint);
    begin = text.find_first_not_of(kSeparators, end);
  }
  return endpoints;
}

std::optional<std::int64_t> ParseWholeNumber(std::string_view text) {
  std::int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return value;
}

std::optional<double> ParseDecimalNumber(std::string_view text) {
  double value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || stop != end || !std::isfinite(value)) {
    return std::nullopt;
  }
  return value;
}

std::vector<std::string> Split(std::string_view text, char separator) {
  std::vector<std::string> parts;
  std::size_t start = 0;
  while (start <= text.size()) {
    const std::size_t stop = std::min(text.find(separator, start), text.size());
    if (stop > start) {
      parts.emplace_back(text.substr(start, stop - start));
    }
    start = stop + 1;
  }
  return parts;
}

}  // namespace marigold
