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
  Link& link = this->OpenLink(endpoint);
  const Ticket ticket{link.connection.get(), query.query};
  link.queries.emplace(ticket.query,
                       PendingQuery{std::move(handlers), query.shards.size(),
                                    this->strand->Now()});
  const std::shared_ptr<PeerLink> connection = link.connection;
  connection->Send(EncodeFanOutMessage(std::move(query)));
  return ticket;
}

AggregatorLinks::Link& AggregatorLinks::OpenLink(const Endpoint& endpoint) {
  const auto current = this->current_links.find(endpoint);
  if (current != this->current_links.end()) {
    Link& link = this->links.at(current->second);
    if (!this->IsStalled(link)) {
      return link;
    }
    LogEvent(LogLevel::kInfo, "aggregator_link_replaced",
             {{"peer", ToString(endpoint)}, {"queries", link.queries.size()}});
  }
  auto connection = std::make_shared<PeerLink>(this->strand);
  const PeerLink* raw = connection.get();
  this->current_links[endpoint] = raw;
  Link& link = this->links[raw];
  link.endpoint = endpoint;
  link.connection = connection;
  PeerLinkHandlers link_handlers;
  link_handlers.on_body = [weak = this->weak_from_this(),
                           raw](std::string_view body) {
    if (const auto self = weak.lock()) {
      self->OnBody(raw, body);
    }
  };
  link_handlers.on_closed = [weak = this->weak_from_this(), raw](
                                bool was_open, std::string_view reason) {
    if (const auto self = weak.lock()) {
      self->OnClosed(raw, was_open, reason);
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

bool AggregatorLinks::IsCurrent(const Link& link) const {
  const auto current = this->current_links.find(link.endpoint);
  return current != this->current_links.end() &&
         current->second == link.connection.get();
}

void AggregatorLinks::Cancel(const Ticket& ticket, bool is_answered) {
  const auto found = this->links.find(ticket.link);
  if (found == this->links.end() ||
      !found->second.queries.contains(ticket.query)) {
    return;
  }
  const std::shared_ptr<PeerLink> connection = found->second.connection;
  if (connection->Send(
          EncodeFanOutMessage(GroupQueryCancel{ticket.query, is_answered}))) {
    this->EndQuery(found->second, ticket.query);
  }
}

void AggregatorLinks::EndQuery(Link& link, GroupQueryId query) {
  link.queries.erase(query);
  if (link.queries.empty() && !this->IsCurrent(link)) {
    const std::shared_ptr<PeerLink> connection = link.connection;
    connection->Close("replaced");
  }
}

void AggregatorLinks::OnBody(const PeerLink* connection,
                             std::string_view body) {
  Link& link = this->links.at(connection);
  auto decoded =
      Capture<FanOutMessage>([&] { return DecodeFanOutMessage(body); });
  auto* message = std::get_if<FanOutMessage>(&decoded);
  if (message == nullptr) {
    this->RefuseMessage(link, ToString(std::get<AnyError>(decoded)));
  } else if (auto* received = std::get_if<GroupQueryReport>(message)) {
    this->OnReport(link, std::move(*received));
  } else {
    this->RefuseMessage(link, "not a report");
  }
}

void AggregatorLinks::OnReport(Link& link, GroupQueryReport received) {
  const auto found = link.queries.find(received.query);
  if (found == link.queries.end()) {
    // The query was cancelled while the report was on its way.
    return;
  }
  if (!IsValidReport(received.report, found->second.shard_count)) {
    this->RefuseMessage(link, "a report names a shard that was not queried");
    return;
  }
  const auto on_report = found->second.handlers.on_report;
  if (received.report.is_final) {
    this->EndQuery(link, received.query);
  }
  on_report(std::move(received.report));
}

void AggregatorLinks::RefuseMessage(const Link& link, std::string_view error) {
  LogEvent(LogLevel::kWarning, "fan_out_message_refused",
           {{"peer", ToString(link.endpoint)}, {"error", error}});
  const std::shared_ptr<PeerLink> connection = link.connection;
  connection->Close("bad_message");
}

void AggregatorLinks::OnClosed(const PeerLink* connection,
                               bool was_open,
                               std::string_view reason) {
  const auto found = this->links.find(connection);
  if (found == this->links.end()) {
    return;
  }
  if (this->IsCurrent(found->second)) {
    this->current_links.erase(found->second.endpoint);
  }
  const Link closed = std::move(found->second);
  this->links.erase(found);
  LogEvent(LogLevel::kInfo, "aggregator_link_closed",
           {{"peer", ToString(closed.endpoint)},
            {"reason", reason},
            {"queries", closed.queries.size()}});
  // Posted, because the link may close while a request begins its queries.
  for (const auto& [query, pending] : closed.queries) {
    this->strand->Post([on_lost = pending.handlers.on_lost, was_open] {
      on_lost(was_open ? QueryLoss::kMayHaveRun : QueryLoss::kNotDelivered);
    });
  }
}

}  // namespace marigold
