#ifndef SRC_POLICY_SERVER_OBSERVATIONS_H_
#define SRC_POLICY_SERVER_OBSERVATIONS_H_

#include <cstdint>
#include <optional>
#include <utility>

#include "src/core/units.h"

namespace marigold {

// The observations of one entry VM about one start of a backend server: its
// latency relative to other servers, its failure rate, and the times until
// which it is avoided or blocked. Not synchronised.
class ServerObservations {
 public:
  explicit ServerObservations(MonotonicTime now) : slowness_updated_at(now) {}

  // Commands.

  // Records that an attempt took `elapsed`, or at least that long if it was not
  // answered. `typical_latency` is the latency of a typical server and above 0.
  void AddLatency(MonotonicTime now,
                  Duration elapsed,
                  Duration typical_latency);
  // Records that an attempt was cancelled after `elapsed`. Ignored unless its
  // latency, which is at least `elapsed`, exceeds the known latency of the
  // server.
  void AddLatencyLowerBound(MonotonicTime now,
                            Duration elapsed,
                            Duration typical_latency);
  // Records whether an attempt failed.
  void AddOutcome(MonotonicTime now, bool has_failed);
  // Records an answer, which ends the back-off of the server.
  void OnAnswer();
  // Avoids the server for a time that doubles with each call since the last
  // answer.
  void BackOff(MonotonicTime now);
  // As `BackOff`, but the server is not used even if no other one is left.
  void Block(MonotonicTime now);
  void BlockFor(MonotonicTime now, Duration time);
  void AvoidFor(MonotonicTime now, Duration time);
  // Records an attempt that was never answered. The network may lose a single
  // answer, so the server is blocked only from the second consecutive call on.
  void OnUnanswered(MonotonicTime now);
  // Applies the slowness that another entry VM reported, if it is higher than
  // the observed one.
  void ApplyHint(MonotonicTime now, double slowness);
  // Clears back-off, block and failure rate. The observed slowness stays.
  void ClearFailures();
  // Returns whether the server has had slow attempts since the last call that a
  // pause of the server does not explain.
  bool TakeHintDue() { return std::exchange(this->is_hint_due, false); }

  // Queries.

  // The ratio of the server's latency to that of a typical server; 1 is
  // typical.
  double Slowness(MonotonicTime now) const;
  // The fraction of the recent attempts that failed.
  double FailureRate(MonotonicTime now) const;
  // True if the server may be used only if no other one is left.
  bool IsAvoided(MonotonicTime now) const { return now < this->avoid_until; }
  // True if the server must not be used, for example because nothing or another
  // server listens at its address.
  bool IsBlocked(MonotonicTime now) const { return now < this->blocked_until; }

 private:
  double slowness = 1;
  MonotonicTime slowness_updated_at;
  // The start of the first slow attempt after the last ordinary attempt.
  std::optional<MonotonicTime> slow_since;
  bool is_hint_due = false;
  double failure_rate = 0;
  MonotonicTime failure_rate_updated_at;
  MonotonicTime avoid_until = MonotonicTime::min();
  MonotonicTime blocked_until = MonotonicTime::min();
  Duration backoff{};
  // The number of attempts that were never answered since the last answer.
  std::uint32_t consecutive_unanswered = 0;
};

}  // namespace marigold

#endif  // SRC_POLICY_SERVER_OBSERVATIONS_H_
