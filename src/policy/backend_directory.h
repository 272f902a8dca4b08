#ifndef SRC_POLICY_BACKEND_DIRECTORY_H_
#define SRC_POLICY_BACKEND_DIRECTORY_H_

#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

#include "src/core/ids.h"
#include "src/core/random.h"
#include "src/core/units.h"
#include "src/policy/cold_limiter.h"
#include "src/policy/evacuation.h"
#include "src/policy/latency_digest.h"
#include "src/policy/listing.h"
#include "src/policy/replica_choice.h"
#include "src/policy/retry_budget.h"
#include "src/policy/routes.h"
#include "src/policy/search_types.h"
#include "src/policy/server_hint.h"
#include "src/policy/server_notice.h"
#include "src/policy/server_observations.h"
#include "src/policy/server_view.h"

namespace marigold {

enum class SendFailure {
  // The backend server refused the connection. Nothing was sent.
  kNotConnected,
  // No connection was established in time. Nothing was sent.
  kUnreachable,
  // The backend server reported that it did not run the request.
  kNotExecuted,
  // Another server than the expected one listens at the address. The request
  // did not run.
  kOtherServer,
  // The connection closed before the answer was complete.
  kConnectionLost,
  // The answer is malformed or belongs to another request.
  kBadAnswer,
  // The backend server answered with an error of its own.
  kServerError,
  // The attempt timed out without an answer.
  kTimeout,
};

// Stable text for logs, such as "not_executed".
std::string_view ToString(SendFailure failure);

// True if it is certain that the request did not run.
bool CertainlyDidNotRun(SendFailure failure);

// The load that a backend server reports with an answer: the requests that it
// runs, the requests that wait, and the number that it can run at the same
// time.
struct ReportedLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  // How long work takes on the server's machine at this moment, as a ratio to
  // the usual time. Servers share their machines with other programs, so it may
  // change several times a second.
  double slowdown = 1;

  bool operator==(const ReportedLoad&) const = default;
};

// Which services of a list have servers in a data centre.
struct DataCentreServices {
  DataCentreId data_centre;
  // By service of the list: true if it has an available server there.
  std::vector<bool> is_available;
  // The number of services that have a usable server there, available or not.
  std::size_t listed_count = 0;
};

struct DirectorySettings {
  DataCentreId data_centre;
  RetryBudgetSettings retry_budget;
  // The seed of the random parts of pauses.
  std::uint64_t seed = 1;
  // This entry VM.
  VmId vm{};
};

// A server that began or ceased to be held back as possibly cold.
struct ColdChange {
  ServerIndex server;
  RatePerSecond cold_rate;
  // `kNone` if it is not held back any more.
  ColdReason reason = ColdReason::kNone;
};

// The servers that are held back as possibly cold.
struct ColdReport {
  // At most `BackendDirectory::kMaxColdChanges` since the last report. The rest
  // is in the next one.
  std::vector<ColdChange> changes;
  std::size_t held_back = 0;
  // The sends to such servers since the last report.
  std::uint64_t sends = 0;
};

// Tracks the backend servers of the platform's list. These servers report
// little about their own state, so the directory combines the list with the
// outcomes that this entry process observed. Not synchronised.
class BackendDirectory {
 public:
  explicit BackendDirectory(DirectorySettings directory_settings)
      : settings(std::move(directory_settings)),
        jitter(settings.seed),
        cold_senders(settings.vm) {}

  BackendDirectory(const BackendDirectory&) = delete;
  BackendDirectory& operator=(const BackendDirectory&) = delete;

  // Commands.

  // Replaces the list with `listed`, which is complete and was read at
  // `observed_at`, or now if that is absent. Servers that drain or are no
  // longer listed get no new requests. Returns the servers that could get
  // requests before this call and cannot any more.
  std::vector<ServerIndex> ApplyListing(
      MonotonicTime now,
      std::span<const ListedServer> listed,
      std::optional<MonotonicTime> observed_at = std::nullopt);

  // The rows of the last `ApplyListing` were still current at `observed_at`.
  void ConfirmListing(MonotonicTime observed_at);

  // Replaces the limits for cold servers. Services that are not named, or have
  // the rate 0, have no limit.
  void SetColdRates(std::span<const RoutedService> limited_services);

  // Applies a change of the set of entry VMs, which share the requests to cold
  // servers. See `ColdSenders::Apply`.
  void SetEntryVms(MonotonicTime now,
                   bool is_full,
                   std::span<const VmId> added,
                   std::span<const VmId> removed) {
    this->cold_senders.Apply(now, is_full, added, removed);
  }

  // Returns the servers of limited services that were unreachable, and to which
  // a connection shows whether they have returned. Only few entry VMs send
  // requests to such a server.
  std::vector<ServerIndex> TakeReturnProbes(MonotonicTime now);
  // Records whether such a connection was opened.
  void OnReturnProbe(MonotonicTime now, ServerIndex server, bool was_opened);

  ColdReport TakeColdReport(MonotonicTime now);

  // Replaces the set of evacuated data centres, whose servers get no new
  // requests. Returns the servers that could get requests before this call and
  // cannot any more.
  std::vector<ServerIndex> SetEvacuated(MonotonicTime now,
                                        EvacuatedDataCentres data_centres);

  // Sets this entry VM's fraction of the minimum retry budget that all entry
  // VMs share.
  void SetRetryBudgetShare(Fraction entry_share) {
    this->retry_budget_share = entry_share;
  }

  // Returns hints for other entry VMs about the servers that this VM has found
  // slow since the last call. Returns nothing if it has found more than half of
  // the usable servers slow, because then this VM itself is likely to be slow.
  std::vector<ServerHint> TakeHints(MonotonicTime now);

  // Applies the hints of other entry VMs. Ignores hints about unknown servers
  // and about an earlier start of a server.
  void ApplyHints(MonotonicTime now, std::span<const ServerHint> hints);

  // Counts a request for a service, which adds to the service's retry budget.
  void OnRequest(MonotonicTime now, const ServiceId& service);

  // Spends one retry of the service's retry budget. Returns false if the budget
  // is used up.
  bool TrySpendRetry(MonotonicTime now, const ServiceId& service);

  // Chooses an available server that is not in `tried` and counts an attempt in
  // flight there. Returns nothing if there is no such server. `typical_latency`
  // is the latency of a typical server for the route.
  template <class Replica, RandomSource Random>
  std::optional<ServerIndex> PlaceAttempt(MonotonicTime now,
                                          const ServiceId& service,
                                          Duration typical_latency,
                                          std::span<const ServerIndex> tried,
                                          const Replica& replica,
                                          Random& random);

  // Records the latency of a complete answer to a request of a route.
  void AddLatency(const RouteName& route, Duration latency);

  // The next three commands end an attempt that `PlaceAttempt` counted.
  // `typical_latency` is zero if it is unknown.
  void OnAnswer(MonotonicTime now,
                ServerIndex server,
                Duration latency,
                Duration typical_latency,
                const std::optional<ReportedLoad>& load);
  void OnFailure(MonotonicTime now, ServerIndex server, SendFailure failure);
  // The attempt was cancelled after `elapsed`.
  void OnCancelled(MonotonicTime now,
                   ServerIndex server,
                   Duration elapsed,
                   Duration typical_latency);

  // Records the outcome of an exchange that is not counted as in flight: a
  // probe, or an attempt that `OnCancelled` has ended before. `was_answered` is
  // false if the server did not answer in the time `elapsed`.
  void OnUncountedOutcome(MonotonicTime now,
                          ServerIndex server,
                          Duration elapsed,
                          Duration typical_latency,
                          bool was_answered);

  // Applies what a server said about itself. Holds for this start of the
  // server, whatever the platform's list says.
  NoticeEffect ApplyNotice(MonotonicTime now,
                           ServerIndex server,
                           const ServerNotice& notice);

  // Records whether an entry VM in a data centre answered. An answer shows that
  // the data centre is reachable. Several failures in a row without one cause
  // probes, because the entry VMs may only be slow.
  void OnPeerOutcome(MonotonicTime now,
                     const DataCentreId& data_centre,
                     bool was_answered);

  // Returns the servers to probe: one of each data centre that is cut off,
  // because without requests only a probe shows that it is reachable again, and
  // several of each one whose entry VMs have failed to answer.
  std::vector<ServerIndex> TakeProbeTargets(MonotonicTime now);

  // Queries.

  // The server as last listed by the platform. The reference is valid until the
  // next command.
  const ListedServer& ListedServerAt(ServerIndex server) const;
  // True if the server is listed and does not drain.
  bool IsUsable(ServerIndex server) const;
  // The quantile of the latencies of a route's recent answers from backend
  // servers. Returns nothing while there are too few answers.
  std::optional<Duration> LatencyQuantile(const RouteName& route,
                                          Fraction quantile) const;
  // True if at least one server of the service can get an attempt now. A server
  // that is held back as possibly cold counts if this entry VM may send to it.
  bool HasAvailableServer(MonotonicTime now, const ServiceId& service) const;
  // The time at which the first pause of the service's usable servers ends, or
  // `now` if one of them is not paused. Returns nothing if no server is usable.
  std::optional<MonotonicTime> FirstPauseEnd(MonotonicTime now,
                                             const ServiceId& service) const;
  // As `HasAvailableServer`, but counts only servers in data centres that are
  // not cut off.
  bool HasAnsweringServer(MonotonicTime now, const ServiceId& service) const;
  // True if the service has usable servers, and all of them are in evacuated
  // data centres.
  bool IsWhollyEvacuated(const ServiceId& service) const;
  // Returns for each data centre which of the services have servers there. A
  // data centre that is cut off has none that is available. Evacuated data
  // centres are left out, and servers that are held back as possibly cold are
  // not available, because an aggregator may not be allowed to use them.
  std::vector<DataCentreServices> ServicesByDataCentre(
      MonotonicTime now,
      std::span<const ServiceId> requested_services) const;
  // The server of the service with this id. Absent if no such server is listed.
  std::optional<ServerIndex> FindServer(const ServiceId& service,
                                        const BackendServerId& server) const;
  // True if at least one data centre is cut off, which means that none of its
  // servers answers.
  bool HasCutOffDataCentre(MonotonicTime now) const;
  // The number of usable servers that are held back as possibly cold.
  std::size_t CountHeldBack(MonotonicTime now) const;
  // The number of servers that were ever listed. A restarted server counts as
  // another one.
  std::size_t size() const { return this->servers.size(); }

  static constexpr std::size_t kMaxColdChanges = 16;

 private:
  struct Server {
    explicit Server(MonotonicTime now)
        : observations(now), unanswered_since(now) {}

    ListedServer listed;
    bool is_listed = false;
    // True if the server is listed and does not drain.
    bool is_usable = false;
    // True if the data centre of the server is evacuated.
    bool is_evacuated = false;
    std::uint32_t in_flight = 0;
    ServerObservations observations;
    // The number of running and waiting requests that the server reported last.
    std::uint32_t reported_load = 0;
    // The slowdown of the server's machine as the server reported it last.
    double reported_slowdown = 1;
    MonotonicTime reported_at{};
    // The time of the last answer, or the time at which the oldest attempt in
    // flight started if that is later.
    MonotonicTime unanswered_since;
    MonotonicTime usable_since;
    // The time at which the server first said that it is about to stop.
    std::optional<MonotonicTime> leaving_since;
    // The end of the pause that the server asked for.
    MonotonicTime paused_until = MonotonicTime::min();
    // Invalid pauses are reported again from this time on.
    MonotonicTime next_invalid_report_at = MonotonicTime::min();
    ColdStatus cold;
  };

  struct Service {
    std::vector<ServerIndex> members;
    RetryBudget retry_budget;
    // The requests per second that a cold server can handle; 0 if there is no
    // limit.
    RatePerSecond cold_rate;

    bool is_limited() const { return this->cold_rate.value() > 0; }
  };

  // The observations that show whether a data centre is cut off.
  struct DataCentre {
    MonotonicTime last_answer_at;
    // The number of attempts that ended unanswered since `last_answer_at`.
    std::uint32_t unanswered_attempts = 0;
    // The failures of entry VMs since `last_answer_at` or the last probes.
    std::uint32_t peer_failures = 0;
    MonotonicTime next_probe_at;
  };

  // Identifies one start of a server.
  struct ServerKey {
    BackendServerId server;
    std::int64_t started_at_ms = 0;

    bool operator==(const ServerKey&) const = default;
  };

  struct ServerKeyHash {
    std::size_t operator()(const ServerKey& key) const {
      return std::hash<BackendServerId>()(key.server) ^
             static_cast<std::size_t>(key.started_at_ms);
    }
  };

  // A data centre is cut off after this many consecutive unanswered attempts,
  // if in addition none of its servers has answered for `kCutOffAfter`.
  static constexpr std::uint32_t kCutOffAttempts = 4;
  static constexpr Duration kCutOffAfter = std::chrono::milliseconds(300);
  // A server that is about to stop gets requests for this long if no other one
  // is left. The list usually shows its successor by then.
  static constexpr Duration kLeavingUseTime = std::chrono::milliseconds(500);
  static constexpr Duration kInvalidPauseReportInterval =
      std::chrono::minutes(1);
  // The random part of a pause, relative to its length.
  static constexpr double kPauseJitter = 0.25;
  // A longer pause has the random part of one of this length.
  static constexpr Duration kMaxJitteredPause = std::chrono::seconds(8);
  // The size of the histograms in the latency digest of each route, in samples.
  static constexpr std::uint32_t kSamplesPerHistogram = 512;
  // Connections to servers that may have returned, each time.
  static constexpr std::size_t kMaxReturnProbes = 8;

  Server& ServerAt(ServerIndex server);
  const Server& ServerAt(ServerIndex server) const;
  bool IsCutOff(MonotonicTime now, const DataCentreId& data_centre) const;
  // True if the server is usable, its data centre is not evacuated, and it has
  // not said too long ago that it is about to stop.
  static bool IsStaying(MonotonicTime now, const Server& server);
  // True if the server is usable, not blocked or paused, and its data centre
  // either is not cut off or is due for a probe.
  bool IsAvailable(MonotonicTime now, const Server& server) const;
  // Why the server is held back as possibly cold; `kNone` if it is not.
  ColdReason HeldBackFor(MonotonicTime now,
                         const Service& service,
                         const Server& server) const;
  // As above, and `kNone` if the server is not usable.
  ColdReason HeldBackFor(MonotonicTime now, const Server& server) const;
  // True if the server is available and not held back.
  bool IsWarm(MonotonicTime now,
              const Service& service,
              const Server& server) const;
  // True if the server is available and this entry VM may send to it, although
  // it is held back.
  bool MayUseCold(MonotonicTime now,
                  const Service& service,
                  const Server& server) const;
  bool HasWarmServer(MonotonicTime now, const Service& service) const;
  // Counts an unanswered attempt for the data centre of the server.
  void CountUnanswered(const Server& server);
  // The data centre is not cut off any more. Clears the failures and blocks of
  // all its servers, which may be cold.
  void OnDataCentreReturned(MonotonicTime now, const DataCentreId& data_centre);
  void RecordAnswer(MonotonicTime now, Server& server);
  void RecordDataCentreAnswer(MonotonicTime now, const DataCentreId& id);
  ServerIndex AddOrUpdateServer(MonotonicTime now, const ListedServer& listed);
  ServerView MakeView(MonotonicTime now,
                      ServerIndex index,
                      const Server& server,
                      Duration typical_latency) const;
  void CollectCandidates(MonotonicTime now,
                         const Service& service,
                         Duration typical_latency,
                         std::span<const ServerIndex> tried);
  void CountAttempt(MonotonicTime now,
                    const Service& service,
                    ServerIndex server);
  void EndAttempt(Server& server);
  Duration PauseJitter(Duration pause);

  DirectorySettings settings;
  Fraction retry_budget_share{0};
  EvacuatedDataCentres evacuated;
  SeededRandom jitter;
  ColdSenders cold_senders;
  // Sends to servers that were held back, since the last report.
  std::uint64_t cold_sends = 0;
  // The position from which the next call of `TakeReturnProbes` looks.
  std::size_t next_return_probe = 0;
  // True after the first listing. The servers of the first one may have been
  // running for long.
  bool has_listing = false;
  // `servers[i - 1]` is the server with index i.
  std::vector<Server> servers;
  std::unordered_map<ServerKey, ServerIndex, ServerKeyHash> index_by_key;
  std::unordered_map<ServiceId, Service> services;
  std::unordered_map<RouteName, LatencyDigest> latencies_by_route;
  std::unordered_map<DataCentreId, DataCentre> data_centres;
  // Used only during `PlaceAttempt`. It is a member to reuse its memory.
  std::vector<ServerView> candidates;
};

template <class Replica, RandomSource Random>
std::optional<ServerIndex> BackendDirectory::PlaceAttempt(
    MonotonicTime now,
    const ServiceId& service,
    Duration typical_latency,
    std::span<const ServerIndex> tried,
    const Replica& replica,
    Random& random) {
  const auto found = this->services.find(service);
  if (found == this->services.end()) {
    return std::nullopt;
  }
  this->CollectCandidates(now, found->second, typical_latency, tried);
  if (this->candidates.empty()) {
    return std::nullopt;
  }
  const std::optional<ServerIndex> chosen =
      replica.Choose(this->candidates, random);
  if (chosen) {
    this->CountAttempt(now, found->second, *chosen);
  }
  return chosen;
}

}  // namespace marigold

#endif  // SRC_POLICY_BACKEND_DIRECTORY_H_
