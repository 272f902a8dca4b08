#include "src/net/fan_out/aggregator_links.h"

#include <utility>
#include <variant>

#include "src/core/log.h"

namespace marigold {

namespace {

// A link on which nothing has arrived for this long, although a query waits for
// a report, is replaced. A connection that has gone silent shows no error.
constexpr Duration kStallTime = std::chrono::milliseconds(600);

}  // namespace

AggregatorLinks::Ticket AggregatorLinks::Begin(const Endpoint& endpoint,
                                               GroupQuery query,
                                               GroupQueryHandlers handlers) {
  query.query = GroupQueryId(++this->last_query);
  const Ticket ticket{endpoint, query.query};
  const std::size_t shard_count = query.shards.size();
  const std::string body = EncodeFanOutMessage(std::move(query));
  Link& link = this->OpenLink(endpoint);
  link.queries.emplace(
      ticket.query,
      PendingQuery{std::move(handlers), shard_count, this->strand->Now()});
  const std::shared_ptr<PeerLink> connection = link.connection;
  connection->Send(body);
  return ticket;
}

AggregatorLinks::Link& AggregatorLinks::OpenLink(const Endpoint& endpoint) {
  const auto found = this->links.find(endpoint);
  if (found != this->links.end()) {
    if (!this->IsStalled(found->second)) {
      return found->second;
    }
    const std::shared_ptr<PeerLink> stalled = found->second.connection;
    stalled->Close("stalled");
  }
  auto connection = std::make_shared<PeerLink>(this->strand);
  Link& link = this->links[endpoint];
  link.connection = connection;
  PeerLinkHandlers link_handlers;
  link_handlers.on_body = [weak = this->weak_from_this(),
                           endpoint](std::string_view body) {
    if (const auto self = weak.lock()) {
      self->OnBody(endpoint, body);
    }
  };
  link_handlers.on_closed = [weak = this->weak_from_this(), endpoint,
                             raw = connection.get()](bool was_open,
                                                     std::string_view reason) {
    if (const auto self = weak.lock()) {
      self->OnClosed(endpoint, raw, was_open, reason);
    }
  };
  connection->Connect(endpoint, std::move(link_handlers));
  return link;
}

bool AggregatorLinks::IsStalled(const Link& link) const {
  const MonotonicTime now = this->strand->Now();
  return !link.queries.empty() &&
         now - link.queries.begin()->second.sent_at > kStallTime &&
         now - link.connection->last_received_at() > kStallTime;
}

void AggregatorLinks::Cancel(const Ticket& ticket, bool is_answered) {
  const auto found = this->links.find(ticket.endpoint);
  if (found == this->links.end() ||
      found->second.queries.erase(ticket.query) == 0) {
    return;
  }
  const std::shared_ptr<PeerLink> connection = found->second.connection;
  connection->Send(
      EncodeFanOutMessage(GroupQueryCancel{ticket.query, is_answered}));
}

void AggregatorLinks::OnBody(const Endpoint& endpoint, std::string_view body) {
  auto decoded =
      Capture<FanOutMessage>([&] { return DecodeFanOutMessage(body); });
  auto* message = std::get_if<FanOutMessage>(&decoded);
  auto* received =
      message == nullptr ? nullptr : std::get_if<GroupQueryReport>(message);
  if (received != nullptr) {
    this->OnReport(endpoint, std::move(*received));
    return;
  }
  LogEvent(LogLevel::kWarning, "fan_out_message_refused",
           {{"peer", ToString(endpoint)},
            {"error", message == nullptr ? ToString(std::get<AnyError>(decoded))
                                         : "not a report"}});
  const std::shared_ptr<PeerLink> connection =
      this->links.at(endpoint).connection;
  connection->Close("bad_message");
}

void AggregatorLinks::OnReport(const Endpoint& endpoint,
                               GroupQueryReport received) {
  Link& link = this->links.at(endpoint);
  const auto found = link.queries.find(received.query);
  if (found == link.queries.end()) {
    // The query was cancelled while the report was on its way.
    return;
  }
  if (!IsValidReport(received.report, found->second.shard_count)) {
    LogEvent(LogLevel::kWarning, "fan_out_message_refused",
             {{"peer", ToString(endpoint)},
              {"error", "a report names a shard that was not queried"}});
    const std::shared_ptr<PeerLink> connection = link.connection;
    connection->Close("bad_message");
    return;
  }
  const auto on_report = found->second.handlers.on_report;
  if (received.report.is_final) {
    link.queries.erase(found);
  }
  on_report(std::move(received.report));
}

void AggregatorLinks::OnClosed(const Endpoint& endpoint,
                               const PeerLink* connection,
                               bool was_open,
                               std::string_view reason) {
  const auto found = this->links.find(endpoint);
  if (found == this->links.end() ||
      found->second.connection.get() != connection) {
    return;
  }
  auto queries = std::move(found->second.queries);
  this->links.erase(found);
  LogEvent(LogLevel::kInfo, "aggregator_link_closed",
           {{"peer", ToString(endpoint)},
            {"reason", reason},
            {"queries", queries.size()}});
  // Posted, because the link may close while a request begins its queries.
  for (auto& [query, pending] : queries) {
    this->strand->Post(
        [on_lost = std::move(pending.handlers.on_lost), was_open] {
          on_lost(was_open ? QueryLoss::kMayHaveRun : QueryLoss::kNotDelivered);
        });
  }
}

}  // namespace marigold
