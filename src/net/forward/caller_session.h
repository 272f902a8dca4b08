#ifndef SRC_NET_FORWARD_CALLER_SESSION_H_
#define SRC_NET_FORWARD_CALLER_SESSION_H_

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "src/net/forward/strand.h"
#include "src/policy/caller_memory.h"
#include "src/policy/routes.h"

namespace marigold {

using CallerRequest =
    boost::beast::http::request<boost::beast::http::string_body>;

class CallerSession;

using CallerSessionMemory = CallerMemory<CallerSession*>;

// Callbacks and limits that a listener gives to its sessions. All calls are
// made on the session's strand.
struct CallerHandlers {
  // Takes a whole request. The handler answers it through
  // `CallerSession::Answer`.
  std::function<void(const std::shared_ptr<CallerSession>&, CallerRequest)>
      on_request;
  // Called when the caller closed the connection before its request was
  // answered.
  std::function<void(const std::shared_ptr<CallerSession>&)> on_disconnected;
  // Called once, when the connection has been closed.
  std::function<void(CallerSession*)> on_closed;
  // Returns the limits that are in force now.
  std::function<CallerLimits()> limits;
  // Called when a request, which may be incomplete, is refused for want of
  // memory or connections.
  std::function<void(const CallerRequest&)> on_room_short =
      [](const CallerRequest&) {};
  // What the sessions of the strand hold together.
  std::shared_ptr<CallerSessionMemory> memory =
      std::make_shared<CallerSessionMemory>(kDefaultCallerMemoryBytes);

  static constexpr std::size_t kDefaultCallerMemoryBytes = 64 * 1024 * 1024;
};

// Flags that are set when the process begins to shut down. Shared by all
// sessions.
struct ShutdownState {
  // If true, every connection closes after its next answer.
  std::atomic<bool> is_keep_alive_disabled = false;
  // If true, every connection closes as soon as it carries no request.
  std::atomic<bool> is_draining = false;
};

// One caller's connection. A request whose first byte has arrived is answered
// even while the process shuts down. Used only on its strand.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
 public:
  // The status of a request that is refused for want of memory or connections.
  static constexpr int kRoomShortStatus = 503;

  CallerSession(std::shared_ptr<Strand> owning_strand,
                boost::asio::ip::tcp::socket accepted,
                std::shared_ptr<const CallerHandlers> caller_handlers,
                std::shared_ptr<const ShutdownState> listener_shutdown_state);
  ~CallerSession();

  CallerSession(const CallerSession&) = delete;
  CallerSession& operator=(const CallerSession&) = delete;

  void Start();

  // Sends the answer to the request in progress. `bytes` is a whole HTTP
  // response whose Connection field agrees with `closes_connection`. Its body
  // is left out if the request is a HEAD request. Does nothing if no request is
  // in progress.
  void Answer(std::string bytes, bool closes_connection);

  // Closes the connection if no byte of a new request has arrived.
  void CloseIfIdle();

  // Gives up an incomplete request, an answer that the caller does not take or
  // an idle connection, so that others can be served. Must not be called while
  // a request is in progress.
  void Evict();

  // Closes the connection if its last answer has been written.
  void StopLingering();

  // Closes a connection that has been idle for too long or takes an answer too
  // slowly. A request that arrives too slowly is refused with status 408.
  void CheckTimeouts(MonotonicTime now);

  // Returns true if the connection has to close after the answer to the request
  // in progress.
  bool MustClose() const;
  // The round trip time to the caller that the kernel measured during the TCP
  // handshake. Empty if the kernel has no measurement.
  std::optional<Duration> round_trip() const {
    return this->measured_round_trip;
  }
  bool has_request() const { return this->state == State::kHandling; }
  // True between two requests.
  bool is_idle() const { return this->state == State::kIdle; }
  // The time since which the connection has been idle or has had the same
  // request or answer on its way.
  MonotonicTime unchanged_since() const { return this->state_began_at; }

 private:
  using ErrorCode = boost::system::error_code;
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;
  enum class State {
    kIdle,
    kReading,
    kHandling,
    kWriting,
    // The last answer was written. Bytes that still arrive are dropped, because
    // closing at once would reset the connection before the caller has read
    // the answer.
    kLingering,
    kClosed
  };

  void AwaitBytes();
  void OnReadable(const ErrorCode& error);
  // Reads the bytes that have arrived. Returns false once the caller has closed
  // the connection or the read has failed.
  bool Receive();
  void Parse();
  void Refuse(int status, std::string_view detail);
  // Counts the bytes that this session holds. If memory is short, others that
  // make no progress are evicted. Returns false if that is not enough.
  bool HoldMemory(std::size_t bytes, bool is_evictable);
  // Refuses a request that was not passed on, and releases its memory.
  void RefuseIncomplete(std::string_view detail);
  // The bytes of the request that has arrived so far.
  std::size_t RequestBytes() const;
  void OnWritten(const ErrorCode& error);
  void BeginRequest();
  void Linger();
  void Close();

  std::shared_ptr<Strand> strand;
  boost::asio::ip::tcp::socket socket;
  std::shared_ptr<const CallerHandlers> handlers;
  std::shared_ptr<const ShutdownState> shutdown_state;
  boost::beast::flat_buffer buffer;
  std::optional<Parser> parser;
  CallerLimits limits;
  State state = State::kIdle;
  bool keeps_alive = true;
  bool is_head = false;
  bool closes_after_write = false;
  bool is_wait_pending = false;
  bool is_read_closed = false;
  bool has_sent_continue = false;
  std::string outgoing;
  std::size_t dropped_bytes = 0;
  std::optional<Duration> measured_round_trip;
  // The time at which the current state began.
  MonotonicTime state_began_at;
};

}  // namespace marigold

#endif  // SRC_NET_FORWARD_CALLER_SESSION_H_
