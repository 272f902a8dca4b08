#ifndef TOOLS_RELAY_RELAY_LINK_H_
#define TOOLS_RELAY_RELAY_LINK_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/core/ranked_mutex.h"
#include "src/core/result.h"
#include "src/net/worker_pool.h"
#include "tools/relay/relay_connection.h"
#include "tools/tcp/tcp_listener.h"

namespace marigold {

// A listening address and the target to which its connections are relayed.
struct RelayLinkSettings {
  std::string name;
  Endpoint listen;
  Endpoint target;
};

// A copy of the state of a link. `accepted` counts connections since the start.
struct RelayLinkView {
  RelayLinkSettings settings;
  RelayModes modes;
  bool is_cut = false;
  std::uint64_t open_connections = 0;
  std::uint64_t accepted = 0;
};

// Relays the connections of one listening address. Safe to use from several
// threads.
class RelayLink : public std::enable_shared_from_this<RelayLink> {
 public:
  RelayLink(WorkerPool& worker_pool, RelayLinkSettings link_settings);

  // Commands.

  // Listens, unless the link is already open. Fails with `IoError` if the
  // address can't be opened.
  Result<void> Open();

  // Resets all connections and refuses new ones until `Open`.
  void Cut();

  // Applies to open connections and to later ones.
  void SetModes(const RelayModes& new_modes);

  // Queries.

  RelayLinkView View() const;

 private:
  void OnAccept(std::shared_ptr<TcpStream> stream);
  std::vector<std::shared_ptr<RelayConnection>> Connections() const;

  WorkerPool& pool;
  const RelayLinkSettings settings;
  mutable RankedMutex<LockRank::kRelay> mutex;
  std::unique_ptr<TcpListener> listener;
  std::map<RelayConnection*, std::shared_ptr<RelayConnection>> connections;
  RelayModes modes;
  std::uint64_t accepted = 0;
};

// Parses NAME=IP:PORT>IP:PORT[,NAME=IP:PORT>IP:PORT...], where the first
// address is that of the relay and the second one is the target. Returns
// nothing if `text` has another form or a name occurs twice.
std::optional<std::vector<RelayLinkSettings>> ParseRelayLinks(
    std::string_view text);

}  // namespace marigold

#endif  // TOOLS_RELAY_RELAY_LINK_H_
