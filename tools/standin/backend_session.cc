#include "tools/standin/backend_session.h"

#include <utility>

namespace marigold {

namespace {

constexpr std::string_view kMalformedBody = R"({"attempt_id": 1, "snapshot": )";

}  // namespace

BackendSession::BackendSession(WorkerPool& worker_pool,
                               std::shared_ptr<TcpStream> tcp_stream)
    : pool(worker_pool), stream(std::move(tcp_stream)) {}

void BackendSession::Start(Duration connect_time, Handlers session_handlers) {
  this->handlers = std::move(session_handlers);
  this->timer = this->pool.After(connect_time, [weak = this->weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->stream->Post([self] {
        self->connect_pending = false;
        self->TakeNextRequest();
      });
    }
  });
  this->stream->Start(
      {[self = this->shared_from_this()](std::string_view bytes) {
         self->OnBytes(bytes);
       },
       [self = this->shared_from_this()] { self->handlers.on_closed(); }});
}

void BackendSession::Respond(int status,
                             std::string body,
                             ReplyFault fault,
                             Duration delay) {
  auto send = [self = this->shared_from_this(), status, text = std::move(body),
               fault] {
    self->stream->Post(
        [self, status, text, fault] { self->Send(status, text, fault); });
  };
  if (delay == Duration::zero()) {
    send();
    return;
  }
  this->stream->Post([self = this->shared_from_this(), delay, send] {
    self->timer = self->pool.After(delay, send);
  });
}

void BackendSession::Silence() {
  this->stream->Post(
      [self = this->shared_from_this()] { self->silent = true; });
}

void BackendSession::OnBytes(std::string_view bytes) {
  if (this->silent) {
    return;
  }
  this->reader.Append(bytes);
  this->TakeNextRequest();
}

void BackendSession::TakeNextRequest() {
  if (this->connect_pending || this->request_in_progress || this->silent) {
    return;
  }
  const auto request = this->reader.Next();
  if (this->reader.is_broken()) {
    this->stream->Reset();
    this->handlers.on_closed();
    return;
  }
  if (request) {
    this->request_in_progress = true;
    this->keep_alive = request->keep_alive;
    this->handlers.on_request(*request);
  }
}

void BackendSession::Send(int status,
                          const std::string& body,
                          ReplyFault fault) {
  this->request_in_progress = false;
  if (this->silent) {
    return;
  }
  this->Write(status, body, fault);
  this->TakeNextRequest();
}

void BackendSession::Write(int status,
                           const std::string& body,
                           ReplyFault fault) {
  std::string text = FormatTextResponse(status, body, this->keep_alive);
  switch (fault) {
    case ReplyFault::kNone:
    case ReplyFault::kLate:
    case ReplyFault::kForeign:
      this->stream->Write(std::move(text));
      break;
    case ReplyFault::kDuplicate:
      this->stream->Write(text + text);
      break;
    case ReplyFault::kTruncated:
      text.resize(text.size() - body.size() / 2 - 1);
      this->stream->Write(std::move(text));
      this->keep_alive = false;
      break;
    case ReplyFault::kMalformed:
      this->stream->Write(
          FormatTextResponse(status, kMalformedBody, this->keep_alive));
      break;
    case ReplyFault::kSilent:
      this->silent = true;
      return;
  }
  if (!this->keep_alive) {
    this->stream->Close();
    this->handlers.on_closed();
  }
}

}  // namespace marigold
