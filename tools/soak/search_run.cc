#include "tools/soak/search_run.h"

#include <fmt/format.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>

#include "src/queries/run_search.h"
#include "tools/soak/search_simulation.h"

namespace marigold {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kSearchesEnd = seconds(12);
constexpr Duration kSettleTime = seconds(2);
constexpr Duration kDeadline = milliseconds(300);
constexpr std::int64_t kMaxGapMicros = 8'000;
constexpr std::uint64_t kServiceMicros = 8'000;
constexpr double kStragglerProbability = 0.02;
constexpr std::uint64_t kStragglerFactor = 20;

// Delivers attempts to the fake servers and their replies to the search.
// Satisfies `SearchTransport`.
class FakeTransport {
 public:
  explicit FakeTransport(SearchSimulation& search_simulation)
      : simulation(search_simulation) {}

  void Send(const SendAttempt& attempt,
            const std::string& query,
            std::function<void(AttemptOutcome)> on_outcome) {
    this->in_flight.emplace(attempt.attempt, std::move(on_outcome));
    const Duration arrival(300);
    this->simulation.events().After(
        arrival, [this, attempt, query] { this->Arrive(attempt, query); });
  }

  bool Cancel(const CancelAttempt& cancel) {
    return this->in_flight.erase(cancel.attempt) > 0;
  }

  VirtualTimer After(Duration delay, std::function<void()> task) {
    return VirtualTimer(this->simulation.events(), delay, std::move(task));
  }

 private:
  void Arrive(const SendAttempt& attempt, const std::string& query) {
    auto outcome = this->simulation.HandleAttempt(attempt, query);
    if (!outcome) {
      this->simulation.events().At(attempt.deadline, [this, attempt] {
        this->Report(attempt, AttemptFailure::kTimeout);
      });
      return;
    }
    const bool replies = std::holds_alternative<SubResponse>(*outcome);
    this->simulation.events().After(
        replies ? this->ServiceTime() : Duration(500),
        [this, attempt, outcome = std::move(*outcome)] {
          this->Report(attempt, outcome);
        });
  }

  Duration ServiceTime() {
    std::uint64_t micros = kServiceMicros / 4 +
                           this->simulation.random().NextBelow(kServiceMicros);
    if (this->simulation.random().NextDouble() < kStragglerProbability) {
      micros *= kStragglerFactor;
    }
    return Duration(static_cast<std::int64_t>(micros));
  }

  void Report(const SendAttempt& attempt, AttemptOutcome outcome) {
    auto* response = std::get_if<SubResponse>(&outcome);
    FakeSearcher& searcher = this->simulation.SearcherOf(attempt.server);
    const auto position = this->in_flight.find(attempt.attempt);
    if (position == this->in_flight.end()) {
      // The attempt was cancelled, so no search waits for this late reply.
      if (response != nullptr) {
        searcher.late_reply = response->reply;
      }
      return;
    }
    if (this->simulation.planted_bug() == PlantedBug::kForeignReplyTaken &&
        response != nullptr && searcher.late_reply) {
      response->reply.matches = searcher.late_reply->matches;
      searcher.late_reply.reset();
    }
    const auto on_outcome = std::move(position->second);
    this->in_flight.erase(position);
    on_outcome(std::move(outcome));
  }

  SearchSimulation& simulation;
  std::map<AttemptId, std::function<void(AttemptOutcome)>> in_flight;
};

// Starts searches and checks their answers.
class SearchTraffic {
 public:
  explicit SearchTraffic(SearchSimulation& search_simulation)
      : simulation(search_simulation),
        transport(search_simulation),
        clock(search_simulation.events()) {}

  void StartNextSearch() {
    if (this->simulation.events().now().time_since_epoch() >= kSearchesEnd) {
      return;
    }
    this->StartSearch();
    const auto gap = static_cast<std::int64_t>(
        this->simulation.random().NextBelow(kMaxGapMicros));
    this->simulation.events().After(Duration(gap),
                                    [this] { this->StartNextSearch(); });
  }

  std::uint64_t started_searches() const { return this->search_count; }
  std::uint64_t finished_searches() const { return this->outcome_count; }

 private:
  void StartSearch() {
    SearchRequest request;
    request.request =
        RequestId(fmt::format("request-{}", ++this->search_count));
    request.service = ServiceId("lookup");
    request.query = fmt::format("query-{}", this->search_count);
    request.deadline = kDeadline;
    DefaultPolicy policy;
    policy.preference = this->simulation.random().NextBelow(2) == 0
                            ? Preference::kTail
                            : Preference::kCoverage;
    auto search = std::make_shared<RunningSearch<FakeTransport, VirtualClock>>(
        request, this->simulation.table(), this->transport, this->clock, policy,
        this->simulation.random().Next(),
        [this, query = request.query](const SearchOutcome& outcome) {
          ++this->outcome_count;
          if (const auto* answer = std::get_if<SearchAnswer>(&outcome)) {
            this->simulation.CheckAnswer(query, *answer);
          }
        });
    search->Start();
    this->simulation.events().After(kDeadline + kSettleTime, [search] {});
  }

  SearchSimulation& simulation;
  FakeTransport transport;
  VirtualClock clock;
  std::uint64_t search_count = 0;
  std::uint64_t outcome_count = 0;
};

}  // namespace

RunResult RunSearches(std::uint64_t seed, PlantedBug planted_bug) {
  (void)TakeThreadViolations();
  SearchSimulation simulation(seed, planted_bug);
  SearchTraffic traffic(simulation);
  simulation.Start(MonotonicTime(kSearchesEnd));
  traffic.StartNextSearch();
  simulation.events().RunUntil(MonotonicTime(kSearchesEnd + kSettleTime * 2));
  if (traffic.finished_searches() != traffic.started_searches()) {
    simulation.checker().ReportInvariant(
        Invariant::kOwnAnswer,
        fmt::format("{} of {} searches had an outcome",
                    traffic.finished_searches(), traffic.started_searches()));
  }
  RunResult result;
  result.faults = "servers";
  result.violations = simulation.checker().violations();
  for (std::string& text : TakeThreadViolations()) {
    result.violations.push_back(std::move(text));
  }
  result.searches = traffic.finished_searches();
  return result;
}

}  // namespace marigold
