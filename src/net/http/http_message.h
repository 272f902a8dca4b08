#ifndef SRC_NET_HTTP_HTTP_MESSAGE_H_
#define SRC_NET_HTTP_HTTP_MESSAGE_H_

#include <string>
#include <utility>
#include <vector>

namespace marigold {

enum class HttpMethod { kGet, kPost, kOther };

// A complete request within the server's size limits.
struct HttpRequest {
  HttpMethod method = HttpMethod::kGet;
  // The path without the query part.
  std::string path;
  std::string body;
};

struct HttpResponse {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  // True if the connection must close after the response.
  bool must_close = false;
  // Additional header fields, as name and value.
  std::vector<std::pair<std::string, std::string>> headers{};
};

}  // namespace marigold

#endif  // SRC_NET_HTTP_HTTP_MESSAGE_H_
