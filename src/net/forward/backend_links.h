#ifndef SRC_NET_FORWARD_BACKEND_LINKS_H_
#define SRC_NET_FORWARD_BACKEND_LINKS_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "src/net/forward/backend_link.h"
#include "src/policy/search_types.h"

namespace marigold {

// The connections of one strand to all backend servers. A link carries one
// exchange at a time. The link that became free last is used first. Used only
// on the strand.
class BackendLinks : public std::enable_shared_from_this<BackendLinks> {
 public:
  static constexpr std::size_t kDefaultMaxLinks = 2'000;

  // `max_links` is the number of links that may be open at the same time.
  BackendLinks(std::shared_ptr<Strand> owning_strand,
               const ReplyLimits& limits,
               std::size_t max_links = kDefaultMaxLinks)
      : strand(std::move(owning_strand)),
        link_limit(max_links),
        max_body_bytes(limits.max_reply_bytes),
        reply_memory(std::make_shared<ReplyMemory>(limits.max_total_bytes)) {}

  BackendLinks(const BackendLinks&) = delete;
  BackendLinks& operator=(const BackendLinks&) = delete;

  // Begins an exchange on a link that has been free for less than `max_idle`
  // and has not carried the request before, or on a new link. Returns the link
  // that carries the exchange.
  std::shared_ptr<BackendLink> Begin(ServerIndex server,
                                     const Endpoint& endpoint,
                                     Duration max_idle,
                                     LinkExchange exchange);

  // Opens a link for later use and reports whether it was opened.
  void Open(ServerIndex server,
            const Endpoint& endpoint,
            std::function<void(bool opened)> on_end);

  // Closes the free links to a server that gets no new requests.
  void Retire(ServerIndex server);

  // True if a request with this number of sends may begin. Half of the links
  // are left for the second sends of requests in progress. A request that is
  // alone may always begin.
  bool HasRoomFor(std::size_t sends) const {
    const std::size_t busy_count = this->open_count - this->free_count;
    return busy_count == 0 || busy_count + sends <= this->link_limit / 2;
  }
  // Number of links that are open or being opened.
  std::size_t open_link_count() const { return this->open_count; }
  // The memory that incomplete replies take, in bytes.
  std::size_t reply_bytes() const { return this->reply_memory->used_bytes(); }
  // Number of links that have been opened since the start.
  std::size_t opened_link_count() const { return this->opened_count; }

 private:
  using LinkPtr = std::shared_ptr<BackendLink>;

  LinkPtr CreateLink(ServerIndex server);
  // Closes a free link if there are as many links as there may be.
  void MakeRoom();
  // Closes the link that has been free for the longest time if there are too
  // many.
  void AddFreeLink(ServerIndex server, const LinkPtr& link);
  // Returns a free link that may carry the request, or null. Closes the links
  // that it finds to be idle for too long.
  LinkPtr TakeFreeLink(ServerIndex server,
                       Duration max_idle,
                       const RequestId& request);

  std::shared_ptr<Strand> strand;
  std::size_t link_limit;
  std::size_t max_body_bytes;
  std::shared_ptr<ReplyMemory> reply_memory;
  std::unordered_map<ServerIndex, std::vector<LinkPtr>> free_links;
  std::size_t open_count = 0;
  // The number of links in `free_links`.
  std::size_t free_count = 0;
  std::size_t opened_count = 0;
};

}  // namespace marigold

#endif  // SRC_NET_FORWARD_BACKEND_LINKS_H_
