#ifndef SRC_POLICY_SERVER_HEALTH_H_
#define SRC_POLICY_SERVER_HEALTH_H_

#include <cstdint>

#include "src/core/units.h"
#include "src/policy/search_types.h"
#include "src/policy/server_view.h"

namespace marigold {

// Tracks what this process observes of one backend server: its latency, whether
// it replies, how many attempts it accepts at a time and whether its load
// reports agree with its latency. Latencies are compared with
// `typical_latency`, the median latency of the service, which is zero if it is
// unknown.
class ServerHealth {
 public:
  // Commands.

  // An attempt was sent. `other_attempts` is the number of attempts that were
  // already in flight at the server.
  void OnDispatch(MonotonicTime now,
                  std::uint32_t other_attempts,
                  Duration typical_latency);

  void OnReply(MonotonicTime now, Duration latency, Duration typical_latency);

  // Compares a load report with the latency of the reply that carried it.
  // `relative_load` is the reported load relative to the mean load of the
  // service's servers.
  void OnReport(double relative_load,
                Duration latency,
                Duration typical_latency);

  // An attempt has been without a reply for the hedge delay.
  void OnSlowAttempt(MonotonicTime now);

  void OnFailure(MonotonicTime now, AttemptFailure failure);

  // The server replied to a status call, so it accepts connections.
  void OnStatus();

  // A trial was sent to a suspect server.
  void OnTrial(MonotonicTime now);

  // Discards all observations, because a new process serves the address.
  void Reset();

  // Queries.

  // True if the server is to be avoided unless no other one is usable.
  bool IsSuspect() const;

  // True if a suspect server may get a trial: no trial is in flight, the
  // interval between trials has passed, and the server has not refused a
  // connection since its last status or reply.
  bool IsTrialDue(MonotonicTime now) const;

  // True if the server refused an attempt recently because of its load.
  bool IsShedding(MonotonicTime now) const;

  Duration LatencyEstimate(Duration typical_latency) const;

  // The time since the last reply, or since the first attempt in flight was
  // sent. Zero if no attempt is in flight, unless slow attempts were cancelled
  // a short time ago.
  Duration SilentFor(MonotonicTime now,
                     std::uint32_t in_flight,
                     Duration typical_latency) const;

  // The maximum number of attempts of this process in flight at the server:
  // from 1 to `max_attempts`, lowered when the server sheds load.
  std::uint32_t AttemptLimit(std::uint32_t max_attempts) const;

  Fraction report_trust() const { return Fraction(this->trust); }

 private:
  void ScheduleFirstTrial(MonotonicTime now);
  bool WasRecentlySlow(MonotonicTime now, Duration typical_latency) const;

  // The moving average of the latencies, each relative to the typical latency
  // of its time. It stays the same if all servers get slower or faster
  // together.
  double latency_ratio = 1;
  // The number of slow or timed-out attempts since the last reply.
  std::uint32_t unanswered_attempts = 0;
  // The time of the last reply, or of a later attempt that was sent while no
  // other was in flight.
  MonotonicTime silent_since;
  bool is_failing = false;
  // True if the server refused a connection: its process has ended or is about
  // to end.
  bool connect_refused = false;
  bool trial_in_flight = false;
  Duration trial_interval{};
  MonotonicTime next_trial;
  Duration shed_interval{};
  MonotonicTime shed_until;
  // The fraction of the full limit that the server accepts without shedding
  // load.
  double limit_share = 1;
  // The moving average of how often the load reports agree with the latencies:
  // 0 if they never do, 1 if they always do.
  double trust = 1;
};

}  // namespace marigold

#endif  // SRC_POLICY_SERVER_HEALTH_H_
