#ifndef SRC_NET_HTTP_HTTP_TEXT_H_
#define SRC_NET_HTTP_HTTP_TEXT_H_

#include <boost/beast/http.hpp>
#include <string>
#include <string_view>

#include "src/core/verdict.h"
#include "src/net/http/http_message.h"

namespace marigold::detail {

inline constexpr int kHttpOk = 200;
inline constexpr int kHttpBadRequest = 400;
inline constexpr int kHttpTimeout = 408;
inline constexpr int kHttpBodyTooLarge = 413;
inline constexpr int kHttpHeaderTooLarge = 431;
inline constexpr int kHttpUnavailable = 503;

HttpRequest ToHttpRequest(
    boost::beast::http::request<boost::beast::http::string_body> message);

// Encodes the header and the body of a response.
std::string EncodeResponse(const HttpResponse& response, bool keep_alive);

// Creates the response that refuses a request before it reaches the handler.
// The refusal says that the request did not run, and the connection closes
// after it.
HttpResponse MakeRefusal(int status, Reason reason, const std::string& detail);

}  // namespace marigold::detail

#endif  // SRC_NET_HTTP_HTTP_TEXT_H_
