#ifndef SRC_NET_HTTP_BUFFERED_PARSE_H_
#define SRC_NET_HTTP_BUFFERED_PARSE_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>

namespace marigold::detail {

// Feeds the bytes in `buffer` to the HTTP parser and removes those that it has
// parsed. Calls `on_header` when the header is complete; parsing stops if it
// returns false.
//
// Returns `http::error::header_limit` if more than `max_line_bytes` of the head
// of a chunk or of a trailer have arrived without its end. The parser leaves
// such bytes in the buffer until they are complete, so that none of its own
// limits applies to them. Returns the parser's error if the bytes are not HTTP,
// and no error if more bytes are needed.
template <class Parser, class OnHeader>
boost::system::error_code ParseBuffered(Parser& parser,
                                        boost::beast::flat_buffer& buffer,
                                        std::size_t max_line_bytes,
                                        const OnHeader& on_header) {
  namespace http = boost::beast::http;
  boost::system::error_code error;
  while (buffer.size() > 0 && !parser.is_done()) {
    const bool had_header = parser.is_header_done();
    const std::size_t parsed_bytes = parser.put(buffer.data(), error);
    buffer.consume(parsed_bytes);
    if (error == http::error::need_more || (!error && parsed_bytes == 0)) {
      break;
    }
    if (error) {
      return error;
    }
    if (!had_header && parser.is_header_done() && !on_header()) {
      return {};
    }
  }
  if (!parser.is_done() && buffer.size() > max_line_bytes) {
    return http::error::header_limit;
  }
  return {};
}

template <class Parser>
boost::system::error_code ParseBuffered(Parser& parser,
                                        boost::beast::flat_buffer& buffer,
                                        std::size_t max_line_bytes) {
  return ParseBuffered(parser, buffer, max_line_bytes, [] { return true; });
}

}  // namespace marigold::detail

#endif  // SRC_NET_HTTP_BUFFERED_PARSE_H_
