#ifndef SRC_TABLES_ENTRY_METRICS_H_
#define SRC_TABLES_ENTRY_METRICS_H_

#include <memory>
#include <string>

#include "src/core/units.h"
#include "src/core/verdict.h"
#include "src/policy/entry_state.h"
#include "src/policy/search_types.h"

namespace marigold {

enum class RequestKind { kSearch, kAction };

// Stable text for logs and metric labels, such as "search".
std::string_view ToString(RequestKind kind);

// Counters and histograms of an entry process, shared by all workers.
class EntryMetrics {
 public:
  EntryMetrics();
  ~EntryMetrics();

  EntryMetrics(const EntryMetrics&) = delete;
  EntryMetrics& operator=(const EntryMetrics&) = delete;

  // Commands.

  void OnAnswer(RequestKind kind, Duration latency);
  void OnRefusal(RequestKind kind, const Refusal& refusal, Duration latency);
  void OnCoverage(Fraction coverage);

  void OnSearchAttempt(AttemptKind kind);
  void OnActionAttempt();
  void OnAttemptReply(Duration latency);
  void OnAttemptFailure(AttemptFailure failure);
  void OnAttemptCancelled();

  // Queries.

  // All metrics in the Prometheus text format; gauges come from `state`.
  std::string Render(const EntryState& state) const;

  struct Impl;

 private:
  std::unique_ptr<Impl> impl;
};

}  // namespace marigold

#endif  // SRC_TABLES_ENTRY_METRICS_H_
