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
#include "src/policy/routes.h"

namespace marigold {

using CallerRequest =
    boost::beast::http::request<boost::beast::http::string_body>;

class CallerSession;

// What a door does for its sessions. All calls are made on the session's lane.
struct CallerHandlers {
  // Takes a whole request, which `CallerSession::Answer` answers.
  std::function<void(const std::shared_ptr<CallerSession>&, CallerRequest)>
      on_request;
  // The caller closed the connection before its request was answered.
  std::function<void(const std::shared_ptr<CallerSession>&)> on_disconnected;
  // Called once, at the end.
  std::function<void(CallerSession*)> on_closed;
  // The limits in force now.
  std::function<CallerLimits()> limits;
};

// Set once the process begins to leave.
struct ShutdownState {
  // Every answer ends its connection.
  std::atomic<bool> is_keep_alive_disabled = false;
  // Connections without a request close.
  std::atomic<bool> is_draining = false;
};

// One caller's connection. A request counts from its first byte, and is
// answered also while the process leaves. Used only on its lane.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
 public:
  CallerSession(std::shared_ptr<Strand> owning_strand,
                boost::asio::ip::tcp::socket accepted,
                std::shared_ptr<const CallerHandlers> caller_handlers,
                std::shared_ptr<const ShutdownState> listener_shutdown_state);

  CallerSession(const CallerSession&) = delete;
  CallerSession& operator=(const CallerSession&) = delete;

  void Start();

  // Sends the answer to the request in progress: a whole HTTP response that
  // says whether the connection ends with it.
  void Answer(std::string bytes, bool closes_connection);

  // Closes the connection if no byte of a request has arrived.
  void CloseIfIdle();

  // Closes a connection that is idle or sends its request too slowly.
  void CheckTimeouts(MonotonicTime now);

  // True if the answer to the request in progress has to end the connection.
  bool MustClose() const;
  // From the caller and back, as the system measured it; nothing if it did not.
  std::optional<Duration> round_trip() const {
    return this->measured_round_trip;
  }
  bool has_request() const { return this->state == State::kHandling; }

 private:
  using ErrorCode = boost::system::error_code;
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;
  enum class State {
    kIdle,
    kReading,
    kHandling,
    kWriting,
    kLingering,
    kClosed
  };

  void AwaitBytes();
  void OnReadable(const ErrorCode& error);
  // False once the connection has ended.
  bool Receive();
  void Parse();
  void Refuse(int status, std::string_view detail);
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
  bool closes_after_write = false;
  bool is_wait_pending = false;
  bool is_read_closed = false;
  bool has_sent_continue = false;
  std::string outgoing;
  std::size_t dropped_bytes = 0;
  std::optional<Duration> measured_round_trip;
  // Since the state began.
  MonotonicTime state_began_at;
};

}  // namespace marigold

#endif  // SRC_NET_FORWARD_CALLER_SESSION_H_
