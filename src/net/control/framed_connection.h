#ifndef SRC_NET_CONTROL_FRAMED_CONNECTION_H_
#define SRC_NET_CONTROL_FRAMED_CONNECTION_H_

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "src/core/clock.h"
#include "src/core/ranked_mutex.h"
#include "src/core/settings_values.h"
#include "src/core/units.h"
#include "src/net/worker_pool.h"
#include "src/wire/frame.h"

namespace marigold {

// Why a connection ended.
enum class CloseReason {
  // `Close` was called.
  kClosedHere,
  kClosedByPeer,
  // It was not connected within the timeout.
  kConnectFailed,
  // No frame arrived within the silence timeout.
  kSilent,
  // The peer did not take the sent bytes within the write timeout.
  kSlowReceiver,
  // The peer sent a frame that is too long or damaged.
  kBadFrame,
  // Any other failure of the socket.
  kLost,
};

// Stable text for logs, such as "silent".
std::string_view ToString(CloseReason reason);

struct FramedLimits {
  Duration connect_timeout = std::chrono::milliseconds(500);
  // A connection without a whole frame for this long is closed. Zero turns it
  // off.
  Duration silence_timeout = Duration::zero();
  Duration write_timeout = std::chrono::seconds(2);
  // Bytes that wait to be sent.
  std::size_t send_queue_bytes = 16 * 1024 * 1024;
};

// What a connection reports. Calls are made one at a time, on any worker, and
// must not block. None is made after `on_closed`.
struct FramedHandlers {
  // The connection is open; called for outgoing ones only.
  std::function<void()> on_open = [] {};
  std::function<void(std::string body)> on_body;
  // Called exactly once.
  std::function<void(CloseReason)> on_closed;
};

// One TCP connection that carries frames both ways. It lives until it is
// closed, even if nobody else refers to it. The object may be used from any
// thread.
class FramedConnection : public std::enable_shared_from_this<FramedConnection> {
 public:
  // A connection that does nothing before `Connect`.
  static std::shared_ptr<FramedConnection> Create(WorkerPool& pool,
                                                  FramedLimits limits);

  // For `FramedServer`: an accepted connection, which does nothing before
  // `Start`.
  FramedConnection(boost::asio::ip::tcp::socket connected,
                   FramedLimits framed_limits);

  FramedConnection(const FramedConnection&) = delete;
  FramedConnection& operator=(const FramedConnection&) = delete;

  // Begins to connect. Frames may be sent at once; they wait for the
  // connection.
  void Connect(const Endpoint& remote, FramedHandlers framed_handlers);

  // Begins to read on an accepted connection.
  void Start(FramedHandlers framed_handlers);

  // Queues one frame. False, and nothing queued, if the connection is closed,
  // its queue is full or the body is too long.
  bool Send(std::string_view body);

  // Ends the connection; frames that are not sent yet are dropped.
  void Close();

 private:
  void BeginConnect(const Endpoint& remote);
  void OnConnected(const boost::system::error_code& error);
  void BeginReading();
  void Read();
  void OnRead(const boost::system::error_code& error, std::size_t size);
  // False if the stream is damaged.
  bool DeliverBodies();
  void WriteQueued();
  void OnWritten(const boost::system::error_code& error);
  void ArmTimeoutTimer();
  void CheckTimeouts();
  void End(CloseReason reason);

  // Used only on the socket's strand.
  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer timer;
  FramedLimits limits;
  FramedHandlers handlers;
  FrameReader reader;
  std::vector<char> read_buffer;
  std::string write_buffer;
  MonotonicTime last_frame_at;
  MonotonicTime write_began_at;
  bool is_open = false;
  bool has_ended = false;

  SystemClock clock;
  std::atomic<bool> is_closing = false;
  RankedMutex<LockRank::kConnections> mutex;
  // Frames that wait, and whether a write is in progress or scheduled.
  std::string queued_frames;
  std::size_t unsent_bytes = 0;
  bool is_writing = true;
};

}  // namespace marigold

#endif  // SRC_NET_CONTROL_FRAMED_CONNECTION_H_
