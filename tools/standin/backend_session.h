#ifndef TOOLS_STANDIN_BACKEND_SESSION_H_
#define TOOLS_STANDIN_BACKEND_SESSION_H_

#include <functional>
#include <memory>
#include <string>

#include "src/net/worker_pool.h"
#include "tools/standin/reply_fault.h"
#include "tools/standin/searcher_types.h"
#include "tools/tcp/http_text.h"
#include "tools/tcp/tcp_stream.h"

namespace marigold {

// One connection of a searcher. Handles one request at a time, and can send
// each reply with any `ReplyFault`. Its state is used only on the strand of the
// stream.
class BackendSession : public std::enable_shared_from_this<BackendSession> {
 public:
  struct Handlers {
    // Runs for each request. The next request is read after `Respond`.
    std::function<void(const TextRequest&)> on_request;
    // Runs when the peer, a fault or an error has closed the connection, but
    // not after `Reset`.
    std::function<void()> on_closed;
  };

  BackendSession(WorkerPool& worker_pool,
                 std::shared_ptr<TcpStream> tcp_stream);

  // Starts to read. The first request is handled `connect_time` after the call
  // at the earliest, which simulates the time that a connection takes to be set
  // up.
  void Start(Duration connect_time, Handlers session_handlers);

  // Sends the reply to the current request after `delay`, changed by `fault`.
  void Respond(int status, std::string body, ReplyFault fault, Duration delay);

  // Sends nothing from now on and keeps the connection open.
  void Silence();

  // Closes the connection with a TCP reset.
  void Reset() { this->stream->Reset(); }

 private:
  void OnBytes(std::string_view bytes);
  void TakeNextRequest();
  void Send(int status, const std::string& body, ReplyFault fault);
  void Write(int status, const std::string& body, ReplyFault fault);

  WorkerPool& pool;
  std::shared_ptr<TcpStream> stream;
  Handlers handlers;
  TextRequestReader reader;
  TimerHandle timer;
  bool connect_pending = true;
  bool request_in_progress = false;
  bool keep_alive = true;
  bool silent = false;
};

}  // namespace marigold

#endif  // TOOLS_STANDIN_BACKEND_SESSION_H_
