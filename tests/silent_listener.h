#ifndef TESTS_SILENT_LISTENER_H_
#define TESTS_SILENT_LISTENER_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <vector>

#include "src/core/settings_values.h"

namespace marigold {

inline sockaddr_in SocketAddressOf(const Endpoint& endpoint) {
  sockaddr_in socket_address{};
  socket_address.sin_family = AF_INET;
  socket_address.sin_port = htons(endpoint.port);
  inet_pton(AF_INET, endpoint.address.c_str(), &socket_address.sin_addr);
  return socket_address;
}

// A listener whose accept queue is full, so that connects get no answer, as
// from a VM without power.
class SilentListener {
 public:
  explicit SilentListener(const Endpoint& endpoint) {
    const sockaddr_in socket_address = SocketAddressOf(endpoint);
    const auto* address = reinterpret_cast<const sockaddr*>(&socket_address);
    this->listener = socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    this->is_bound = bind(this->listener, address, sizeof(socket_address)) == 0;
    listen(this->listener, 0);
    for (int i = 0; i < kBacklogFillers; ++i) {
      this->backlog_fillers.push_back(
          socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
      (void)connect(this->backlog_fillers.back(), address,
                    sizeof(socket_address));
    }
  }
  ~SilentListener() {
    for (const int filler : this->backlog_fillers) {
      close(filler);
    }
    close(this->listener);
  }

  SilentListener(const SilentListener&) = delete;
  SilentListener& operator=(const SilentListener&) = delete;

  // False if the address is in use.
  bool is_bound = false;

 private:
  static constexpr int kBacklogFillers = 4;

  int listener;
  std::vector<int> backlog_fillers;
};

}  // namespace marigold

#endif  // TESTS_SILENT_LISTENER_H_
