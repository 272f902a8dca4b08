#include "src/net/control/control_server.h"

#include <string>
#include <utility>
#include <variant>

#include "src/core/clock.h"
#include "src/core/log.h"
#include "src/wire/control_messages.h"

namespace marigold {

namespace {

constexpr std::size_t kMaxConnections = 4'096;
constexpr Duration kSilenceTimeout = std::chrono::seconds(10);

// Minimum interval between heartbeats sent in reply to a peer's messages. The
// peer needs them to notice a connection that has gone silent.
constexpr Duration kReplyInterval = std::chrono::milliseconds(50);

constexpr std::uint64_t kMaxHistoryChanges = 1'000;

void SendTo(const std::weak_ptr<FramedConnection>& weak,
            const ControlMessage& message) {
  if (const auto connection = weak.lock()) {
    connection->Send(EncodeControlMessage(message));
  }
}

// Handles the messages of one accepted connection. The connection runs its
// handlers one at a time.
class ControlSession : public std::enable_shared_from_this<ControlSession> {
 public:
  ControlSession(const std::shared_ptr<FramedConnection>& framed_connection,
                 std::shared_ptr<ControlDriver> control_driver,
                 std::shared_ptr<SubscriberHub> subscriber_hub,
                 const ControlTable& control_table,
                 ListingTable& listing_table,
                 std::shared_ptr<HintRelay> hint_relay,
                 std::shared_ptr<AggregatorSharing> aggregator_sharing,
                 std::shared_ptr<QuotaRelay> quota_relay)
      : connection(framed_connection),
        driver(std::move(control_driver)),
        hub(std::move(subscriber_hub)),
        table(control_table),
        listing(listing_table),
        relay(std::move(hint_relay)),
        sharing(std::move(aggregator_sharing)),
        quotas(std::move(quota_relay)) {}

  void Start(const std::shared_ptr<FramedConnection>& framed_connection) {
    FramedHandlers handlers;
    handlers.on_body = [self = this->shared_from_this()](
                           const std::string& body) { self->OnBody(body); };
    handlers.on_closed = [self = this->shared_from_this(),
                          raw_connection =
                              framed_connection.get()](CloseReason reason) {
      LogEvent(LogLevel::kDebug, "connection_closed",
               {{"reason", ToString(reason)}});
      self->hub->OnClosed(*raw_connection);
      self->sharing->OnClosed(*raw_connection);
    };
    framed_connection->Start(std::move(handlers));
  }

 private:
  void OnBody(const std::string& body) {
    auto decoded =
        Capture<ControlMessage>([&] { return DecodeControlMessage(body); });
    if (auto* message = std::get_if<ControlMessage>(&decoded)) {
      std::visit([this](auto& typed) { this->On(typed); }, *message);
      return;
    }
    const auto& error = std::get<ParseError>(std::get<AnyError>(decoded));
    LogEvent(LogLevel::kWarning, "message_refused",
             {{"error", ToString(error)}});
    this->Close();
  }

  void On(PeerMessage& message) {
    this->driver->OnPeerMessage(std::move(message));
    const MonotonicTime now = this->clock.Now();
    if (now - this->last_reply_at >= kReplyInterval) {
      this->last_reply_at = now;
      SendTo(this->connection, StreamHeartbeat{});
    }
  }

  void On(Hello& hello) {
    this->driver->OnHello(std::move(hello),
                          [weak = this->connection](HelloReply reply) {
                            SendTo(weak, std::move(reply));
                          });
  }

  void On(Subscribe& request) {
    if (const auto framed_connection = this->connection.lock()) {
      this->hub->Subscribe(framed_connection, request);
      if (auto state = this->quotas->NewestState()) {
        SendTo(this->connection, std::move(*state));
      }
    }
  }

  void On(StreamHeartbeat& heartbeat) {
    if (const auto framed_connection = this->connection.lock()) {
      this->hub->OnHeartbeat(*framed_connection, heartbeat);
    }
  }

  void On(Submit& request) {
    this->driver->Submit(
        request.command,
        [weak = this->connection, call = request.call](SubmitAnswer answer) {
          SendTo(weak, SubmitReply{call, std::move(answer.outcome),
                                   std::move(answer.leader)});
        });
  }

  void On(ReadLists& request) {
    this->driver->ConfirmRead([weak = this->connection, request,
                               &table = this->table](ConfirmReadAnswer answer) {
      const ControlStatus status = table.Status();
      ListsReply reply;
      reply.call = request.call;
      reply.is_confirmed = answer.is_confirmed;
      reply.has_quorum = status.has_quorum;
      reply.leader = std::move(answer.leader);
      reply.index = status.lists_index;
      reply.controls = LocationsOf(status.membership);
      if (request.known_index < status.lists_index ||
          request.known_index == LogIndex()) {
        ListUpdate update = table.FullUpdate();
        reply.index = update.to;
        reply.full_lists = std::move(update.full_lists);
        reply.routes = std::move(update.routes);
        reply.evacuated = std::move(update.evacuated);
      }
      SendTo(weak, std::move(reply));
    });
  }

  void On(ReadStatus& request) {
    StatusReply reply{request.call, this->table.Status()};
    reply.status.subscribers = this->hub->Subscribers();
    SendTo(this->connection, std::move(reply));
  }

  void On(ReadHistory& request) {
    HistoryReply reply{request.call, {}};
    reply.changes =
        this->table.History(std::min(request.limit, kMaxHistoryChanges));
    SendTo(this->connection, std::move(reply));
  }

  void On(ChangeMembers& request) {
    this->driver->ChangeMembers(
        std::move(request.change),
        [weak = this->connection,
         call = request.call](ChangeMembersAnswer answer) {
          SendTo(weak, ChangeMembersReply{call, std::move(answer.refusal),
                                          std::move(answer.leader)});
        });
  }

  void On(ListingUpdate& update) {
    this->listing.Store(std::move(update.servers),
                        this->clock.Now() - update.age);
  }

  void On(ListingConfirmed& confirmed) {
    this->listing.Confirm(confirmed.listing_hash,
                          this->clock.Now() - confirmed.age);
  }

  void On(ServerHints& received) { this->relay->Add(received); }

  void On(AnnounceAggregator& announced) {
    if (const auto framed_connection = this->connection.lock()) {
      this->sharing->Announce(framed_connection, announced);
    }
  }

  void On(AggregatorSet& received) { this->sharing->OnPeerSet(received); }

  void On(QuotaUsageReport& report) {
    this->quotas->OnReport(std::move(report));
  }

  void On(QuotaUsageReports& reports) { this->quotas->OnReports(reports); }

  void On(QuotaState& state) { this->quotas->OnState(state); }

  // Refuses messages that are never sent to a control VM, such as replies.
  template <class Message>
  void On(Message&) {
    LogEvent(LogLevel::kWarning, "message_refused",
             {{"error",
               "received a message type that is never sent to a control VM"}});
    this->Close();
  }

  void Close() {
    if (const auto framed_connection = this->connection.lock()) {
      framed_connection->Close();
    }
  }

  const std::weak_ptr<FramedConnection> connection;
  const std::shared_ptr<ControlDriver> driver;
  const std::shared_ptr<SubscriberHub> hub;
  const ControlTable& table;
  ListingTable& listing;
  const std::shared_ptr<HintRelay> relay;
  const std::shared_ptr<AggregatorSharing> sharing;
  const std::shared_ptr<QuotaRelay> quotas;
  SystemClock clock;
  MonotonicTime last_reply_at;
};

}  // namespace

struct ControlServer::Impl {
  std::unique_ptr<FramedServer> server;
};

Result<std::unique_ptr<ControlServer>> ControlServer::Listen(
    WorkerPool& pool,
    const Endpoint& endpoint,
    std::shared_ptr<ControlDriver> driver,
    std::shared_ptr<SubscriberHub> hub,
    const ControlTable& table,
    ListingTable& listing,
    std::shared_ptr<HintRelay> relay,
    std::shared_ptr<AggregatorSharing> sharing,
    std::shared_ptr<QuotaRelay> quota_relay) {
  FramedLimits limits;
  limits.silence_timeout = kSilenceTimeout;
  auto impl = std::make_unique<Impl>();
  BOOST_LEAF_ASSIGN(
      impl->server,
      FramedServer::Listen(
          pool, endpoint, limits, kMaxConnections,
          [driver, hub, &table, &listing, relay = std::move(relay),
           sharing = std::move(sharing), quotas = std::move(quota_relay)](
              const std::shared_ptr<FramedConnection>& connection) {
            std::make_shared<ControlSession>(connection, driver, hub, table,
                                             listing, relay, sharing, quotas)
                ->Start(connection);
          }));
  return std::unique_ptr<ControlServer>(new ControlServer(std::move(impl)));
}

ControlServer::ControlServer(std::unique_ptr<Impl> server_impl)
    : impl(std::move(server_impl)) {}

ControlServer::~ControlServer() = default;

}  // namespace marigold
