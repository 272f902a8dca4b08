#ifndef SRC_TABLES_ENTRY_GAUGES_H_
#define SRC_TABLES_ENTRY_GAUGES_H_

#include <prometheus/metric_family.h>

#include <vector>

#include "src/policy/entry_state.h"

namespace marigold {

// Appends the metrics that are read from the current state, and not counted by
// `EntryMetrics`.
void AppendGauges(const EntryState& state,
                  std::vector<prometheus::MetricFamily>& families);

// Appends the ratio of other attempts, which are retries, hedges and trials, to
// primary attempts. It is 0 before the first primary attempt.
void AppendExtraLoad(double primary_attempts,
                     double other_attempts,
                     std::vector<prometheus::MetricFamily>& families);

}  // namespace marigold

#endif  // SRC_TABLES_ENTRY_GAUGES_H_
