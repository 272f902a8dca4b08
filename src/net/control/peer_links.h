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

// Outgoing connections to other control VMs. A connection is opened when a
// message is sent to the peer. Peers reply on the same connection. If no reply
// arrives in time, the connection is replaced, because an open connection can
// go silent while new ones still work.
class PeerLinks {
 public:
  // Receives the body of a peer's reply. Called on any worker.
  using OnBody = std::function<void(const Endpoint& peer, std::string body)>;

  // A connection on which nothing arrives for `silence_timeout` is replaced. A
  // connect may take half that time.
  PeerLinks(WorkerPool& pool, Duration silence_timeout, OnBody on_body);

  // Closes all connections.
  ~PeerLinks();

  PeerLinks(const PeerLinks&) = delete;
  PeerLinks& operator=(const PeerLinks&) = delete;

  // Sends a body. It is dropped if the backoff after a failed connection has
  // not ended or if the connection's queue is full.
  void Send(const Endpoint& peer, std::string_view body);

  // Reports that the peer has sent a message on a connection that it opened,
  // and so is reachable. A pending connect that began while the peer was down
  // is abandoned, and the next `Send` connects without waiting for the backoff.
  void OnPeerReachable(const Endpoint& peer);

  struct Impl;

 private:
  std::shared_ptr<Impl> impl;
};

}  // namespace marigold

#endif  // SRC_NET_CONTROL_PEER_LINKS_H_
