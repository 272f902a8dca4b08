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
#include "src/policy/latency_digest.h"
#include "src/policy/listing.h"
#include "src/policy/replica_choice.h"
#include "src/policy/retry_budget.h"
#include "src/policy/search_types.h"
#include "src/policy/server_hint.h"
#include "src/policy/server_observations.h"
#include "src/policy/server_view.h"

namespace marigold {

// How an attempt at a backend server failed.
enum class SendFailure {
  // A connection was refused; nothing was sent.
  kNotConnected,
  // No connection was opened in time; nothing was sent.
  kUnreachable,
  // The server said that it did not run the request.
  kNotExecuted,
  // The server is another one than expected; nothing ran.
  kOtherServer,
  // The connection ended without a whole answer.
  kConnectionLost,
  // The answer is malformed or belongs to another request.
  kBadAnswer,
  // The server answered with a failure of its own.
  kServerError,
  // No answer within the time that the attempt had.
  kTimeout,
};

// Stable text for logs, such as "not_executed".
std::string_view ToString(SendFailure failure);

// True if the request surely did not run.
bool CertainlyDidNotRun(SendFailure failure);

// Requests that a backend server says it has, running and waiting.
struct ReportedLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
};

struct DirectorySettings {
  DataCentreId data_centre;
  RetryBudgetSettings retries;
};

// What one entry process knows of the listed backend servers that say little of
// themselves: the list, and what this process observed. Not synchronised.
class BackendDirectory {
 public:
  explicit BackendDirectory(DirectorySettings directory_settings)
      : settings(std::move(directory_settings)) {}

  BackendDirectory(const BackendDirectory&) = delete;
  BackendDirectory& operator=(const BackendDirectory&) = delete;

  // Commands.

  // Takes a whole listing. Servers that are draining or gone get no new work;
  // returns those that have become so.
  std::vector<ServerIndex> ApplyListing(MonotonicTime now,
                                        std::span<const ListedServer> listed);

  void SetBudgetShare(Fraction entry_share) {
    this->budget_share = entry_share;
  }

  // The servers that were found slow since the last call. Nothing if that is
  // true of many: then this VM is slow itself.
  std::vector<ServerHint> TakeHints(MonotonicTime now);

  // Takes what other entry VMs found.
  void ApplyHints(MonotonicTime now, std::span<const ServerHint> hints);

  // Counts a request for a service.
  void OnRequest(MonotonicTime now, const ServiceId& service);

  // False if the service's retry budget is used up.
  bool TrySpendRetry(MonotonicTime now, const ServiceId& service);

  // Picks a server that was not tried and counts an attempt there.
  // `typical_latency` is the latency of a typical server.
  template <class Replica, RandomSource Random>
  std::optional<ServerIndex> PlaceAttempt(MonotonicTime now,
                                          const ServiceId& service,
                                          Duration typical_latency,
                                          std::span<const ServerIndex> tried,
                                          const Replica& replica,
                                          Random& random);

  // Takes the latency of a whole answer to a request of a route.
  void AddLatency(const RouteName& route, Duration latency);

  // Each ends an attempt that `PlaceAttempt` counted.
  void OnAnswer(MonotonicTime now,
                ServerIndex server,
                Duration latency,
                Duration typical_latency,
                const std::optional<ReportedLoad>& load);
  void OnFailure(MonotonicTime now, ServerIndex server, SendFailure failure);
  // Nobody waits for the answer any more after `elapsed`.
  void OnCancelled(MonotonicTime now,
                   ServerIndex server,
                   Duration elapsed,
                   Duration typical_latency);

  // An attempt that was cancelled before has been answered after `elapsed`, or
  // the server was found to be silent.
  void OnUncountedOutcome(MonotonicTime now,
                          ServerIndex server,
                          Duration elapsed,
                          Duration typical_latency,
                          bool was_answered);

  // Queries.

  // Valid until the next command.
  const ListedServer& ListedServerAt(ServerIndex server) const;
  bool IsUsable(ServerIndex server) const;
  // The latency below which this share of a route's answers arrive from backend
  // servers; nothing with too few answers.
  std::optional<Duration> LatencyQuantile(const RouteName& route,
                                          Fraction quantile) const;
  // True if some server of the service could get an attempt now.
  bool HasAvailableServer(MonotonicTime now, const ServiceId& service) const;
  // True if, besides, its data centre is not cut off.
  bool HasAnsweringServer(MonotonicTime now, const ServiceId& service) const;
  // One server of each data centre that is cut off. Without requests nothing
  // else shows that it has come back.
  std::vector<ServerIndex> ProbeTargets(MonotonicTime now) const;
  // True if some data centre does not answer.
  bool HasCutOffDataCentre(MonotonicTime now) const;
  std::size_t size() const { return this->servers.size(); }

 private:
  struct Server {
    explicit Server(MonotonicTime now)
        : observations(now), unanswered_since(now) {}

    ListedServer listed;
    bool is_usable = false;
    std::uint32_t in_flight = 0;
    ServerObservations observations;
    std::uint32_t reported_load = 0;
    MonotonicTime reported_at{};
    // The last answer, or when the oldest attempt without one began.
    MonotonicTime unanswered_since;
    MonotonicTime usable_since;
  };

  struct Service {
    std::vector<ServerIndex> members;
    RetryBudget retries;
  };

  // What shows that a data centre can't be reached.
  struct DataCentre {
    MonotonicTime last_answer;
    // Attempts without an answer since then.
    std::uint32_t unanswered_attempts = 0;
    MonotonicTime next_probe;
  };

  // Identifies a server's start.
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

  static constexpr std::uint32_t kLatencyWindow = 512;

  Server& ServerAt(ServerIndex server);
  const Server& ServerAt(ServerIndex server) const;
  bool IsCutOff(MonotonicTime now, const DataCentreId& data_centre) const;
  // True if the server may get an attempt.
  bool IsAvailable(MonotonicTime now, const Server& server) const;
  void CountUnanswered(const Server& server);
  // Forgets why the servers of a data centre were not used.
  void ClearDataCentreFailures(const DataCentreId& data_centre);
  void RecordAnswer(MonotonicTime now, Server& server);
  ServerIndex AddOrUpdateServer(MonotonicTime now, const ListedServer& listed);
  ServerView MakeView(MonotonicTime now,
                      ServerIndex index,
                      const Server& server,
                      Duration typical_latency) const;
  void CollectCandidates(MonotonicTime now,
                         const Service& service,
                         Duration typical_latency,
                         std::span<const ServerIndex> tried);
  void CountAttempt(MonotonicTime now, ServerIndex server);
  void EndAttempt(Server& server);

  DirectorySettings settings;
  Fraction budget_share{0};
  // The server of index i is at position i - 1.
  std::vector<Server> servers;
  std::unordered_map<ServerKey, ServerIndex, ServerKeyHash> index_by_key;
  std::unordered_map<ServiceId, Service> services;
  std::unordered_map<RouteName, LatencyDigest> latencies_by_route;
  std::unordered_map<DataCentreId, DataCentre> data_centres;
  // Used only during `PlaceAttempt`; kept to reuse its memory.
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
    this->CountAttempt(now, *chosen);
  }
  return chosen;
}

}  // namespace marigold

#endif  // SRC_POLICY_BACKEND_DIRECTORY_H_
