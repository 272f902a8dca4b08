#include "src/net/control/list_sharing.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "src/core/log.h"

namespace marigold {

namespace {

constexpr Duration kRequestTimeout = std::chrono::seconds(1);
constexpr Duration kServerSilenceTimeout = std::chrono::seconds(5);
// An entry VM is asked by few others at a time, and each connection may send
// the start of a long frame.
constexpr std::size_t kMaxConnections = 32;

// Several entry VMs are asked at the same time, because some of those that were
// known last may be gone.
constexpr std::size_t kPeersPerRequest = 2;

// Beyond this number of announced entry VMs, the earlier ones are forgotten.
constexpr std::size_t kMaxPeers = 4'096;

// A leader may lose its place while it is asked.
constexpr int kMaxRedirects = 2;

ListsReply ReplyTo(const ReadLists& request, const ListTable& table) {
  ListsReply reply;
  reply.call = request.call;
  ListUpdate full_update = table.FullUpdate();
  reply.index = full_update.to;
  if (request.known_index < reply.index) {
    reply.full_lists = std::move(full_update.full_lists);
    reply.routes = std::move(full_update.routes);
    reply.evacuated = std::move(full_update.evacuated);
  }
  return reply;
}

}  // namespace

ListSharing::ListSharing(WorkerPool& worker_pool,
                         SerialQueue serial_queue,
                         ListTable& list_table,
                         const ControlClientSettings& client_settings,
                         ListSharingHandlers sharing_handlers)
    : pool(worker_pool),
      queue(std::move(serial_queue)),
      table(list_table),
      settings(client_settings),
      handlers(std::move(sharing_handlers)),
      random(SystemSeed()) {}

Result<void> ListSharing::Listen() {
  if (this->settings.listen.port == 0) {
    return {};
  }
  FramedLimits limits;
  limits.silence_timeout = kServerSilenceTimeout;
  BOOST_LEAF_ASSIGN(
      this->server,
      FramedServer::Listen(
          this->pool, this->settings.listen, limits, kMaxConnections,
          [weak = this->weak_from_this()](
              const std::shared_ptr<FramedConnection>& connection) {
            if (const auto self = weak.lock()) {
              self->Serve(connection);
            }
          }));
  return {};
}

void ListSharing::RequestFromAll() {
  this->has_requested_all = true;
  for (const Endpoint& control : this->settings.controls) {
    this->RequestLists(control, {true, true, kMaxRedirects});
  }
  for (const Endpoint& peer : this->settings.peers) {
    if (peer != this->settings.listen) {
      this->RequestLists(peer, {true, false, 0});
    }
  }
}

void ListSharing::RequestConfirmation(const Endpoint& control) {
  if (this->pending_confirmations == 0) {
    this->RequestLists(control, {false, true, kMaxRedirects});
  }
}

void ListSharing::RequestNewest() {
  if (this->pending_confirmations == 0 &&
      this->table.index() < this->max_reported_index) {
    this->RequestLists(this->newest_holder, {});
  }
}

void ListSharing::RequestFromPeers() {
  std::vector<Endpoint> peers = this->settings.peers;
  for (const auto& [vm, endpoint] : this->announced_peers) {
    peers.push_back(endpoint);
  }
  std::erase(peers, this->settings.listen);
  for (std::size_t i = 0; i < std::min(kPeersPerRequest, peers.size()); ++i) {
    std::swap(peers[i], peers[i + this->random.NextBelow(peers.size() - i)]);
    this->RequestLists(peers[i], {});
  }
}

void ListSharing::OnAggregators(const AggregatorUpdate& update) {
  if (this->announced_peers.size() > kMaxPeers) {
    this->announced_peers.clear();
  }
  for (const Aggregator& aggregator : update.added) {
    if (aggregator.lists_endpoint.port != 0) {
      this->announced_peers[aggregator.vm] = aggregator.lists_endpoint;
    }
  }
}

void ListSharing::RequestLists(const Endpoint& endpoint, Request request) {
  ++(request.is_initial ? this->pending_initial_calls
                        : this->pending_confirmations);
  // A reply contains the lists only if they are newer than this index.
  const LogIndex known_index =
      request.is_index_only
          ? LogIndex(std::numeric_limits<std::uint64_t>::max())
          : this->table.index();
  CallOnce(this->pool, endpoint, ReadLists{CallId(1), known_index},
           kRequestTimeout,
           [weak = this->weak_from_this(), serial_queue = this->queue, endpoint,
            request](CallOutcome outcome) {
             serial_queue.Post(
                 [weak, endpoint, outcome = std::move(outcome), request] {
                   if (const auto self = weak.lock()) {
                     self->OnOutcome(endpoint, outcome, request);
                   }
                 });
           });
}

void ListSharing::OnOutcome(const Endpoint& endpoint,
                            const CallOutcome& outcome,
                            Request request) {
  --(request.is_initial ? this->pending_initial_calls
                        : this->pending_confirmations);
  const auto* message = std::get_if<ControlMessage>(&outcome);
  const auto* reply =
      message == nullptr ? nullptr : std::get_if<ListsReply>(message);
  if (reply != nullptr) {
    this->did_leader_reply = this->did_leader_reply || reply->is_confirmed;
    // The reply of the leader makes the others unnecessary.
    if (reply->leader && request.redirects > 0 && !this->did_leader_reply) {
      this->RequestLists(*reply->leader,
                         {request.is_initial, true, request.redirects - 1});
    }
    if (reply->index > this->max_reported_index) {
      this->max_reported_index = reply->index;
      this->newest_holder = endpoint;
    }
    if (reply->full_lists) {
      this->table.Apply(this->clock.Now(), {LogIndex(),
                                            reply->index,
                                            reply->full_lists,
                                            {},
                                            reply->routes,
                                            reply->evacuated});
    }
    this->handlers.on_controls(reply->controls);
  }
  this->handlers.on_progress();
}

void ListSharing::Serve(const std::shared_ptr<FramedConnection>& connection) {
  FramedHandlers framed_handlers;
  framed_handlers.on_body =
      [connection, weak = this->weak_from_this()](const std::string& body) {
        const auto self = weak.lock();
        const auto decoded =
            Capture<ControlMessage>([&] { return DecodeControlMessage(body); });
        const auto* message = std::get_if<ControlMessage>(&decoded);
        const auto* request =
            message == nullptr ? nullptr : std::get_if<ReadLists>(message);
        if (!self || request == nullptr) {
          connection->Close();
          return;
        }
        self->queue.Post([self, connection, request = *request] {
          self->Reply(connection, request);
        });
      };
  framed_handlers.on_closed = [](CloseReason) {};
  connection->Start(std::move(framed_handlers));
}

void ListSharing::Reply(const std::shared_ptr<FramedConnection>& connection,
                        const ReadLists& request) {
  ListsReply reply = ReplyTo(request, this->table);
  reply.controls = this->handlers.controls();
  connection->Send(EncodeControlMessage(reply));
}

}  // namespace marigold
