#ifndef SRC_NET_CONTROL_PEER_LINKS_H_
#define SRC_NET_CONTROL_PEER_LINKS_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "src/core/settings_values.h"
#include "src/core/units.h"
#include "src/net/worker_pool.h"

namespace marigold {

// Outgoing connections to other control VMs, opened when something is sent. A
// peer answers on the connection that it is sent to; one that does not is
// replaced, since open connections can go silent while new ones work.
class PeerLinks {
 public:
  // Takes a body that a peer answered with; called on any worker.
  using OnBody = std::function<void(const Endpoint& peer, std::string body)>;

  // A connection without an answer for `silence_timeout` is replaced.
  PeerLinks(WorkerPool& pool, Duration silence_timeout, OnBody on_body);

  // Closes all connections.
  ~PeerLinks();

  PeerLinks(const PeerLinks&) = delete;
  PeerLinks& operator=(const PeerLinks&) = delete;

  // Sends a body or drops it, if the peer was unreachable just before or its
  // queue is full.
  void Send(const Endpoint& peer, std::string_view body);

  // The peer has just sent a message on a connection of its own. A connect that
  // began while it was down is given up, and the next send does not wait for
  // the time of the next try.
  void OnPeerReachable(const Endpoint& peer);

  struct Impl;

 private:
  std::shared_ptr<Impl> impl;
};

}  // namespace marigold

#endif  // SRC_NET_CONTROL_PEER_LINKS_H_
