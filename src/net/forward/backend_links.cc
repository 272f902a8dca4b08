#include "src/net/forward/backend_links.h"

#include <algorithm>
#include <utility>

namespace marigold {

namespace {

// A free link carries no request that it has carried before, so that callers
// who repeat an id, or send none, need a new link for each request. More free
// links than this are of no use to one entry VM.
constexpr std::size_t kMaxFreeLinks = 32;

}  // namespace

std::shared_ptr<BackendLink> BackendLinks::Begin(ServerIndex server,
                                                 const Endpoint& endpoint,
                                                 Duration max_idle,
                                                 LinkExchange exchange) {
  LinkPtr link = this->TakeFreeLink(server, max_idle, exchange.request);
  if (link) {
    link->Begin(std::move(exchange));
    return link;
  }
  link = this->CreateLink(server);
  link->Open(endpoint, std::move(exchange));
  return link;
}

BackendLinks::LinkPtr BackendLinks::TakeFreeLink(ServerIndex server,
                                                 Duration max_idle,
                                                 const RequestId& request) {
  std::vector<LinkPtr>& candidates = this->free_links[server];
  const MonotonicTime now = this->strand->Now();
  for (std::size_t i = candidates.size(); i-- > 0;) {
    if (candidates[i]->HasCarried(request)) {
      continue;
    }
    LinkPtr link = std::move(candidates[i]);
    candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(i));
    --this->free_count;
    if (link->IsUsable(now, max_idle)) {
      return link;
    }
    link->Close();
  }
  return nullptr;
}

void BackendLinks::Open(ServerIndex server,
                        const Endpoint& endpoint,
                        std::function<void(bool)> on_end) {
  const LinkPtr link = this->CreateLink(server);
  link->Open(endpoint, {});
  link->Abandon(std::move(on_end));
}

void BackendLinks::AddFreeLink(ServerIndex server, const LinkPtr& link) {
  std::vector<LinkPtr>& links = this->free_links[server];
  links.push_back(link);
  ++this->free_count;
  if (links.size() > kMaxFreeLinks) {
    const LinkPtr oldest = links.front();
    oldest->Close();
  }
}

void BackendLinks::MakeRoom() {
  if (this->open_count < this->link_limit || this->free_count == 0) {
    return;
  }
  const auto found =
      std::find_if(this->free_links.begin(), this->free_links.end(),
                   [](const auto& entry) { return !entry.second.empty(); });
  const LinkPtr oldest = found->second.front();
  oldest->Close();
}

BackendLinks::LinkPtr BackendLinks::CreateLink(ServerIndex server) {
  BackendLink::Events events;
  events.on_free = [weak = this->weak_from_this(),
                    server](const LinkPtr& link) {
    if (const auto self = weak.lock()) {
      self->AddFreeLink(server, link);
    }
  };
  events.on_closed = [weak = this->weak_from_this(),
                      server](const LinkPtr& link) {
    if (const auto self = weak.lock()) {
      --self->open_count;
      self->free_count -= std::erase(self->free_links[server], link);
    }
  };
  this->MakeRoom();
  auto link =
      std::make_shared<BackendLink>(this->strand, this->reply_memory,
                                    this->max_body_bytes, std::move(events));
  ++this->open_count;
  ++this->opened_count;
  return link;
}

void BackendLinks::Retire(ServerIndex server) {
  const auto found = this->free_links.find(server);
  if (found == this->free_links.end()) {
    return;
  }
  const std::vector<LinkPtr> retired = std::exchange(found->second, {});
  this->free_count -= retired.size();
  for (const LinkPtr& link : retired) {
    link->Close();
  }
  this->free_links.erase(server);
}

}  // namespace marigold
