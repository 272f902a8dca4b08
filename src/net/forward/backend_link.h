#ifndef SRC_NET_FORWARD_BACKEND_LINK_H_
#define SRC_NET_FORWARD_BACKEND_LINK_H_

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "src/core/ids.h"
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
  // The request's id, which all sends of one request share.
  RequestId request;
  // The encoded request, or its header if it has a body that is shared with
  // other sends.
  std::string request_bytes;
  // Null if there is none.
  std::shared_ptr<const std::string> request_body{};
  // The reply to a HEAD request has no body, whatever its Content-Length says.
  bool is_head = false;
  // Returns false for a reply to another request. Such a reply is skipped.
  std::function<bool(const BackendReply&)> is_expected;
  // Called with each whole reply to the request, also with one that arrives
  // after the exchange was abandoned. May be empty.
  std::function<void(const BackendReply&)> on_reply;
  // Called before the first byte is written.
  std::function<void()> on_begin;
  // Called at most once, on the strand.
  std::function<void(LinkOutcome)> on_outcome;
};

// Limits of the replies that the links of one strand receive.
struct ReplyLimits {
  // The body of one reply.
  std::size_t max_reply_bytes = 4 * 1024 * 1024;
  // All incomplete replies together.
  std::size_t max_total_bytes = 32 * 1024 * 1024;
};

// Bounds the memory that incomplete replies of all links of a strand take
// together. A server in trouble may send bytes without end on many links at the
// same time. Used only on the strand.
class ReplyMemory {
 public:
  explicit ReplyMemory(std::size_t limit_in_bytes) : limit(limit_in_bytes) {}

  // Counts bytes of an incomplete reply. Returns false and counts nothing if
  // that would exceed the limit.
  bool TryAdd(std::size_t bytes) {
    if (this->used + bytes > this->limit) {
      return false;
    }
    this->used += bytes;
    return true;
  }
  void Release(std::size_t bytes) { this->used -= bytes; }

  std::size_t used_bytes() const { return this->used; }

 private:
  std::size_t limit;
  std::size_t used = 0;
};

// The requests that a connection has carried last.
class CarriedRequests {
 public:
  void Add(const RequestId& request) {
    this->hashes[this->next++ % this->hashes.size()] = HashOf(request);
  }

  bool Contains(const RequestId& request) const {
    const auto end =
        this->hashes.begin() + std::min(this->next, this->hashes.size());
    return std::find(this->hashes.begin(), end, HashOf(request)) != end;
  }

 private:
  // A late copy of a reply arrives with the next replies on its connection, not
  // long after them.
  static constexpr std::size_t kMaxRequests = 16;

  static std::size_t HashOf(const RequestId& request) {
    return std::hash<RequestId>()(request);
  }

  // Two requests with the same hash only cause an unnecessary connection.
  std::array<std::size_t, kMaxRequests> hashes{};
  std::size_t next = 0;
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

  // `max_reply_bytes` bounds the body of a reply.
  BackendLink(std::shared_ptr<Strand> owning_strand,
              std::shared_ptr<ReplyMemory> shared_reply_memory,
              std::size_t max_reply_bytes,
              Events link_events);

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

  // Returns true if the link has carried the request. It must not carry it
  // again, because a late copy of the first reply would pass for the reply to
  // the second send.
  bool HasCarried(const RequestId& request) const {
    return this->carried_requests.Contains(request);
  }

 private:
  using ErrorCode = boost::system::error_code;
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;
  // `kAbandoned`: the outcome is no longer reported, but the reply is still
  // read.
  enum class State { kConnecting, kFree, kBusy, kAbandoned, kClosed };

  void OnConnected(const ErrorCode& error);
  void Write();
  // Writes what is left after `sent` bytes of the request.
  void WriteRest(std::size_t sent);
  void OnWritten(const ErrorCode& error);
  void AwaitBytes();
  void OnReadable(const ErrorCode& error);
  // Reads the bytes that have arrived, up to a limit. Returns false once the
  // connection has ended.
  bool Receive();
  void Parse();
  void OnReadError(const ErrorCode& error);
  void BeginReply();
  // Counts bytes that have arrived for the reply, parsed or not. Returns false
  // and fails the exchange if the replies of all links take too much memory.
  bool CountReplyBytes(std::size_t bytes);
  void ReleaseReplyBytes();
  void OnReply();
  void MarkFree();
  void ReportAbandoned(bool answered);
  void Fail(SendFailure failure);
  void SetTimer(Duration delay);
  void UpdateIdleLimit(const BackendReply& reply);

  std::shared_ptr<Strand> strand;
  std::shared_ptr<ReplyMemory> reply_memory;
  std::size_t max_body_bytes;
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
  // The bytes of the incomplete reply that `reply_memory` counts.
  std::size_t counted_bytes = 0;
  // The replies to other requests that arrived during the exchange.
  std::size_t skipped_replies = 0;
  CarriedRequests carried_requests;
  MonotonicTime free_since;
  // A free link is not used after it has been idle for this long. Derived from
  // the timeout in the server's Keep-Alive field, if it sends one.
  Duration idle_limit = std::chrono::seconds(30);
  std::optional<Strand::TimerKey> timer;
};

}  // namespace marigold

#endif  // SRC_NET_FORWARD_BACKEND_LINK_H_
