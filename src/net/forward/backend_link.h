#ifndef SRC_NET_FORWARD_BACKEND_LINK_H_
#define SRC_NET_FORWARD_BACKEND_LINK_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "src/core/settings_values.h"
#include "src/net/forward/strand.h"
#include "src/policy/backend_directory.h"

namespace marigold {

using BackendReply =
    boost::beast::http::response<boost::beast::http::string_body>;

// A whole reply, or why there is none: `kNotConnected`, `kUnreachable`,
// `kConnectionLost` or `kBadAnswer`.
using LinkOutcome = std::variant<BackendReply, SendFailure>;

struct LinkExchange {
  // The encoded request.
  std::string request_bytes;
  // The reply to a HEAD request has no body, whatever its Content-Length says.
  bool is_head = false;
  // Returns false for a reply to another request. Such a reply is skipped.
  std::function<bool(const BackendReply&)> is_expected;
  // Called before the first byte is written.
  std::function<void()> on_begin;
  // Called at most once, on the strand.
  std::function<void(LinkOutcome)> on_outcome;
};

// One connection to a backend server. It carries one exchange at a time. Used
// only on its strand.
class BackendLink : public std::enable_shared_from_this<BackendLink> {
 public:
  // `on_free` is called each time the link can carry another exchange.
  // `on_closed` is called once, when the link closes.
  struct Events {
    std::function<void(const std::shared_ptr<BackendLink>&)> on_free;
    std::function<void(const std::shared_ptr<BackendLink>&)> on_closed;
  };

  BackendLink(std::shared_ptr<Strand> owning_strand, Events link_events);

  BackendLink(const BackendLink&) = delete;
  BackendLink& operator=(const BackendLink&) = delete;

  // Connects within 250 ms and then carries the exchange.
  void Open(const Endpoint& endpoint, LinkExchange first);

  // Carries an exchange over a free link.
  void Begin(LinkExchange next);

  // Abandons the exchange: its outcome is not reported. Instead, `on_end` is
  // called with whether the server answered. The link becomes free once the
  // reply has been read, or closes if no reply arrives within 300 ms. While the
  // link connects, `on_end` is called with whether it connected.
  void Abandon(std::function<void(bool answered)> on_end);

  void Close();

  // Returns true if the link is free and has been idle for less than `max_idle`
  // and for less than the limit after which the server may close it.
  bool IsUsable(MonotonicTime now, Duration max_idle) const;

 private:
  using ErrorCode = boost::system::error_code;
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;
  // `kAbandoned`: the outcome is no longer reported, but the reply is still
  // read.
  enum class State { kConnecting, kFree, kBusy, kAbandoned, kClosed };

  void OnConnected(const ErrorCode& error);
  void Write();
  void OnWritten(const ErrorCode& error);
  void AwaitBytes();
  void OnReadable(const ErrorCode& error);
  // Reads all bytes that have arrived. Returns false once the connection has
  // ended.
  bool Receive();
  void Parse();
  void OnReadError(const ErrorCode& error);
  void OnReply();
  void MarkFree();
  void ReportAbandoned(bool answered);
  void Fail(SendFailure failure);
  void SetTimer(Duration delay);
  void UpdateIdleLimit(const BackendReply& reply);

  std::shared_ptr<Strand> strand;
  Events events;
  boost::asio::ip::tcp::socket socket;
  boost::beast::flat_buffer buffer;
  std::optional<Parser> parser;
  std::optional<LinkExchange> exchange;
  std::function<void(bool)> on_abandoned_end;
  State state = State::kConnecting;
  // True after a late reply to another request or the end of the stream. The
  // link closes after the exchange in progress.
  bool must_close = false;
  bool is_written = false;
  bool is_wait_pending = false;
  MonotonicTime free_since;
  // A free link is not used after it has been idle for this long. Derived from
  // the timeout in the server's Keep-Alive field, if it sends one.
  Duration idle_limit = std::chrono::seconds(30);
  std::optional<Strand::TimerKey> timer;
};

}  // namespace marigold

#endif  // SRC_NET_FORWARD_BACKEND_LINK_H_
