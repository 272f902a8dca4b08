#include "tools/relay/relay_link.h"

#include <set>
#include <utility>

namespace marigold {

RelayLink::RelayLink(WorkerPool& worker_pool, RelayLinkSettings link_settings)
    : pool(worker_pool), settings(std::move(link_settings)) {}

Result<void> RelayLink::Open() {
  {
    const RankedLock lock(this->mutex);
    if (this->listener != nullptr) {
      return {};
    }
  }
  BOOST_LEAF_AUTO(opened,
                  TcpListener::Listen(this->pool, this->settings.listen,
                                      [weak = this->weak_from_this()](
                                          std::shared_ptr<TcpStream> stream) {
                                        if (const auto self = weak.lock()) {
                                          self->OnAccept(std::move(stream));
                                        }
                                      }));
  const RankedLock lock(this->mutex);
  this->listener = std::move(opened);
  return {};
}

void RelayLink::Cut() {
  std::unique_ptr<TcpListener> closed;
  {
    const RankedLock lock(this->mutex);
    closed.swap(this->listener);
  }
  closed.reset();
  for (const auto& connection : this->Connections()) {
    connection->Cut();
  }
}

void RelayLink::SetModes(const RelayModes& new_modes) {
  {
    const RankedLock lock(this->mutex);
    this->modes = new_modes;
  }
  for (const auto& connection : this->Connections()) {
    connection->SetModes(new_modes);
  }
}

RelayLinkView RelayLink::View() const {
  const RankedLock lock(this->mutex);
  return {this->settings, this->modes, this->listener == nullptr,
          this->connections.size(), this->accepted};
}

void RelayLink::OnAccept(std::shared_ptr<TcpStream> stream) {
  auto connection = std::make_shared<RelayConnection>(
      this->pool, this->settings.target, std::move(stream),
      [weak = this->weak_from_this()](RelayConnection* closed) {
        if (const auto self = weak.lock()) {
          const RankedLock lock(self->mutex);
          self->connections.erase(closed);
        }
      });
  RelayModes modes_now;
  {
    const RankedLock lock(this->mutex);
    ++this->accepted;
    this->connections.emplace(connection.get(), connection);
    modes_now = this->modes;
  }
  connection->Start(modes_now);
}

std::vector<std::shared_ptr<RelayConnection>> RelayLink::Connections() const {
  const RankedLock lock(this->mutex);
  std::vector<std::shared_ptr<RelayConnection>> open;
  open.reserve(this->connections.size());
  for (const auto& [key, connection] : this->connections) {
    open.push_back(connection);
  }
  return open;
}

std::optional<std::vector<RelayLinkSettings>> ParseRelayLinks(
    std::string_view text) {
  std::vector<RelayLinkSettings> links;
  std::set<std::string> names;
  for (const std::string& part : Split(text, ',')) {
    const std::size_t equals = part.find('=');
    const std::size_t arrow = part.find('>');
    if (equals == std::string::npos || equals == 0 ||
        arrow == std::string::npos || arrow < equals) {
      return std::nullopt;
    }
    const std::string name = part.substr(0, equals);
    const auto listen =
        ParseEndpoint(part.substr(equals + 1, arrow - equals - 1));
    const auto target = ParseEndpoint(part.substr(arrow + 1));
    if (!listen || !target || !names.insert(name).second) {
      return std::nullopt;
    }
    links.push_back({name, *listen, *target});
  }
  return links;
}

}  // namespace marigold
