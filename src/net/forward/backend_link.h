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

// A whole reply, or why there is none: `kNotConnected`, `kConnectionLost` or
// `kBadAnswer`.
using LinkOutcome = std::variant<BackendReply, SendFailure>;

struct LinkExchange {
  std::string bytes;
  // The reply to a HEAD request has no body whatever its length says.
  bool is_head = false;
  // False for a reply to another request, which is skipped.
  std::function<bool(const BackendReply&)> is_expected;
  // Called before the first byte is written.
  std::function<void()> on_begin;
  // Called at most once, on the lane.
  std::function<void(LinkOutcome)> on_outcome;
};

// One connection to a backend server, which carries one exchange at a time.
// Used only on its lane.
class BackendLink : public std::enable_shared_from_this<BackendLink> {
 public:
  // `on_free` is called when the link can carry another exchange, `on_closed`
  // once when it can't any more.
  struct Events {
    std::function<void(const std::shared_ptr<BackendLink>&)> on_free;
    std::function<void(const std::shared_ptr<BackendLink>&)> on_closed;
  };

  BackendLink(std::shared_ptr<Strand> owning_strand, Events link_events);

  BackendLink(const BackendLink&) = delete;
  BackendLink& operator=(const BackendLink&) = delete;

  // Connects and then carries the exchange.
  void Open(const Endpoint& endpoint, LinkExchange first);

  // Carries an exchange over a free link.
  void Begin(LinkExchange next);

  // Nobody waits for the outcome any more; `on_end` is told instead whether the
  // server did answer. The link becomes free once the reply has been read, or
  // closes after a while.
  void Abandon(std::function<void(bool answered)> on_end);

  void Close();

  // True if a free link was used a short enough time ago that the server has
  // not closed it by its own timeout.
  bool IsUsable(MonotonicTime now, Duration max_idle) const;

 private:
  using ErrorCode = boost::system::error_code;
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;
  enum class State { kConnecting, kFree, kBusy, kAbandoned, kClosed };

  void OnConnected(const ErrorCode& error);
  void Write();
  void OnWritten(const ErrorCode& error);
  void AwaitBytes();
  void OnReadable(const ErrorCode& error);
  // False once the connection has ended.
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
  // A late reply to another request came first; the link carries nothing more.
  bool must_close = false;
  bool is_written = false;
  bool is_wait_pending = false;
  MonotonicTime free_since;
  Duration idle_limit = std::chrono::seconds(30);
  std::optional<Strand::TimerKey> timer;
};

}  // namespace marigold

#endif  // SRC_NET_FORWARD_BACKEND_LINK_H_
