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

// Why a connection was closed.
enum class CloseReason {
  // `Close` was called.
  kClosedHere,
  kClosedByPeer,
  // The connect failed or exceeded the connect timeout.
  kConnectFailed,
  // No frame arrived within the silence timeout.
  kSilent,
  // The peer did not accept the bytes of a write within the write timeout.
  kSlowReceiver,
  // The peer sent a frame that is too long or does not match its hash.
  kBadFrame,
  // Any other socket error.
  kLost,
};

// Returns a stable token for logs, such as "silent".
std::string_view ToString(CloseReason reason);

struct FramedLimits {
  Duration connect_timeout = std::chrono::milliseconds(500);
  // A connection that receives no complete frame for this long is closed. Zero
  // turns this off.
  Duration silence_timeout = Duration::zero();
  // Like `silence_timeout`, for the time until the first frame. Zero means that
  // `silence_timeout` applies from the start.
  Duration first_frame_timeout = Duration::zero();
  Duration write_timeout = std::chrono::seconds(2);
  // Maximum number of bytes that are queued or being written.
  std::size_t send_queue_bytes = 16 * 1024 * 1024;
};

// Callbacks of a connection. They run one at a time, on any worker, and must
// not block. None runs after `on_closed`.
struct FramedHandlers {
  // Called when an outgoing connection has opened. Not called for accepted
  // connections.
  std::function<void()> on_open = [] {};
  // Called for each frame that arrives.
  std::function<void(std::string body)> on_body;
  // Called exactly once, when the connection has closed.
  std::function<void(CloseReason)> on_closed;
};

// A TCP connection that carries frames in both directions. Once it connects or
// reads, it keeps itself alive until it is closed, even without other
// references. Its methods may be called from any thread.
class FramedConnection : public std::enable_shared_from_this<FramedConnection> {
 public:
  // Creates a connection that is idle until `Connect` is called.
  static std::shared_ptr<FramedConnection> Create(WorkerPool& pool,
                                                  FramedLimits limits);

  // For `FramedServer`: wraps an accepted socket. The connection is idle until
  // `Start` is called.
  FramedConnection(boost::asio::ip::tcp::socket connected,
                   FramedLimits framed_limits);

  FramedConnection(const FramedConnection&) = delete;
  FramedConnection& operator=(const FramedConnection&) = delete;

  // Begins to connect. Frames that are sent before the connection opens are
  // queued.
  void Connect(const Endpoint& remote, FramedHandlers framed_handlers);

  // Begins to read from and write to an accepted connection.
  void Start(FramedHandlers framed_handlers);

  // Queues one frame. Returns false and queues nothing if the connection is
  // closed, its queue is full or the body is longer than `kMaxFrameBodyBytes`.
  bool Send(std::string_view body);

  // True once the connection has failed, ended or been closed here. `on_closed`
  // may not have run yet.
  bool is_closed() const { return this->is_closing; }

  // Closes the connection. Frames that have not been sent are dropped.
  void Close();

 private:
  void BeginConnect(const Endpoint& remote);
  void OnConnected(const boost::system::error_code& error);
  void BeginReading();
  void Read();
  void OnRead(const boost::system::error_code& error, std::size_t size);
  // Passes the bodies of all complete frames to `FramedHandlers::on_body`.
  // Returns false if the received bytes are not a valid frame.
  bool DeliverBodies();
  void WriteQueued();
  void OnWritten(const boost::system::error_code& error);
  void ArmTimeoutTimer();
  void CheckTimeouts();
  // The silence timeout that applies now. Zero turns it off.
  Duration SilenceTimeout() const;
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
  bool has_received_frame = false;
  MonotonicTime write_began_at;
  bool is_open = false;
  bool has_ended = false;

  SystemClock clock;
  std::atomic<bool> is_closing = false;
  RankedMutex<LockRank::kConnections> mutex;
  // Guarded by `mutex`: encoded frames that no write has taken yet, the bytes
  // that are queued or being written, and whether a write is in progress or
  // scheduled. `is_writing` begins as true, so that frames are queued until the
  // connection opens.
  std::string queued_frames;
  std::size_t unsent_bytes = 0;
  bool is_writing = true;
};

}  // namespace marigold

#endif  // SRC_NET_CONTROL_FRAMED_CONNECTION_H_
