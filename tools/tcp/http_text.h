#ifndef TOOLS_TCP_HTTP_TEXT_H_
#define TOOLS_TCP_HTTP_TEXT_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace marigold {

// The parts of an HTTP/1.1 request that the stand-in uses. `path` does not
// include the query string.
struct TextRequest {
  std::string method;
  std::string path;
  std::string body;
  bool keep_alive = true;
};

// Splits a byte stream into HTTP/1.1 requests. It shares no code with the
// production server, so that a fault in one of them shows as a disagreement.
class TextRequestReader {
 public:
  // Appends received bytes.
  void Append(std::string_view bytes);

  // Removes and returns the next complete request. Returns nothing if more
  // bytes are needed or the stream is broken.
  std::optional<TextRequest> Next();

  // True after an invalid request, after which the stream can't be parsed any
  // further. Chunked bodies and bodies above 4 MiB are invalid too.
  bool is_broken() const { return this->broken; }

 private:
  std::string buffer;
  bool broken = false;
};

// Formats a complete HTTP/1.1 response with a JSON body.
std::string FormatTextResponse(int status,
                               std::string_view body,
                               bool keep_alive);

}  // namespace marigold

#endif  // TOOLS_TCP_HTTP_TEXT_H_
