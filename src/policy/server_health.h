#ifndef SRC_POLICY_SERVER_HEALTH_H_
#define SRC_POLICY_SERVER_HEALTH_H_

#include <cstdint>

#include "src/core/units.h"
#include "src/policy/search_types.h"
#include "src/policy/server_view.h"

namespace marigold {

// What this process observed of one backend server: its latency, whether it
// answers, how many attempts it takes at a time and whether its load reports
// can be believed. Times that compare servers are relative to
// `typical_latency`, the median latency of the service.
class ServerHealth {
 public:
  // Commands.

  // `other_attempts` are the attempts that were in flight there already.
  void OnDispatch(MonotonicTime now,
                  std::uint32_t other_attempts,
                  Duration typical_latency);

  void OnReply(MonotonicTime now, Duration latency, Duration typical_latency);

  // Takes a load report together with the latency of the reply it came with.
  // `relative_load` is over the mean of the service's servers.
  void OnReport(double relative_load,
                Duration latency,
                Duration typical_latency);

  // An attempt is out for so long that another server is asked.
  void OnSlowAttempt(MonotonicTime now);

  void OnFailure(MonotonicTime now, AttemptFailure failure);

  // The server's own status says that it accepts requests.
  void OnStatus();

  // A trial was sent to a suspect server.
  void OnTrial(MonotonicTime now);

  // Forgets what was observed of a process that is gone.
  void Reset();

  // Queries.

  // Avoided unless no other server is usable.
  bool IsSuspect() const;

  // A suspect server may get one request beside the one that counts.
  bool IsTrialDue(MonotonicTime now) const;

  // Refused recently because of its load.
  bool IsShedding(MonotonicTime now) const;

  Duration LatencyEstimate(Duration typical_latency) const;

  // Time since the last reply, or since the first attempt that waits for one.
  // Zero if nothing is in flight, unless slow attempts were cancelled a short
  // time ago.
  Duration SilentFor(MonotonicTime now,
                     std::uint32_t in_flight,
                     Duration typical_latency) const;

  // Most attempts of this process at a time, at most `max_attempts`.
  std::uint32_t AttemptLimit(std::uint32_t max_attempts) const;

  Fraction report_trust() const { return Fraction(this->trust); }

 private:
  void BecomeSuspect(MonotonicTime now);
  bool WasRecentlySlow(MonotonicTime now, Duration typical_latency) const;

  // Recent latencies over the typical one of their time, so that all servers
  // getting slower or faster together changes nothing.
  double latency_ratio = 1;
  // Attempts without an answer since the last reply.
  std::uint32_t unanswered_attempts = 0;
  MonotonicTime silent_since;
  bool is_failing = false;
  // Refused a connection: the process is gone or about to be.
  bool connect_refused = false;
  bool trial_in_flight = false;
  Duration trial_interval{};
  MonotonicTime next_trial;
  Duration shed_interval{};
  MonotonicTime shed_until;
  // Share of the full limit that the server takes without shedding.
  double limit_share = 1;
  double trust = 1;
};

}  // namespace marigold

#endif  // SRC_POLICY_SERVER_HEALTH_H_
