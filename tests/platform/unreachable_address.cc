// Makes an address answer no connects, like that of a VM without power: it
// listens there with a queue of one connection, which it fills itself. The
// kernel drops what it can't queue, so further connects hang. Arguments are
// addresses with a port; it runs until a signal ends it.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>

#include "src/core/settings_values.h"

namespace marigold {

namespace {

// The kernel queues one connection more than this.
constexpr int kQueuedConnections = 0;
constexpr int kFillingConnections = 4;

sockaddr_in ToSocketAddress(const Endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.port);
  inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
  return address;
}

bool MakeUnreachable(const Endpoint& endpoint) {
  const sockaddr_in address = ToSocketAddress(endpoint);
  const auto* generic = reinterpret_cast<const sockaddr*>(&address);
  const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
  const int reuse = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
  if (::bind(listener, generic, sizeof address) != 0 ||
      ::listen(listener, kQueuedConnections) != 0) {
    std::perror(endpoint.address.c_str());
    return false;
  }
  for (int i = 0; i < kFillingConnections; ++i) {
    const int client = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    ::connect(client, generic, sizeof address);
  }
  return true;
}

}  // namespace

}  // namespace marigold

int main(int argc, char** argv) {
  for (int i = 1; i < argc; ++i) {
    const auto endpoint = marigold::ParseEndpoint(argv[i]);
    if (!endpoint || !marigold::MakeUnreachable(*endpoint)) {
      std::fprintf(stderr, "expected an address with a port, actual %s\n",
                   argv[i]);
      return 1;
    }
  }
  ::pause();
  return 0;
}
