#ifndef TOOLS_TCP_TCP_STREAM_H_
#define TOOLS_TCP_TCP_STREAM_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "src/core/settings_values.h"
#include "src/core/units.h"
#include "src/net/worker_pool.h"

namespace marigold {

// One TCP connection without a protocol on top, for programs that inject
// faults. Its functions may be called on any thread. Its handlers run one at a
// time.
class TcpStream {
 public:
  struct Handlers {
    // The bytes are valid only during the call.
    std::function<void(std::string_view)> on_bytes;
    // Runs when the peer has closed the connection or it has failed. Runs at
    // most once, and not after `Close` or `Reset`.
    std::function<void()> on_closed;
  };

  struct Impl;

  explicit TcpStream(std::shared_ptr<Impl> stream_impl);
  ~TcpStream();

  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;

  // Connects and passes the stream to `on_connected`, or null if the connection
  // fails or takes longer than `timeout`.
  static void Connect(
      WorkerPool& pool,
      const Endpoint& endpoint,
      Duration timeout,
      std::function<void(std::shared_ptr<TcpStream>)> on_connected);

  // Starts to read and to call `handlers`.
  void Start(Handlers handlers);

  // Runs `task` later, never at the same time as a handler or another task.
  void Post(std::function<void()> task);

  // Queues bytes to be sent. Does nothing after `Close` or `Reset`.
  void Write(std::string bytes);

  // Stops or resumes reading. While reading is stopped, the receive buffer of
  // the kernel fills up and TCP flow control stops the peer.
  void SetReading(bool reading);

  // Closes the connection after all queued bytes are sent.
  void Close();

  // Drops queued bytes and closes the connection with a TCP reset.
  void Reset();

  // The number of bytes that are queued and not sent yet.
  std::size_t unsent_bytes() const;

 private:
  std::shared_ptr<Impl> impl;
};

}  // namespace marigold

#endif  // TOOLS_TCP_TCP_STREAM_H_
