#ifndef TOOLS_LOAD_LOAD_KINDS_H_
#define TOOLS_LOAD_LOAD_KINDS_H_

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "src/core/clock.h"
#include "src/core/ranked_mutex.h"
#include "src/net/http/http_client.h"
#include "tools/load/action_audit.h"
#include "tools/load/action_load_request.h"
#include "tools/load/load_request.h"
#include "tools/load/load_tally.h"

namespace marigold {

// The durations that are measured for one request.
struct RequestTiming {
  // From the intended send time to the outcome.
  Duration latency{};
  // From the actual send time to the outcome.
  Duration since_sent{};
  // True if the intended send time is within the warm-up of the run.
  bool is_warmup = false;
};

// A kind of requests: creates the requests of a run and checks their outcomes.
// `Next` is called by one thread at a time. `OnOutcome` may be called by
// several threads at once. It returns the requests to send because of this
// outcome, such as a resend.
template <class T>
concept LoadKind = requires(T& kind,
                            const typename T::Request& request,
                            const ExchangeOutcome& outcome,
                            const RequestTiming& timing) {
  { T::kPath } -> std::convertible_to<std::string_view>;
  { kind.Next() } -> std::same_as<typename T::Request>;
  { kind.Encode(request) } -> std::same_as<std::string>;
  {
    kind.OnOutcome(request, outcome, timing)
    } -> std::same_as<std::vector<typename T::Request>>;
  { kind.tally() } -> std::same_as<LoadTally&>;
};

// Sends searches. Each search is sent once.
class SearchKind {
 public:
  using Request = LoadRequest;

  static constexpr std::string_view kPath = "/v1/search";

  explicit SearchKind(const RequestPlan& plan);

  LoadRequest Next() { return this->source.Next(); }
  std::string Encode(const LoadRequest& request) const;
  std::vector<LoadRequest> OnOutcome(const LoadRequest& request,
                                     const ExchangeOutcome& outcome,
                                     const RequestTiming& timing);
  LoadTally& tally() { return this->outcomes; }

 private:
  RequestSource source;
  LoadTally outcomes;
};

// Sends actions. Each action is sent `sends_per_action` times with the same
// key, whatever the outcomes are. Each resend waits for the outcome of the
// request before it.
class ActionKind {
 public:
  using Request = ActionLoadRequest;

  static constexpr std::string_view kPath = "/v1/actions";

  ActionKind(const RequestPlan& plan, std::uint32_t send_count);

  ActionLoadRequest Next();
  std::string Encode(const ActionLoadRequest& action) const;
  std::vector<ActionLoadRequest> OnOutcome(const ActionLoadRequest& action,
                                           const ExchangeOutcome& outcome,
                                           const RequestTiming& timing);
  LoadTally& tally() { return this->outcomes; }

  // Compares the outcomes with the executions that the stand-in recorded,
  // counts the violations, and appends the metrics about keys to `metrics`.
  void CompareWithRecord(const std::vector<RecordedExecution>& executions,
                         Metrics& metrics);

 private:
  void OnResponse(const ActionLoadRequest& action,
                  const HttpResponse& response,
                  const RequestTiming& timing);

  RequestSource source;
  SystemClock clock;
  std::uint32_t sends_per_action;
  LoadTally outcomes;
  RankedMutex<LockRank::kLoadRun> mutex;
  ActionAudit audit;
};

static_assert(LoadKind<SearchKind> && LoadKind<ActionKind>);

}  // namespace marigold

#endif  // TOOLS_LOAD_LOAD_KINDS_H_
