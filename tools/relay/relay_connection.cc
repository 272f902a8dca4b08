#include "tools/relay/relay_connection.h"

#include <algorithm>
#include <string>
#include <utility>

namespace marigold {

namespace {

constexpr Duration kConnectTimeout = std::chrono::seconds(5);

}  // namespace

RelayConnection::RelayConnection(
    WorkerPool& worker_pool,
    const Endpoint& target_endpoint,
    std::shared_ptr<TcpStream> accepted,
    std::function<void(RelayConnection*)> on_closed)
    : pool(worker_pool),
      target(target_endpoint),
      closed_handler(std::move(on_closed)) {
  this->forward.source = accepted;
  this->back.sink = std::move(accepted);
}

void RelayConnection::Start(const RelayModes& modes) {
  this->SetModes(modes);
}

void RelayConnection::SetModes(const RelayModes& modes) {
  this->SetMode(this->forward, modes.forward);
  this->SetMode(this->back, modes.back);
  if (!modes.forward.silent) {
    this->Connect();
  }
}

void RelayConnection::Cut() {
  std::shared_ptr<TcpStream> accepted;
  std::shared_ptr<TcpStream> connected;
  {
    const RankedLock lock(this->mutex);
    this->is_closed = true;
    accepted = this->forward.source;
    connected = this->back.source;
  }
  accepted->Reset();
  if (connected) {
    connected->Reset();
  }
  this->closed_handler(this);
}

void RelayConnection::Connect() {
  {
    const RankedLock lock(this->mutex);
    if (std::exchange(this->connect_started, true)) {
      return;
    }
  }
  TcpStream::Connect(this->pool, this->target, kConnectTimeout,
                     [self = this->shared_from_this()](
                         const std::shared_ptr<TcpStream>& connected) {
                       self->OnConnected(connected);
                     });
}

void RelayConnection::OnConnected(const std::shared_ptr<TcpStream>& connected) {
  if (connected == nullptr) {
    this->Cut();
    return;
  }
  {
    const RankedLock lock(this->mutex);
    if (this->is_closed) {
      connected->Reset();
      return;
    }
    this->forward.sink = connected;
    this->back.source = connected;
  }
  this->Read(this->forward);
  this->Read(this->back);
}

void RelayConnection::Read(Direction& direction) {
  direction.source->SetReading(!direction.buffer.is_silent());
  direction.source->Start(
      {[self = this->shared_from_this(), &direction](std::string_view bytes) {
         self->OnBytes(direction, bytes);
       },
       [self = this->shared_from_this(), &direction] {
         self->OnEnd(direction);
       }});
}

void RelayConnection::OnBytes(Direction& direction, std::string_view bytes) {
  {
    const RankedLock lock(this->mutex);
    direction.buffer.Push(this->clock.Now(), std::string(bytes));
  }
  this->ForwardDueBytes(direction);
}

void RelayConnection::OnEnd(Direction& direction) {
  {
    const RankedLock lock(this->mutex);
    direction.buffer.PushEnd(this->clock.Now());
  }
  this->ForwardDueBytes(direction);
}

// Forwards the bytes that are due and sets a timer for the next ones. Writes
// are queued under the lock, so that concurrent calls keep the order of the
// bytes.
void RelayConnection::ForwardDueBytes(Direction& direction) {
  bool ended = false;
  {
    const RankedLock lock(this->mutex);
    if (this->is_closed || direction.sink == nullptr) {
      return;
    }
    const MonotonicTime now = this->clock.Now();
    RelayBuffer::Output output = direction.buffer.TakeDue(now);
    for (std::string& chunk : output.chunks) {
      direction.sink->Write(std::move(chunk));
    }
    ended = output.ended;
    const auto due = direction.buffer.NextDueTime();
    if (due && !std::exchange(direction.timer_set, true)) {
      this->pool.PostAfter(std::max(*due - now, Duration::zero()),
                           [self = this->shared_from_this(), &direction] {
                             {
                               const RankedLock timer_lock(self->mutex);
                               direction.timer_set = false;
                             }
                             self->ForwardDueBytes(direction);
                           });
    }
  }
  if (ended) {
    this->CloseBothSides();
  }
}

void RelayConnection::SetMode(Direction& direction, const RelayMode& mode) {
  std::shared_ptr<TcpStream> source;
  {
    const RankedLock lock(this->mutex);
    direction.buffer.SetMode(mode);
    source = direction.source;
  }
  if (source) {
    source->SetReading(!mode.silent);
  }
  this->ForwardDueBytes(direction);
}

// Runs when one side has closed. Both sides are closed after the bytes written
// so far are sent.
void RelayConnection::CloseBothSides() {
  std::shared_ptr<TcpStream> accepted;
  std::shared_ptr<TcpStream> connected;
  {
    const RankedLock lock(this->mutex);
    if (std::exchange(this->is_closed, true)) {
      return;
    }
    accepted = this->forward.source;
    connected = this->back.source;
  }
  accepted->Close();
  connected->Close();
  this->closed_handler(this);
}

}  // namespace marigold
