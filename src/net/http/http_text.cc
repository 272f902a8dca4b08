#include "src/net/http/http_text.h"

#include <fmt/format.h>

#include <utility>

#include "src/wire/caller_json.h"

namespace marigold::detail {

namespace http = boost::beast::http;

namespace {

HttpMethod MethodOf(http::verb verb) {
  switch (verb) {
    case http::verb::get:
      return HttpMethod::kGet;
    case http::verb::post:
      return HttpMethod::kPost;
    default:
      return HttpMethod::kOther;
  }
}

}  // namespace

HttpRequest ToHttpRequest(http::request<http::string_body> message) {
  HttpRequest request;
  request.method = MethodOf(message.method());
  const std::string_view target(message.target().data(),
                                message.target().size());
  request.path = std::string(target.substr(0, target.find('?')));
  request.body = std::move(message.body());
  return request;
}

std::string EncodeResponse(const HttpResponse& response, bool keep_alive) {
  const auto reason =
      http::obsolete_reason(static_cast<http::status>(response.status));
  std::string extra_fields;
  for (const auto& [name, value] : response.headers) {
    extra_fields += fmt::format("{}: {}\r\n", name, value);
  }
  return fmt::format(
      "HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: "
      "{}\r\n{}{}\r\n{}",
      response.status, std::string_view(reason.data(), reason.size()),
      response.content_type, response.body.size(), extra_fields,
      keep_alive ? "" : "Connection: close\r\n", response.body);
}

HttpResponse MakeRefusal(int status, Reason reason, const std::string& detail) {
  HttpResponse response;
  response.status = status;
  response.must_close = true;
  response.body =
      EncodeRefusal(RequestId(), {Execution::kDidNotRun, reason, detail, {}});
  return response;
}

}  // namespace marigold::detail
