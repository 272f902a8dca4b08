#ifndef TOOLS_LOAD_OBSERVERS_H_
#define TOOLS_LOAD_OBSERVERS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/core/settings_values.h"
#include "src/core/units.h"
#include "src/net/worker_pool.h"

namespace marigold {

// Counters by name.
using Counters = std::map<std::string, double>;

// The body of a GET call, or nothing. Blocks for at most about a second, so it
// is not called on the pool.
std::optional<std::string> FetchText(WorkerPool& pool,
                                     const Endpoint& endpoint,
                                     std::string_view path);

// The stand-in's counters of one service; nothing if the text is not what
// `GET /v1/counters` gives.
std::optional<Counters> ParseStandinCounters(std::string_view text,
                                             std::string_view service);

// The counters among Prometheus metrics: the lines whose name ends with
// "_total", each with its labels.
Counters ParsePrometheusCounters(std::string_view text);

// What `after` counted since `before`, by name.
Counters Difference(const Counters& before, const Counters& after);

// Processor time of a process so far; nothing if it does not exist.
std::optional<Duration> ProcessorTime(std::int64_t pid);

// What is observed around a run. Absent parts were not asked for, or failed.
struct Observation {
  std::optional<Counters> standin;
  Counters entries;
  std::optional<Duration> entry_time;
};

struct ObservationTargets {
  std::optional<Endpoint> standin;
  std::string service;
  std::vector<Endpoint> entries;
  std::vector<std::int64_t> entry_pids;
};

Observation TakeObservation(WorkerPool& pool,
                            const ObservationTargets& targets);

}  // namespace marigold

#endif  // TOOLS_LOAD_OBSERVERS_H_
