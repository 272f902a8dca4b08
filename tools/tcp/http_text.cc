#include "tools/tcp/http_text.h"

#include <fmt/format.h>
#include <strings.h>

#include <utility>

#include "src/core/settings_values.h"

namespace marigold {

namespace {

constexpr std::string_view kEndOfLine = "\r\n";
constexpr std::string_view kEndOfHeader = "\r\n\r\n";
constexpr std::size_t kMaxHeaderBytes = 16 * 1024;
constexpr std::int64_t kMaxBodyBytes = 4 * 1024 * 1024;

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && text.front() == ' ') {
    text.remove_prefix(1);
  }
  while (!text.empty() && text.back() == ' ') {
    text.remove_suffix(1);
  }
  return text;
}

struct Header {
  TextRequest request;
  std::int64_t body_bytes = 0;
};

bool ReadField(std::string_view line, Header& header) {
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  const std::string_view name = line.substr(0, colon);
  const std::string_view value = Trim(line.substr(colon + 1));
  if (EqualsIgnoringCase(name, "content-length")) {
    const auto length = ParseWholeNumber(value);
    if (!length || *length < 0 || *length > kMaxBodyBytes) {
      return false;
    }
    header.body_bytes = *length;
  } else if (EqualsIgnoringCase(name, "connection")) {
    header.request.keep_alive = !EqualsIgnoringCase(value, "close");
  } else if (EqualsIgnoringCase(name, "transfer-encoding")) {
    return false;
  }
  return true;
}

bool ReadRequestLine(std::string_view line, Header& header) {
  const std::size_t first = line.find(' ');
  const std::size_t last = line.rfind(' ');
  if (first == std::string_view::npos || last <= first ||
      !line.substr(last + 1).starts_with("HTTP/1.")) {
    return false;
  }
  const std::string_view target = line.substr(first + 1, last - first - 1);
  header.request.method = std::string(line.substr(0, first));
  header.request.path = std::string(target.substr(0, target.find('?')));
  return true;
}

std::optional<Header> ReadHeader(std::string_view text) {
  Header header;
  bool is_first = true;
  while (!text.empty()) {
    const std::size_t stop = std::min(text.find(kEndOfLine), text.size());
    const std::string_view line = text.substr(0, stop);
    text.remove_prefix(std::min(stop + kEndOfLine.size(), text.size()));
    const bool valid =
        is_first ? ReadRequestLine(line, header) : ReadField(line, header);
    if (!valid) {
      return std::nullopt;
    }
    is_first = false;
  }
  return header;
}

std::string_view ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 409:
      return "Conflict";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

}  // namespace

void TextRequestReader::Append(std::string_view bytes) {
  this->buffer.append(bytes);
}

std::optional<TextRequest> TextRequestReader::Next() {
  const std::size_t end = this->buffer.find(kEndOfHeader);
  if (this->broken || end == std::string::npos) {
    this->broken = this->broken || this->buffer.size() > kMaxHeaderBytes;
    return std::nullopt;
  }
  auto header = ReadHeader(std::string_view(this->buffer).substr(0, end));
  if (!header) {
    this->broken = true;
    return std::nullopt;
  }
  const std::size_t body_at = end + kEndOfHeader.size();
  const auto body_bytes = static_cast<std::size_t>(header->body_bytes);
  if (this->buffer.size() < body_at + body_bytes) {
    return std::nullopt;
  }
  header->request.body = this->buffer.substr(body_at, body_bytes);
  this->buffer.erase(0, body_at + body_bytes);
  return std::move(header->request);
}

std::string FormatTextResponse(int status,
                               std::string_view body,
                               bool keep_alive) {
  return fmt::format(
      "HTTP/1.1 {} {}\r\nContent-Type: application/json\r\n"
      "Content-Length: {}\r\nConnection: {}\r\n\r\n{}",
      status, ReasonPhrase(status), body.size(),
      keep_alive ? "keep-alive" : "close", body);
}

}  // namespace marigold
