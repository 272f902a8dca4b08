#ifndef SRC_NET_FAN_OUT_AGGREGATOR_LINKS_H_
#define SRC_NET_FAN_OUT_AGGREGATOR_LINKS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <utility>

#include "src/net/fan_out/peer_link.h"
#include "src/policy/fan_out/fan_out_types.h"
#include "src/wire/fan_out_messages.h"

namespace marigold {

// Callbacks of a query in progress. Called on the strand.
struct GroupQueryHandlers {
  std::function<void(GroupReport)> on_report;
  // Called once, if the link closes before the final report.
  std::function<void(QueryLoss)> on_lost;
};

// The connections of one strand to aggregators, and the queries in progress on
// them. Used only on the strand.
class AggregatorLinks : public std::enable_shared_from_this<AggregatorLinks> {
 public:
  // Identifies a query among all that the strand has in progress.
  struct Ticket {
    const PeerLink* link = nullptr;
    GroupQueryId query;
  };

  explicit AggregatorLinks(std::shared_ptr<Strand> owning_strand)
      : strand(std::move(owning_strand)) {}

  AggregatorLinks(const AggregatorLinks&) = delete;
  AggregatorLinks& operator=(const AggregatorLinks&) = delete;

  // Sends a query over the link to the endpoint, which is opened if necessary.
  // Sets `GroupQuery::query`.
  Ticket Begin(const Endpoint& endpoint,
               GroupQuery query,
               GroupQueryHandlers handlers);

  // Ends a query; its handlers are not called any more.
  void Cancel(const Ticket& ticket, bool is_answered);

  std::size_t link_count() const { return this->links.size(); }

 private:
  struct PendingQuery {
    GroupQueryHandlers handlers;
    std::size_t shard_count = 0;
    MonotonicTime sent_at;
  };

  struct Link {
    Endpoint endpoint;
    std::shared_ptr<PeerLink> connection;
    std::map<GroupQueryId, PendingQuery> queries;
  };

  struct EndpointHash {
    std::size_t operator()(const Endpoint& endpoint) const {
      return std::hash<std::string>()(endpoint.address) ^ endpoint.port;
    }
  };

  // Returns the link for new queries to an endpoint. A stalled link is replaced
  // but stays open for its queries, because the aggregator may only be slow.
  Link& OpenLink(const Endpoint& endpoint);
  bool IsStalled(const Link& link) const;
  bool IsCurrent(const Link& link) const;
  void OnBody(const PeerLink* connection, std::string_view body);
  void OnReport(Link& link, GroupQueryReport received);
  void RefuseMessage(const Link& link, std::string_view error);
  // Ends a query, and closes its link if that is replaced and has no other one.
  void EndQuery(Link& link, GroupQueryId query);
  void OnClosed(const PeerLink* connection,
                bool was_open,
                std::string_view reason);

  std::shared_ptr<Strand> strand;
  std::unordered_map<const PeerLink*, Link> links;
  // The link for new queries, by endpoint.
  std::unordered_map<Endpoint, const PeerLink*, EndpointHash> current_links;
  std::uint64_t last_query = 0;
};

}  // namespace marigold

#endif  // SRC_NET_FAN_OUT_AGGREGATOR_LINKS_H_
