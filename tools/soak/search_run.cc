#include "tools/soak/search_run.h"

#include <fmt/format.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>

#include "src/queries/run_search.h"
#include "tools/soak/search_world.h"

namespace marigold {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kRunTime = seconds(12);
constexpr Duration kSettleTime = seconds(2);
constexpr Duration kDeadline = milliseconds(300);
constexpr std::int64_t kLongestGapMicros = 8'000;
constexpr std::uint64_t kServiceMicros = 8'000;
constexpr double kStragglerPart = 0.02;
constexpr std::uint64_t kStragglerFactor = 20;

// Carries attempts to the fake servers. Satisfies `SearchTransport`.
class FakeTransport {
 public:
  explicit FakeTransport(SearchWorld& search_world) : world(search_world) {}

  void Send(const SendAttempt& attempt,
            const std::string& query,
            std::function<void(AttemptOutcome)> on_outcome) {
    this->live.emplace(attempt.attempt, std::move(on_outcome));
    const Duration arrival(300);
    this->world.events().After(
        arrival, [this, attempt, query] { this->Arrive(attempt, query); });
  }

  bool Cancel(const CancelAttempt& cancel) {
    return this->live.erase(cancel.attempt) > 0;
  }

  VirtualTimer After(Duration delay, std::function<void()> task) {
    return VirtualTimer(this->world.events(), delay, std::move(task));
  }

 private:
  void Arrive(const SendAttempt& attempt, const std::string& query) {
    auto outcome = this->world.Serve(attempt, query);
    if (!outcome) {
      this->world.events().At(attempt.deadline, [this, attempt] {
        this->Report(attempt, AttemptFailure::kTimeout);
      });
      return;
    }
    const bool replies = std::holds_alternative<SubResponse>(*outcome);
    this->world.events().After(replies ? this->ServiceTime() : Duration(500),
                               [this, attempt, outcome = std::move(*outcome)] {
                                 this->Report(attempt, outcome);
                               });
  }

  Duration ServiceTime() {
    std::uint64_t micros =
        kServiceMicros / 4 + this->world.random().NextBelow(kServiceMicros);
    if (this->world.random().NextDouble() < kStragglerPart) {
      micros *= kStragglerFactor;
    }
    return Duration(static_cast<std::int64_t>(micros));
  }

  void Report(const SendAttempt& attempt, AttemptOutcome outcome) {
    auto* response = std::get_if<SubResponse>(&outcome);
    FakeSearcher& searcher = this->world.SearcherOf(attempt.server);
    const auto position = this->live.find(attempt.attempt);
    if (position == this->live.end()) {
      // Cancelled: the reply comes late and belongs to nobody.
      if (response != nullptr) {
        searcher.late_reply = response->reply;
      }
      return;
    }
    if (this->world.plant() == Plant::kForeignReplyTaken &&
        response != nullptr && searcher.late_reply) {
      response->reply.matches = searcher.late_reply->matches;
      searcher.late_reply.reset();
    }
    const auto on_outcome = std::move(position->second);
    this->live.erase(position);
    on_outcome(std::move(outcome));
  }

  SearchWorld& world;
  std::map<AttemptId, std::function<void(AttemptOutcome)>> live;
};

// Starts searches and checks their answers.
class SearchTraffic {
 public:
  explicit SearchTraffic(SearchWorld& search_world)
      : world(search_world),
        transport(search_world),
        clock(search_world.events()) {}

  void Next() {
    if (this->world.events().now().time_since_epoch() >= kRunTime) {
      return;
    }
    this->StartSearch();
    const auto gap = static_cast<std::int64_t>(
        this->world.random().NextBelow(kLongestGapMicros));
    this->world.events().After(Duration(gap), [this] { this->Next(); });
  }

  std::uint64_t started() const { return this->searches; }
  std::uint64_t ended() const { return this->outcomes; }

 private:
  void StartSearch() {
    SearchRequest request;
    request.request = RequestId(fmt::format("request-{}", ++this->searches));
    request.service = ServiceId("lookup");
    request.query = fmt::format("query-{}", this->searches);
    request.deadline = kDeadline;
    DefaultPolicy policy;
    policy.preference = this->world.random().NextBelow(2) == 0
                            ? Preference::kTail
                            : Preference::kCoverage;
    auto search = std::make_shared<RunningSearch<FakeTransport, VirtualClock>>(
        request, this->world.table(), this->transport, this->clock, policy,
        this->world.random().Next(),
        [this, query = request.query](const SearchOutcome& outcome) {
          ++this->outcomes;
          if (const auto* answer = std::get_if<SearchAnswer>(&outcome)) {
            this->world.CheckAnswer(query, *answer);
          }
        });
    search->Start();
    this->world.events().After(kDeadline + kSettleTime, [search] {});
  }

  SearchWorld& world;
  FakeTransport transport;
  VirtualClock clock;
  std::uint64_t searches = 0;
  std::uint64_t outcomes = 0;
};

}  // namespace

RunResult RunSearches(std::uint64_t seed, Plant plant) {
  (void)TakeThreadViolations();
  SearchWorld world(seed, plant);
  SearchTraffic traffic(world);
  world.Start(MonotonicTime(kRunTime));
  traffic.Next();
  world.events().RunUntil(MonotonicTime(kRunTime + kSettleTime * 2));
  if (traffic.ended() != traffic.started()) {
    world.judge().Report(Invariant::kOwnAnswer,
                         fmt::format("{} of {} searches had an outcome",
                                     traffic.ended(), traffic.started()));
  }
  RunResult result;
  result.faults = "servers";
  result.violations = world.judge().violations();
  for (std::string& text : TakeThreadViolations()) {
    result.violations.push_back(std::move(text));
  }
  result.searches = traffic.ended();
  return result;
}

}  // namespace marigold
