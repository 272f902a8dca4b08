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

// Counter values by counter name.
using Counters = std::map<std::string, double>;

// Returns the body of a GET request, or nothing if it fails or the status is
// not 200. Blocks for up to one second each for the connection and the
// response, so it must not be called on a thread of the pool.
std::optional<std::string> FetchText(WorkerPool& pool,
                                     const Endpoint& endpoint,
                                     std::string_view path);

// Returns the stand-in's counters of one service from the body of
// `GET /v1/counters`, or nothing if `text` is not such a body.
std::optional<Counters> ParseStandinCounters(std::string_view text,
                                             std::string_view service);

// Returns the counters of a Prometheus exposition: the metrics whose name ends
// with "_total". The labels are part of the name.
Counters ParsePrometheusCounters(std::string_view text);

// Returns the increase of each counter of `after` since `before`. A counter
// that `before` does not have counts from zero.
Counters Difference(const Counters& before, const Counters& after);

// Returns the processor time that a process has used so far, in user and system
// mode, or nothing if the process does not exist.
std::optional<Duration> ProcessorTime(std::int64_t pid);

// The counters before or after a run. A part is absent if no target for it was
// given or it can't be read.
struct Observation {
  std::optional<Counters> standin;
  // The sums over all entry VMs.
  Counters entries;
  // The processor time of all entry processes together.
  std::optional<Duration> entry_time;
};

// The processes whose counters are read. `service` selects the counters of the
// stand-in.
struct ObservationTargets {
  std::optional<Endpoint> standin;
  std::string service;
  std::vector<Endpoint> entries;
  std::vector<std::int64_t> entry_pids;
};

// Reads the counters of all targets. Blocks, as `FetchText` does.
Observation TakeObservation(WorkerPool& pool,
                            const ObservationTargets& targets);

}  // namespace marigold

#endif  // TOOLS_LOAD_OBSERVERS_H_
