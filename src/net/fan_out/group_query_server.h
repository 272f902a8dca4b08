#ifndef SRC_NET_FAN_OUT_GROUP_QUERY_SERVER_H_
#define SRC_NET_FAN_OUT_GROUP_QUERY_SERVER_H_

#include <cstddef>
#include <map>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>

#include "src/core/log.h"
#include "src/net/fan_out/group_call.h"
#include "src/net/fan_out/peer_link.h"

namespace marigold {

// Answers the queries of other entry VMs that arrive on the links of one
// strand. Used only on the strand.
template <ForwardMessageCodec MessageCodec>
class GroupQueryServer
    : public std::enable_shared_from_this<GroupQueryServer<MessageCodec>> {
 public:
  explicit GroupQueryServer(CallContext& call_context)
      : context(call_context) {}

  // Serves an accepted connection until it closes.
  void Serve(boost::asio::ip::tcp::socket socket) {
    if (this->clients.size() >= kMaxLinks) {
      LogEvent(LogLevel::kWarning, "connection_refused",
               {{"connections", this->clients.size()}});
      return;
    }
    const auto link =
        std::make_shared<PeerLink>(this->context.strand, std::move(socket));
    this->clients[link.get()].link = link;
    PeerLinkHandlers handlers;
    handlers.on_body = [weak = this->weak_from_this(),
                        raw = link.get()](std::string_view body) {
      if (const auto self = weak.lock()) {
        self->OnBody(raw, body);
      }
    };
    handlers.on_closed = [weak = this->weak_from_this(), raw = link.get()](
                             bool /*was_open*/, std::string_view /*reason*/) {
      if (const auto self = weak.lock()) {
        self->OnClosed(raw);
      }
    };
    link->Start(std::move(handlers));
  }

  // Refuses all further queries, so that the process can stop.
  void Drain() { this->is_draining = true; }

  std::size_t calls_in_progress() const { return this->call_count; }

 private:
  using CallPtr = std::shared_ptr<GroupCall<MessageCodec>>;

  struct Client {
    std::shared_ptr<PeerLink> link;
    std::map<GroupQueryId, CallPtr> calls;
  };

  static constexpr std::size_t kMaxLinks = 2'000;
  // Further queries are refused, so that the root asks another VM while this
  // one works on what it has.
  static constexpr std::size_t kMaxCalls = 256;
  static constexpr std::size_t kMaxShards = 4'096;

  void OnBody(PeerLink* link, std::string_view body) {
    auto decoded =
        Capture<FanOutMessage>([&] { return DecodeFanOutMessage(body); });
    if (auto* message = std::get_if<FanOutMessage>(&decoded)) {
      std::visit([&](auto& typed) { this->On(link, typed); }, *message);
      return;
    }
    this->RefuseMessage(link, ToString(std::get<AnyError>(decoded)));
  }

  void On(PeerLink* link, GroupQuery& query) {
    if (query.shards.empty() || query.shards.size() > kMaxShards ||
        query.max_attempts == 0 || query.time_left <= Duration::zero()) {
      this->RefuseMessage(link, "a query without shards, attempts or time");
      return;
    }
    const GroupQueryId id = query.query;
    Client& client = this->clients.at(link);
    if (client.calls.contains(id)) {
      this->RefuseMessage(link, "a query with the id of another one");
      return;
    }
    if (this->call_count >= kMaxCalls || this->is_draining ||
        !this->context.links->HasRoomFor(query.shards.size())) {
      LogEvent(LogLevel::kWarning, "group_query_refused",
               {{"request", query.request.value()},
                {"reason", this->is_draining ? "stopping" : "too_many_queries"},
                {"queries", this->call_count}});
      this->context.metrics.OnGroupQuery("refused");
      this->SendReport(link, id, RefusalOf(query));
      return;
    }
    const auto call = std::make_shared<GroupCall<MessageCodec>>(
        this->context, std::move(query),
        [weak = this->weak_from_this(), link, id](GroupReport report) {
          if (const auto self = weak.lock()) {
            self->OnReport(link, id, std::move(report));
          }
        });
    this->context.metrics.OnGroupQuery("served");
    ++this->call_count;
    client.calls.emplace(id, call);
    call->Start();
  }

  void On(PeerLink* link, const GroupQueryCancel& cancel) {
    Client& client = this->clients.at(link);
    const auto found = client.calls.find(cancel.query);
    if (found == client.calls.end()) {
      // The final report crossed the cancellation.
      return;
    }
    const CallPtr call = found->second;
    client.calls.erase(found);
    --this->call_count;
    call->Cancel(cancel.is_answered);
  }

  void On(PeerLink* link, const GroupQueryReport&) {
    this->RefuseMessage(link, "a report without a query");
  }

  // The report for a query of which nothing was sent.
  static GroupReport RefusalOf(const GroupQuery& query) {
    GroupReport report;
    for (std::size_t i = 0; i < query.shards.size(); ++i) {
      report.failed.push_back({static_cast<ShardPosition>(i), 0, false});
    }
    report.is_final = true;
    return report;
  }

  void OnReport(PeerLink* link, GroupQueryId id, GroupReport report) {
    const auto client = this->clients.find(link);
    if (client == this->clients.end()) {
      return;
    }
    if (report.is_final) {
      this->call_count -= client->second.calls.erase(id);
    }
    this->SendReport(link, id, std::move(report));
  }

  void SendReport(PeerLink* link, GroupQueryId id, GroupReport report) {
    report.calls_in_progress = static_cast<std::uint32_t>(this->call_count);
    link->Send(EncodeFanOutMessage(GroupQueryReport{id, std::move(report)}));
  }

  void RefuseMessage(PeerLink* link, std::string_view error) {
    LogEvent(LogLevel::kWarning, "fan_out_message_refused",
             {{"peer", link->remote_address()}, {"error", error}});
    link->Close("bad_message");
  }

  // The root is gone or can't be reached. Its queries end at once.
  void OnClosed(PeerLink* link) {
    const auto found = this->clients.find(link);
    if (found == this->clients.end()) {
      return;
    }
    const Client client = std::move(found->second);
    this->clients.erase(found);
    this->call_count -= client.calls.size();
    for (const auto& [id, call] : client.calls) {
      call->Cancel(false);
    }
  }

  CallContext& context;
  std::unordered_map<PeerLink*, Client> clients;
  std::size_t call_count = 0;
  bool is_draining = false;
};

}  // namespace marigold

#endif  // SRC_NET_FAN_OUT_GROUP_QUERY_SERVER_H_
