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

// What all lanes of an entry process share.
struct ForwardShared {
  const ListTable& lists;
  BackendTable& backends;
  ForwardMetrics& counters;
  // False while the routes in force are not known for sure.
  std::function<bool()> knows_routes;
};

// Takes the requests of one lane: finds the route and starts a call. Used only
// on its lane.
template <ForwardDialect Dialect>
class Forwarder : public std::enable_shared_from_this<Forwarder<Dialect>> {
 public:
  Forwarder(std::shared_ptr<Lane> lane, const ForwardShared& forward_shared)
      : shared(forward_shared),
        links(std::make_shared<BackendLinks>(lane)),
        parts{lane, links, forward_shared.backends, forward_shared.counters},
        started_at(lane->Now()) {}

  CallerHandlers Handlers() {
    CallerHandlers handlers;
    handlers.on_request = [self = this->shared_from_this()](
                              const SessionPtr& session,
                              CallerRequest request) {
      self->OnRequest(session, std::move(request));
    };
    handlers.on_gone = [self = this->shared_from_this()](const SessionPtr& s) {
      self->OnGone(s);
    };
    handlers.limits = [self = this->shared_from_this()] {
      const auto routes = self->shared.lists.Routes();
      return routes ? routes->table().limits : CallerLimits();
    };
    return handlers;
  }

  // Servers that get no new work.
  void Retire(const std::vector<ServerIndex>& servers) {
    for (const ServerIndex server : servers) {
      this->links->Retire(server);
    }
  }

  // Opens a connection to see whether the server's data centre is back.
  void Probe(ServerIndex server) {
    const Endpoint endpoint =
        this->parts.backends.Access([&](BackendDirectory& directory) {
          return directory.ListedServerAt(server).endpoint;
        });
    this->links->Open(
        server, endpoint,
        [lane = this->parts.lane, &backends = this->parts.backends, server,
         began = this->parts.lane->Now()](bool opened) {
          const MonotonicTime now = lane->Now();
          backends.Access([&](BackendDirectory& directory) {
            directory.OnUncountedOutcome(now, server, now - began,
                                         Duration::zero(), opened);
          });
        });
  }

  std::size_t calls_in_progress() const { return this->calls.size(); }

 private:
  using SessionPtr = std::shared_ptr<CallerSession>;
  using Call = ForwardedCall<Dialect>;

  static constexpr int kStatusNotFound = 404;

  void OnRequest(const SessionPtr& session, CallerRequest request) {
    const std::shared_ptr<const RouteIndex> routes =
        this->shared.knows_routes() ? this->shared.lists.Routes() : nullptr;
    if (!routes) {
      const Duration age = this->parts.lane->Now() - this->started_at;
      this->Refuse(session, request, "routes_unknown",
                   {kStatusUnavailable, "the routes are not known yet",
                    StartupRetry::RetryAfter(age)});
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
    CallerHead head = Dialect::ReadCaller(request);
    Duration& longest = this->longest_time_left[route.name];
    if (head.time_left) {
      longest = std::max(longest, *head.time_left);
    }
    ForwardPlan plan;
    plan.route = route.name;
    plan.deadlines =
        ComputeDeadlines(route, this->parts.lane->Now(), head.time_left,
                         session->round_trip(), longest);
    plan.is_idempotent = route.is_idempotent;
    plan.max_attempts = route.max_attempts;
    std::size_t top_records = 0;
    if (route.fan_out) {
      plan.is_fan_out = true;
      plan.targets = route.fan_out->shards;
      plan.minimum_coverage = route.fan_out->minimum_coverage;
      top_records = route.fan_out->top_records;
    } else {
      plan.targets = {this->choices[route.name].Choose(route.services)};
    }
    auto call = std::make_shared<Call>(
        this->parts, session, std::move(request), std::move(head),
        std::move(plan), version, top_records,
        [weak = this->weak_from_this(), raw = session.get()] {
          if (const auto self = weak.lock()) {
            self->calls.erase(raw);
          }
        });
    this->calls[session.get()] = call;
    call->Start();
  }

  void OnGone(const SessionPtr& session) {
    const auto found = this->calls.find(session.get());
    if (found != this->calls.end()) {
      const auto call = found->second;
      call->OnCallerGone();
    }
  }

  void Refuse(const SessionPtr& session,
              const CallerRequest& request,
              std::string_view reason,
              const OwnAnswer& answer) {
    this->shared.counters.OnRefused(reason);
    const auto routes = this->shared.lists.Routes();
    LogEvent(
        LogLevel::kInfo, "request_refused",
        {{"request", Dialect::ReadCaller(request).request.value()},
         {"status", answer.status},
         {"reason", reason},
         {"routes_version", routes ? routes->table().version.value() : 0}});
    const bool closes = session->MustClose();
    session->Answer(Dialect::WriteOwn(answer, closes), closes);
  }

  ForwardShared shared;
  std::shared_ptr<BackendLinks> links;
  CallParts parts;
  MonotonicTime started_at;
  std::unordered_map<CallerSession*, std::shared_ptr<Call>> calls;
  std::unordered_map<RouteName, WeightedChoice> choices;
  // What callers of a route had left at most; a first attempt has that.
  std::unordered_map<RouteName, Duration> longest_time_left;
};

}  // namespace marigold

#endif  // SRC_NET_FORWARD_FORWARDER_H_
