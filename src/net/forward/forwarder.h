#ifndef SRC_NET_FORWARD_FORWARDER_H_
#define SRC_NET_FORWARD_FORWARDER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "src/net/fan_out/group_query_server.h"
#include "src/net/fan_out/grouped_call.h"
#include "src/net/forward/call_admission.h"
#include "src/net/forward/forwarded_call.h"
#include "src/net/forward/quota_check.h"
#include "src/policy/forward_timing.h"
#include "src/policy/startup_retry.h"
#include "src/policy/weighted_choice.h"
#include "src/tables/lifecycle.h"
#include "src/tables/list_table.h"
#include "src/tables/quota_table.h"

namespace marigold {

// Limits of one strand for what callers and backend servers make it hold.
struct StrandLimits {
  ReplyLimits replies;
  // The requests and answers of callers.
  std::size_t caller_memory_bytes = CallerHandlers::kDefaultCallerMemoryBytes;
  // The connections to backend servers.
  std::size_t max_links = BackendLinks::kDefaultMaxLinks;
};

// The objects that all strands of an entry process share.
struct ForwardContext {
  const ListTable& lists;
  BackendTable& backends;
  AggregatorTable& aggregators;
  QuotaTable& quotas;
  ForwardMetrics& metrics;
  // Returns false while it is not certain which routes are in force.
  std::function<bool()> are_routes_known;
  const Lifecycle& lifecycle;
  StrandLimits limits;
  // Used only if the route table has customers.
  std::shared_ptr<ForwardGate> gate;
};

// Takes the requests of one strand, finds the route of each and starts a call.
// Used only on its strand.
template <ForwardMessageCodec MessageCodec>
class Forwarder : public std::enable_shared_from_this<Forwarder<MessageCodec>> {
 public:
  Forwarder(std::shared_ptr<Strand> strand,
            const ForwardContext& forward_context)
      : context(forward_context),
        links(std::make_shared<BackendLinks>(strand,
                                             forward_context.limits.replies,
                                             forward_context.limits.max_links)),
        call_context{strand, links, forward_context.backends,
                     forward_context.metrics},
        fan_out_context{forward_context.aggregators,
                        std::make_shared<AggregatorLinks>(strand)},
        query_server(
            std::make_shared<GroupQueryServer<MessageCodec>>(call_context)),
        admission(std::make_shared<CallAdmission>(strand,
                                                  forward_context.gate,
                                                  forward_context.metrics)),
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
    handlers.on_room_short = [self = this->shared_from_this()](
                                 const CallerRequest& request) {
      self->LogRefusal(request, CallerSession::kRoomShortStatus, "room_short");
    };
    handlers.memory = std::make_shared<CallerSessionMemory>(
        this->context.limits.caller_memory_bytes);
    handlers.limits = [self = this->shared_from_this()] {
      const auto routes = self->context.lists.Routes();
      return routes ? routes->table().limits : CallerLimits();
    };
    return handlers;
  }

  // Answers all requests in progress at the drain deadline at the latest. Must
  // be called after the process has begun to leave.
  void EndCallsByDrainDeadline() {
    const MonotonicTime end = this->context.lifecycle.drain_deadline();
    // A call that ends is removed from `calls`.
    const auto calls_in_progress = this->calls;
    for (const auto& [session, call] : calls_in_progress) {
      call.end_by(end);
    }
  }

  // Answers the queries of another entry VM on an accepted connection.
  void ServeQueries(boost::asio::ip::tcp::socket socket) {
    this->query_server->Serve(std::move(socket));
  }

  // Refuses further queries of other entry VMs, and calls `on_drained` once
  // those in progress have ended.
  void DrainQueries(std::function<void()> on_drained) {
    this->query_server->Drain();
    if (this->query_server->calls_in_progress() == 0) {
      on_drained();
      return;
    }
    this->call_context.strand->RunAt(
        this->call_context.strand->Now() + kDrainCheckInterval,
        [self = this->shared_from_this(), done = std::move(on_drained)] {
          self->DrainQueries(done);
        });
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
    this->OpenProbe(
        server,
        [server, began_at = this->call_context.strand->Now()](
            BackendDirectory& directory, MonotonicTime now, bool opened) {
          directory.OnUncountedOutcome(now, server, now - began_at,
                                       Duration::zero(), opened);
        });
  }

  // Opens a connection to check whether a server that was unreachable has
  // returned.
  void ProbeReturn(ServerIndex server) {
    this->OpenProbe(server, [server](BackendDirectory& directory,
                                     MonotonicTime now, bool opened) {
      directory.OnReturnProbe(now, server, opened);
    });
  }

 private:
  using SessionPtr = std::shared_ptr<CallerSession>;

  // A call in progress, of either kind. Keeps it alive.
  struct CallHandle {
    // Ends the call because the caller is gone.
    std::function<void()> abandon;
    // Brings the deadlines of the call forward.
    std::function<void(MonotonicTime end)> end_by;
  };

  // A request whose route and sender are known, and which its customer's quota
  // permits.
  struct PreparedCall {
    SessionPtr session;
    CallerRequest request;
    CallerMetadata caller;
    SenderIdentity identity;
    RouteVersion routes_version;
    ForwardPlan plan;
    std::size_t top_records = 0;
    // Takes the use of the quota back. Must be called if the request is sent
    // nowhere.
    std::function<void()> refund_quota;
  };

  // A longer request is sent by this process alone, because each aggregator
  // would get a copy.
  static constexpr std::size_t kMaxGroupedRequestBytes = 16 * 1024;

  // Most requests in progress end within this time.
  static constexpr Duration kBusyRetryAfter = std::chrono::milliseconds(200);

  static constexpr int kStatusUnauthorized = 401;
  static constexpr int kStatusNotFound = 404;
  static constexpr Duration kDrainCheckInterval = std::chrono::milliseconds(20);

  template <class Record>
  void OpenProbe(ServerIndex server, Record record) {
    const Endpoint endpoint =
        this->call_context.backends.Access([&](BackendDirectory& directory) {
          return directory.ListedServerAt(server).endpoint;
        });
    this->links->Open(server, endpoint,
                      [strand = this->call_context.strand,
                       &backends = this->call_context.backends,
                       record = std::move(record)](bool opened) {
                        const MonotonicTime now = strand->Now();
                        backends.Access([&](BackendDirectory& directory) {
                          record(directory, now, opened);
                        });
                      });
  }

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
    CallerMetadata caller_metadata = MessageCodec::ReadCaller(request);
    const Identification identification =
        routes->Identify(*route, caller_metadata.key);
    if (const auto* identity = std::get_if<RequestIdentity>(&identification)) {
      this->Forward(session, *route, routes->table(), *identity,
                    std::move(caller_metadata), std::move(request));
    } else {
      this->Refuse(session, request, "unknown_key",
                   {kStatusUnauthorized, "the API key is missing or unknown",
                    std::nullopt});
    }
  }

  void Forward(const SessionPtr& session,
               const Route& route,
               const RouteTable& table,
               const RequestIdentity& identity,
               CallerMetadata caller_metadata,
               CallerRequest request) {
    const MonotonicTime now = this->call_context.strand->Now();
    const MonotonicTime drain_deadline =
        this->context.lifecycle.drain_deadline();
    if (IsTooLateToStart(route, now, drain_deadline)) {
      this->Refuse(session, request, "stopping",
                   {kStatusUnavailable, "this process is about to stop",
                    Duration::zero()});
      return;
    }
    Duration& route_max_time_left = this->max_time_left[route.name];
    if (caller_metadata.time_left) {
      route_max_time_left =
          std::max(route_max_time_left, *caller_metadata.time_left);
    }
    ForwardPlan plan;
    plan.route = route.name;
    plan.customer = identity.customer;
    plan.priority = identity.priority;
    plan.deadlines =
        ComputeDeadlines(route, now, caller_metadata.time_left,
                         session->round_trip(), route_max_time_left);
    plan.deadlines.EndBy(drain_deadline);
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
    if (const auto refusal = CheckQuota(this->context.quotas, plan, now)) {
      this->Refuse(session, request, "over_quota", *refusal, plan.customer);
      return;
    }
    auto refund_quota = QuotaRefund(this->context.quotas, plan);
    PreparedCall call{session,
                      std::move(request),
                      std::move(caller_metadata),
                      {identity.is_managed, identity.customer},
                      table.version,
                      std::move(plan),
                      top_records,
                      std::move(refund_quota)};
    if (table.customers) {
      this->Admit(table, std::make_shared<PreparedCall>(std::move(call)));
    } else {
      this->Begin(std::move(call), std::nullopt);
    }
  }

  // Starts the call once the admission permits it.
  void Admit(const RouteTable& table,
             const std::shared_ptr<PreparedCall>& call) {
    const auto wait = this->admission->Enter(
        call->plan, table,
        [weak = this->weak_from_this(), call](const GateDecision& decision) {
          if (const auto self = weak.lock()) {
            self->OnAdmissionDecided(*call, decision);
          }
        });
    if (!wait) {
      return;
    }
    this->calls[call->session.get()] = {
        [self = this->shared_from_this(), call, wait] {
          self->admission->Withdraw(wait);
          self->calls.erase(call->session.get());
          call->refund_quota();
          self->context.metrics.OnRefused("caller_gone");
        },
        [self = this->shared_from_this(), call, wait](MonotonicTime) {
          self->admission->Withdraw(wait);
          self->calls.erase(call->session.get());
          call->refund_quota();
          self->Refuse(call->session, call->request, "stopping",
                       {kStatusUnavailable, "this process is about to stop",
                        Duration::zero()});
        }};
  }

  void OnAdmissionDecided(PreparedCall& call, const GateDecision& decision) {
    this->calls.erase(call.session.get());
    if (const auto* permit = std::get_if<AdmissionPermit>(&decision)) {
      this->Begin(std::move(call), *permit);
      return;
    }
    const auto& refusal = std::get<Refusal>(decision);
    call.refund_quota();
    this->Refuse(call.session, call.request, ToString(refusal.reason),
                 {kStatusUnavailable, "capacity is short",
                  refusal.retry_after.value_or(kBusyRetryAfter)},
                 call.plan.customer);
  }

  // Starts a call. `permit` is absent if the admission is not used.
  void Begin(PreparedCall call, const std::optional<AdmissionPermit>& permit) {
    auto& [session, request, caller_metadata, identity, version, plan,
           top_records, refund_quota] = call;
    if (!this->links->HasRoomFor(plan.targets.size())) {
      if (permit) {
        // The capacity is then reduced, so that the room is divided fairly.
        this->admission->Leave(*permit, Congestion::kOverload);
      }
      refund_quota();
      this->Refuse(session, request, "too_many_sends",
                   {kStatusUnavailable, "too many requests are in progress",
                    kBusyRetryAfter});
      return;
    }
    CallerSide caller{
        session,
        caller_metadata.request,
        version,
        false,
        [weak = this->weak_from_this(), admission = this->admission, permit,
         session_key = session.get()](Congestion congestion) {
          if (const auto self = weak.lock()) {
            self->calls.erase(session_key);
          }
          if (permit) {
            admission->Leave(*permit, congestion);
          }
        },
        std::move(refund_quota)};
    EncodedRequest encoded{std::move(caller_metadata.request),
                           MessageCodec::MakeSendTemplate(request, identity),
                           request.method() == boost::beast::http::verb::head};
    if (this->UsesGroups(plan, encoded)) {
      this->StartCall(
          std::make_shared<GroupedCall<MessageCodec>>(
              this->call_context, this->fan_out_context, std::move(caller),
              std::move(encoded), std::move(plan), top_records),
          session);
    } else {
      this->StartCall(std::make_shared<ForwardedCall<MessageCodec>>(
                          this->call_context, std::move(caller),
                          std::move(encoded), std::move(plan), top_records),
                      session);
    }
  }

  // True if aggregators are expected to answer the request sooner than this
  // process alone.
  bool UsesGroups(const ForwardPlan& plan, const EncodedRequest& encoded) {
    return plan.is_fan_out && plan.is_idempotent &&
           encoded.send_template.size() <= kMaxGroupedRequestBytes &&
           this->fan_out_context.aggregators.Access(
               [&](const AggregatorDirectory& directory) {
                 return directory.PrefersGroups(plan.targets.size());
               });
  }

  template <class Call>
  void StartCall(const std::shared_ptr<Call>& call, const SessionPtr& session) {
    this->calls[session.get()] = {
        [call] { call->OnCallerDisconnected(); },
        [call](MonotonicTime end) { call->EndBy(end); }};
    call->Start();
  }

  void OnDisconnected(const SessionPtr& session) {
    const auto found = this->calls.find(session.get());
    if (found != this->calls.end()) {
      const CallHandle call = found->second;
      call.abandon();
    }
  }

  // `customer` is absent if the request has none or is refused before it is
  // identified.
  void Refuse(const SessionPtr& session,
              const CallerRequest& request,
              std::string_view reason,
              const LocalAnswer& answer,
              const std::optional<CustomerId>& customer = std::nullopt) {
    this->LogRefusal(request, answer.status, reason, customer);
    const bool closes_connection = session->MustClose();
    session->Answer(MessageCodec::WriteLocalAnswer(answer, closes_connection),
                    closes_connection);
  }

  void LogRefusal(const CallerRequest& request,
                  int status,
                  std::string_view reason,
                  const std::optional<CustomerId>& customer = std::nullopt) {
    this->context.metrics.OnRefused(reason);
    const auto routes = this->context.lists.Routes();
    LogEvent(
        LogLevel::kInfo, "request_refused",
        {{"request", MessageCodec::ReadCaller(request).request.value()},
         {"status", status},
         {"reason", reason},
         {"customer", customer ? customer->value() : "none"},
         {"routes_version", routes ? routes->table().version.value() : 0}});
  }

  ForwardContext context;
  std::shared_ptr<BackendLinks> links;
  CallContext call_context;
  FanOutContext fan_out_context;
  std::shared_ptr<GroupQueryServer<MessageCodec>> query_server;
  std::shared_ptr<CallAdmission> admission;
  MonotonicTime started_at;
  std::unordered_map<CallerSession*, CallHandle> calls;
  std::unordered_map<RouteName, WeightedChoice> service_choices;
  // The longest time left that any caller of a route has stated. The first
  // attempt of a caller has this much time.
  std::unordered_map<RouteName, Duration> max_time_left;
};

}  // namespace marigold

#endif  // SRC_NET_FORWARD_FORWARDER_H_
