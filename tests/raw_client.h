#ifndef TESTS_RAW_CLIENT_H_
#define TESTS_RAW_CLIENT_H_

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>

#include "src/core/settings_values.h"

namespace marigold {

// A blocking client socket. A call to `Receive` waits at most 10 s for each
// read.
class RawClient {
 public:
  explicit RawClient(const Endpoint& server)
      : handle(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(server.port);
    inet_pton(AF_INET, server.address.c_str(), &name.sin_addr);
    const timeval limit{10, 0};
    setsockopt(this->handle, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    this->is_connected =
        connect(this->handle, reinterpret_cast<sockaddr*>(&name),
                sizeof(name)) == 0;
  }

  ~RawClient() { close(this->handle); }

  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  void Send(const std::string& text) const {
    send(this->handle, text.data(), text.size(), MSG_NOSIGNAL);
  }

  void EndSending() const { shutdown(this->handle, SHUT_WR); }

  // Returns the bytes that arrive until the server closes the connection or the
  // text `last` has arrived.
  std::string Receive(const std::string& last = "") const {
    std::string text;
    char buffer[4096];
    while (last.empty() || text.find(last) == std::string::npos) {
      const ssize_t size = recv(this->handle, buffer, sizeof(buffer), 0);
      if (size <= 0) {
        break;
      }
      text.append(buffer, static_cast<std::size_t>(size));
    }
    return text;
  }

  bool is_connected = false;

 private:
  int handle;
};

}  // namespace marigold

#endif  // TESTS_RAW_CLIENT_H_
