#include "tools/load/load_run.h"

#include <fmt/format.h>

#include <memory>
#include <utility>
#include <variant>

namespace marigold {

namespace {

// Appends the number of sub-requests that the backend servers received, their
// ratio to the `primary` ones that the answers need at least, and the counters
// of the stand-in.
void AddServerLoad(const Counters& before,
                   const Counters& after,
                   std::uint64_t primary,
                   Duration duration,
                   Metrics& metrics) {
  const Counters counted = Difference(before, after);
  const double received = counted.at("searches");
  metrics.push_back({"sub_requests", received});
  metrics.push_back({"sub_requests_per_s", received / ToSeconds(duration)});
  if (primary > 0) {
    metrics.push_back(
        {"extra_load", received / static_cast<double>(primary) - 1});
  }
  for (const auto& [name, value] : counted) {
    // The difference of two maxima has no meaning, so a maximum is reported as
    // it is, over the whole lifetime of the stand-in.
    const bool is_maximum = name.starts_with("most_");
    metrics.push_back({"standin." + name, is_maximum ? after.at(name) : value});
  }
}

void AddProcessorTime(Duration spent, Duration duration, Metrics& metrics) {
  metrics.push_back(
      {"entry_cpu_cores", ToSeconds(spent) / ToSeconds(duration)});
  const double received = FindMetric(metrics, "sub_requests").value_or(0);
  if (received > 0) {
    metrics.push_back({"entry_cpu_us_per_sub_request",
                       static_cast<double>(spent.count()) / received});
  }
}

void AddObserved(const Observation& before,
                 const Observation& after,
                 std::uint64_t primary,
                 Duration duration,
                 Metrics& metrics) {
  metrics.push_back({"primary_sub_requests", static_cast<double>(primary)});
  if (before.standin && after.standin) {
    AddServerLoad(*before.standin, *after.standin, primary, duration, metrics);
  }
  if (before.entry_time && after.entry_time) {
    AddProcessorTime(*after.entry_time - *before.entry_time, duration, metrics);
  }
  for (const auto& [name, value] : Difference(before.entries, after.entries)) {
    metrics.push_back({"entry." + name, value});
  }
}

// Sends the requests of `kind`, waits for their outcomes and returns all
// metrics except those about violations.
template <LoadKind Kind>
LoadReport RunKind(WorkerPool& pool,
                   const LoadRunSettings& settings,
                   const std::shared_ptr<Kind>& kind) {
  const Observation before = TakeObservation(pool, settings.targets);
  const auto runner = std::make_shared<LoadRunner<Kind>>(
      pool, settings.balancer, settings.pace, kind);
  runner->Start();
  const bool all_ended = runner->Wait();
  const Observation after = TakeObservation(pool, settings.targets);
  LoadReport report;
  const auto requests = static_cast<double>(runner->request_count());
  report.metrics.push_back({"requests", requests});
  if (!all_ended) {
    kind->tally().OnViolation(
        RequestId("run"),
        {fmt::format("an outcome for {} requests", requests),
         fmt::format("outcomes for {} requests", kind->tally().ended())});
  }
  const LoadPace& pace = settings.pace;
  for (Metric& metric : kind->tally().Summary(pace.duration - pace.warmup)) {
    report.metrics.push_back(std::move(metric));
  }
  AddObserved(before, after, kind->tally().primary_sub_requests(),
              pace.duration, report.metrics);
  return report;
}

void AddViolations(const LoadTally& tally, LoadReport& report) {
  report.metrics.push_back(
      {"violations", static_cast<double>(tally.violation_count())});
  report.violations = tally.Violations();
}

void CompareWithActionRecord(WorkerPool& pool,
                             const LoadRunSettings& settings,
                             ActionKind& kind,
                             Metrics& metrics) {
  const auto text = FetchText(pool, *settings.targets.standin, "/v1/actions");
  const auto record = Capture<std::vector<RecordedExecution>>(
      [&] { return ParseActionRecord(text.value_or("")); });
  if (const auto* executions =
          std::get_if<std::vector<RecordedExecution>>(&record)) {
    kind.CompareWithRecord(*executions, metrics);
  } else {
    kind.tally().OnViolation(
        RequestId("record"),
        {"the stand-in's action record", text.value_or("no response")});
  }
}

}  // namespace

LoadReport RunSearches(WorkerPool& pool, const LoadRunSettings& settings) {
  const auto kind = std::make_shared<SearchKind>(settings.requests);
  LoadReport report = RunKind(pool, settings, kind);
  AddViolations(kind->tally(), report);
  return report;
}

LoadReport RunActions(WorkerPool& pool, const LoadRunSettings& settings) {
  const auto kind =
      std::make_shared<ActionKind>(settings.requests, settings.action_sends);
  LoadReport report = RunKind(pool, settings, kind);
  CompareWithActionRecord(pool, settings, *kind, report.metrics);
  AddViolations(kind->tally(), report);
  return report;
}

}  // namespace marigold
