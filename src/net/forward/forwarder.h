#ifndef SRC_NET_FORWARD_FORWARDER_H_
#define SRC_NET_FORWARD_FORWARDER_H_

#include <functional>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "src/net/forward/forwarded_call.h"
#include "src/policy/forward_timing.h"
#include "src/policy/startup_retry.h"
#include "src/policy/weighted_choice.h"
#include "src/tables/list_table.h"

namespace marigold {

// The objects that all strands of an entry process share.
struct ForwardContext {
  const ListTable& lists;
  BackendTable& backends;
  ForwardMetrics& metrics;
  // Returns false while it is not certain which routes are in force.
  std::function<bool()> are_routes_known;
};

// Takes the requests of one strand, finds the route of each and starts a call.
// Used only on its strand.
template <ForwardMessageCodec MessageCodec>
class Forwarder : public std::enable_shared_from_this<Forwarder<MessageCodec>> {
 public:
  Forwarder(std::shared_ptr<Strand> strand,
            const ForwardContext& forward_context)
      : context(forward_context),
        links(std::make_shared<BackendLinks>(strand)),
        call_context{strand, links, forward_context.backends,
                     forward_context.metrics},
        started_at(strand->Now()) {}

  CallerHandlers CreateHandlers() {
    CallerHandlers handlers;
    handlers.on_request = [self = this->shared_from_this()](
                              const SessionPtr& session,
                              CallerRequest request) {
      self->OnRequest(session, std::move(request));
    };
    handlers.on_disconnected =
        [self = this->shared_from_this()](const SessionPtr& session) {
          self->OnDisconnected(session);
        };
    handlers.limits = [self = this->shared_from_this()] {
      const auto routes = self->context.lists.Routes();
      return routes ? routes->table().limits : CallerLimits();
    };
    return handlers;
  }

  // Closes the free links to servers that get no new requests.
  void Retire(const std::vector<ServerIndex>& servers) {
    for (const ServerIndex server : servers) {
      this->links->Retire(server);
    }
  }

  // Opens a connection to check whether the server's data centre is reachable
  // again.
  void Probe(ServerIndex server) {
    const Endpoint endpoint =
        this->call_context.backends.Access([&](BackendDirectory& directory) {
          return directory.ListedServerAt(server).endpoint;
        });
    this->links->Open(
        server, endpoint,
        [strand = this->call_context.strand,
         &backends = this->call_context.backends, server,
         began_at = this->call_context.strand->Now()](bool opened) {
          const MonotonicTime now = strand->Now();
          backends.Access([&](BackendDirectory& directory) {
            directory.OnUncountedOutcome(now, server, now - began_at,
                                         Duration::zero(), opened);
          });
        });
  }

  std::size_t calls_in_progress() const { return this->calls.size(); }

 private:
  using SessionPtr = std::shared_ptr<CallerSession>;
  using Call = ForwardedCall<MessageCodec>;

  static constexpr int kStatusNotFound = 404;

  void OnRequest(const SessionPtr& session, CallerRequest request) {
    const std::shared_ptr<const RouteIndex> routes =
        this->context.are_routes_known() ? this->context.lists.Routes()
                                         : nullptr;
    if (!routes) {
      const Duration uptime =
          this->call_context.strand->Now() - this->started_at;
      this->Refuse(session, request, "routes_unknown",
                   {kStatusUnavailable, "the routes are not known yet",
                    StartupRetry::RetryAfter(uptime)});
      return;
    }
    const auto host = request[boost::beast::http::field::host];
    const auto target = request.target();
    const Route* route =
        routes->Match(std::string_view(host.data(), host.size()),
                      std::string_view(target.data(), target.size()));
    if (route == nullptr) {
      this->Refuse(session, request, "no_route",
                   {kStatusNotFound, "no route matches", std::nullopt});
      return;
    }
    this->Forward(session, *route, routes->table().version, std::move(request));
  }

  void Forward(const SessionPtr& session,
               const Route& route,
               RouteVersion version,
               CallerRequest request) {
    CallerMetadata caller_metadata = MessageCodec::ReadCaller(request);
    Duration& route_max_time_left = this->max_time_left[route.name];
    if (caller_metadata.time_left) {
      route_max_time_left =
          std::max(route_max_time_left, *caller_metadata.time_left);
    }
    ForwardPlan plan;
    plan.route = route.name;
    plan.deadlines = ComputeDeadlines(
        route, this->call_context.strand->Now(), caller_metadata.time_left,
        session->round_trip(), route_max_time_left);
    plan.is_idempotent = route.is_idempotent;
    plan.max_attempts = route.max_attempts;
    std::size_t top_records = 0;
    if (route.fan_out) {
      plan.is_fan_out = true;
      plan.targets = route.fan_out->shards;
      plan.minimum_coverage = route.fan_out->minimum_coverage;
      top_records = route.fan_out->top_records;
    } else {
      plan.targets = {this->service_choices[route.name].Choose(route.services)};
    }
    auto call = std::make_shared<Call>(
        this->call_context, session, std::move(request),
        std::move(caller_metadata), std::move(plan), version, top_records,
        [weak = this->weak_from_this(), session_key = session.get()] {
          if (const auto self = weak.lock()) {
            self->calls.erase(session_key);
          }
        });
    this->calls[session.get()] = call;
    call->Start();
  }

  void OnDisconnected(const SessionPtr& session) {
    const auto found = this->calls.find(session.get());
    if (found != this->calls.end()) {
      const auto call = found->second;
      call->OnCallerDisconnected();
    }
  }

  void Refuse(const SessionPtr& session,
              const CallerRequest& request,
              std::string_view reason,
              const LocalAnswer& answer) {
    this->context.metrics.OnRefused(reason);
    const auto routes = this->context.lists.Routes();
    LogEvent(
        LogLevel::kInfo, "request_refused",
        {{"request", MessageCodec::ReadCaller(request).request.value()},
         {"status", answer.status},
         {"reason", reason},
         {"routes_version", routes ? routes->table().version.value() : 0}});
    const bool closes_connection = session->MustClose();
    session->Answer(MessageCodec::WriteLocalAnswer(answer, closes_connection),
                    closes_connection);
  }

  ForwardContext context;
  std::shared_ptr<BackendLinks> links;
  CallContext call_context;
  MonotonicTime started_at;
  std::unordered_map<CallerSession*, std::shared_ptr<Call>> calls;
  std::unordered_map<RouteName, WeightedChoice> service_choices;
  // The longest time left that any caller of a route has stated. The first
  // attempt of a caller has this much time.
  std::unordered_map<RouteName, Duration> max_time_left;
};

}  // namespace marigold

#endif  // SRC_NET_FORWARD_FORWARDER_H_
