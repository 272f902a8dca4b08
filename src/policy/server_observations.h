#ifndef SRC_POLICY_SERVER_OBSERVATIONS_H_
#define SRC_POLICY_SERVER_OBSERVATIONS_H_

#include <cstdint>
#include <optional>
#include <utility>

#include "src/core/units.h"

namespace marigold {

// What one entry VM observed of one start of a backend server: how slow it is,
// how often it fails, and until when it is left alone. Not synchronised.
class ServerObservations {
 public:
  explicit ServerObservations(MonotonicTime now) : slowness_at(now) {}

  // Commands.

  // An attempt took `elapsed`, or more; `typical_latency` is the latency of a
  // typical server, above 0.
  void AddLatency(MonotonicTime now,
                  Duration elapsed,
                  Duration typical_latency);
  // An attempt that nobody waits for has taken `elapsed` so far.
  void AddLatencyLowerBound(MonotonicTime now,
                            Duration elapsed,
                            Duration typical_latency);
  void AddOutcome(MonotonicTime now, bool has_failed);
  // The server has answered; it is not left alone any more.
  void OnAnswer();
  // Lets the server alone for a while that doubles each time.
  void BackOff(MonotonicTime now);
  // As `BackOff`, also if no other server is left.
  void Block(MonotonicTime now);
  void BlockFor(MonotonicTime now, Duration time);
  void AvoidFor(MonotonicTime now, Duration time);
  // An attempt was never answered. One answer may be lost on the way; the next
  // time the server is blocked.
  void OnUnanswered(MonotonicTime now);
  // Takes what another entry VM found.
  void ApplyHint(MonotonicTime now, double slowness);
  // Forgets why the server was not used.
  void ClearFailures();
  // True once after slow attempts that no pause explains.
  bool TakeHintDue() { return std::exchange(this->is_hint_due, false); }

  // Queries.

  // Latency over the typical one; 1 is typical.
  double Slowness(MonotonicTime now) const;
  // Share of the recent attempts that failed.
  double FailureRate(MonotonicTime now) const;
  // Used only if no other server is left.
  bool IsAvoided(MonotonicTime now) const { return now < this->avoid_until; }
  // Not used at all: nothing listens at its address, or another server does.
  bool IsBlocked(MonotonicTime now) const { return now < this->blocked_until; }

 private:
  double slowness = 1;
  MonotonicTime slowness_at;
  // When the first slow attempt after the last ordinary one began.
  std::optional<MonotonicTime> slow_since;
  bool is_hint_due = false;
  double failure_rate = 0;
  MonotonicTime failure_rate_at;
  MonotonicTime avoid_until = MonotonicTime::min();
  MonotonicTime blocked_until = MonotonicTime::min();
  Duration backoff{};
  // Attempts without any answer since the last one.
  std::uint32_t consecutive_unanswered = 0;
};

}  // namespace marigold

#endif  // SRC_POLICY_SERVER_OBSERVATIONS_H_
