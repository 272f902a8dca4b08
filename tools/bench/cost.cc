#include "tools/bench/cost.h"

#include <algorithm>
#include <string>
#include <variant>
#include <vector>

#include "src/core/clock.h"
#include "src/policy/search.h"
#include "tools/bench/entry_vm.h"
#include "tools/bench/fake_backends.h"

namespace marigold {

namespace {

constexpr std::uint64_t kMeasuredSubRequests = 2'000'000;

// Runs one search from its start to its answer. All replies have the same
// latency in virtual time and arrive immediately in real time.
class TimedSearch {
 public:
  using SearchType = Search<Fleet, DefaultPolicy, SeededRandom, AttemptCounter>;

  TimedSearch(Fleet& search_fleet, MonotonicTime start)
      : fleet(search_fleet), now(start) {}

  std::uint64_t Run(SearchType& search) {
    constexpr Duration kLatency = std::chrono::milliseconds(5);
    const std::vector<SearchStep> steps = search.Start(this->now);
    for (const SearchStep& step : steps) {
      if (const auto* attempt = std::get_if<SendAttempt>(&step)) {
        this->fleet.OnDispatch(this->now, attempt->server);
        this->sent.push_back(*attempt);
      }
    }
    this->now += kLatency;
    for (const SendAttempt& attempt : this->sent) {
      LoadReport report;
      report.load = 1;
      this->fleet.OnReply(this->now, attempt.server, kLatency, report);
      search.OnReply(this->now, {attempt.attempt,
                                 attempt.snapshot,
                                 attempt.shard,
                                 {{"id", 1, "text"}}});
    }
    return this->sent.size();
  }

 private:
  Fleet& fleet;
  MonotonicTime now;
  std::vector<SendAttempt> sent;
};

}  // namespace

DecisionCost MeasureDecisionCost(const Deployment& deployment) {
  const SystemClock clock;
  const ServiceTimes times(deployment.service_time, Fraction(0));
  FakeBackends backends(deployment, Fraction(0), times, 1);
  Fleet fleet;
  MonotonicTime now;
  fleet.UpdateRecords(now, backends.Records());
  for (std::size_t i = 0; i < backends.members().size(); ++i) {
    fleet.UpdateStatus(now, ServerIndex(i + 1),
                       backends.members()[i].server->Status(now));
  }
  SeededRandom random(1);
  AttemptCounter attempt_ids;
  SearchRequest request;
  request.service = ServiceId(std::string(deployment.service));
  request.deadline = deployment.deadline;
  DecisionCost cost;
  Duration longest{};
  const MonotonicTime begin = clock.Now();
  while (cost.sub_requests < kMeasuredSubRequests) {
    now += std::chrono::milliseconds(8);
    TimedSearch::SearchType search(request, fleet, DefaultPolicy(), random,
                                   attempt_ids);
    const MonotonicTime started = clock.Now();
    cost.sub_requests += TimedSearch(fleet, now).Run(search);
    longest = std::max(longest, clock.Now() - started);
  }
  const Duration spent = clock.Now() - begin;
  cost.ns_per_sub_request = static_cast<double>(spent.count()) * 1000 /
                            static_cast<double>(cost.sub_requests);
  cost.longest_search_us = static_cast<double>(longest.count());
  return cost;
}

}  // namespace marigold
