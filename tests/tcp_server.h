#ifndef TESTS_TCP_SERVER_H_
#define TESTS_TCP_SERVER_H_

#include <functional>
#include <memory>
#include <mutex>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "src/core/result.h"
#include "tools/tcp/tcp_listener.h"

namespace marigold {

// A TCP server that calls a function with the bytes that arrive on any of its
// connections. It keeps the connections until it is destroyed.
class TcpServer {
 public:
  using OnBytes = std::function<void(TcpStream&, std::string_view)>;

  TcpServer(WorkerPool& pool, const Endpoint& endpoint, OnBytes bytes_handler)
      : on_bytes(std::move(bytes_handler)) {
    auto listening = Capture<std::unique_ptr<TcpListener>>([&] {
      return TcpListener::Listen(
          pool, endpoint, [this](const std::shared_ptr<TcpStream>& stream) {
            this->Serve(stream);
          });
    });
    this->listener =
        std::move(std::get<std::unique_ptr<TcpListener>>(listening));
  }

 private:
  void Serve(const std::shared_ptr<TcpStream>& stream) {
    TcpStream::Handlers handlers;
    handlers.on_bytes = [this, raw = stream.get()](std::string_view bytes) {
      this->on_bytes(*raw, bytes);
    };
    handlers.on_closed = [] {};
    const std::lock_guard lock(this->mutex);
    this->streams.push_back(stream);
    stream->Start(std::move(handlers));
  }

  OnBytes on_bytes;
  std::mutex mutex;
  std::vector<std::shared_ptr<TcpStream>> streams;
  std::unique_ptr<TcpListener> listener;
};

}  // namespace marigold

#endif  // TESTS_TCP_SERVER_H_
