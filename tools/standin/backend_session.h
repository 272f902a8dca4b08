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

// One connection of a searcher. Takes one request at a time and can fail in
// every way of `ReplyFault`. State is used only on the stream's strand.
class BackendSession : public std::enable_shared_from_this<BackendSession> {
 public:
  struct Handlers {
    std::function<void(const TextRequest&)> on_request;
    std::function<void()> on_closed;
  };

  BackendSession(WorkerPool& worker_pool,
                 std::shared_ptr<TcpStream> tcp_stream);

  // `connect_time` is added before the first request is taken.
  void Start(Duration connect_time, Handlers session_handlers);

  // Answers the request that was taken.
  void Respond(int status, std::string body, ReplyFault fault, Duration delay);

  // Answers nothing from now on and keeps the connection open.
  void Silence();

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
