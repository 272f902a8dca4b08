#ifndef SRC_POLICY_FORWARD_ADMISSION_H_
#define SRC_POLICY_FORWARD_ADMISSION_H_

#include "src/policy/admission.h"

namespace marigold {

// The settings of the admission of forwarded requests. An entry VM gets few of
// them, so that it must not conclude much from single reports: without
// congestion nothing is limited, and with it there remains room for the usual
// requests of a small VM.
inline AdmissionSettings ForwardAdmissionSettings() {
  AdmissionSettings settings;
  // A third of the shortest time limit in use. A shorter wait does not suffice
  // to let a few requests end, so that the order of the queue would not matter.
  settings.max_wait = std::chrono::milliseconds(100);
  // An entry VM with one or two requests per second stays below this even if
  // they take several seconds.
  settings.min_capacity = 8;
  settings.capacity_lift_after = std::chrono::seconds(2);
  // The time limit alone decides whether a request is still of use.
  settings.required_run_time = Fraction(0);
  settings.min_retry_after = std::chrono::milliseconds(200);
  // With a threshold of three times the mean, a flow is served at least a
  // quarter as often as all flows of its priority, however large it is.
  settings.fair_share.proportional_above = 3;
  // About 1.4 requests per second. An entry VM with one request per second is
  // not limited by a wrong signal, even while several of them arrive together.
  settings.fair_share.min_share = 8;
  // Some requests meet a queue at any load.
  settings.fair_share.congested_part = Fraction(0.75);
  settings.fair_share.min_congested_adjustments = 3;
  settings.fair_share.uncongested_period = std::chrono::seconds(1);
  settings.fair_share.uncongested_increase = 1.1;
  return settings;
}

}  // namespace marigold

#endif  // SRC_POLICY_FORWARD_ADMISSION_H_
