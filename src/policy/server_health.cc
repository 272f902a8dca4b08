#include "src/policy/server_health.h"

#include <algorithm>
#include <cmath>

namespace marigold {

namespace {

// The weight of the newest sample in the latency estimate.
constexpr double kLatencyWeight = 0.1;
// The weight of a trial's latency. With it, two fast trials make a suspect
// server healthy again.
constexpr double kTrialWeight = 0.5;
// A sample counts as at most this many times the typical latency, so that one
// straggler does not make a server suspect.
constexpr double kMaxLatencyRatio = 4;
// A server is suspect if its latency estimate is at least this many times the
// typical latency.
constexpr double kSuspectLatencyRatio = 2.5;
// A server is suspect after this many slow attempts without a reply in between.
// One slow attempt is an ordinary straggler; three in a row are not.
constexpr std::uint32_t kUnansweredUntilSuspect = 3;
// A server counts as still busy for about this many times the typical latency
// after a slow attempt, because a straggler holds a slot for about that long.
constexpr int kRecentlySlowFactor = 20;

constexpr Duration kMinTrialInterval = std::chrono::milliseconds(500);
constexpr Duration kMaxTrialInterval = std::chrono::seconds(4);

constexpr Duration kMinShedInterval = std::chrono::milliseconds(10);
constexpr Duration kMaxShedInterval = std::chrono::seconds(1);
// A shed attempt multiplies the limit by `kLimitDecrease`. A reply raises it by
// `kLimitIncrease` of the full limit.
constexpr double kLimitDecrease = 0.7;
constexpr double kLimitIncrease = 0.02;

// The weight of the newest load report in `ServerHealth::trust`.
constexpr double kTrustWeight = 0.1;
// A server reports too little load if it reports less than half of the mean
// load and its latency is more than twice the typical one. It reports too much
// if it reports more than twice the mean load and its latency is no higher than
// the typical one.
constexpr double kLowRelativeLoad = 0.5;
constexpr double kSlowLatencyRatio = 2;
constexpr double kHighRelativeLoad = 2;

double Ratio(Duration part, Duration whole) {
  return static_cast<double>(part.count()) /
         static_cast<double>(std::max<std::int64_t>(whole.count(), 1));
}

}  // namespace

void ServerHealth::OnDispatch(MonotonicTime now,
                              std::uint32_t other_attempts,
                              Duration typical_latency) {
  if (other_attempts == 0 && !this->WasRecentlySlow(now, typical_latency)) {
    this->silent_since = now;
  }
}

void ServerHealth::OnReply(MonotonicTime now,
                           Duration latency,
                           Duration typical_latency) {
  const bool was_trial = this->trial_in_flight;
  this->silent_since = now;
  this->trial_in_flight = false;
  this->unanswered_attempts = 0;
  this->is_failing = false;
  this->connect_refused = false;
  if (typical_latency > Duration::zero()) {
    const double weight = was_trial ? kTrialWeight : kLatencyWeight;
    this->latency_ratio +=
        weight * (std::min(Ratio(latency, typical_latency), kMaxLatencyRatio) -
                  this->latency_ratio);
  }
  this->limit_share = std::min(this->limit_share + kLimitIncrease, 1.0);
  if (now >= this->shed_until) {
    this->shed_interval = Duration::zero();
  }
  if (!this->IsSuspect()) {
    this->trial_interval = Duration::zero();
  }
}

void ServerHealth::OnReport(double relative_load,
                            Duration latency,
                            Duration typical_latency) {
  if (typical_latency == Duration::zero()) {
    return;
  }
  const double latency_ratio = Ratio(latency, typical_latency);
  const bool reports_too_little =
      relative_load < kLowRelativeLoad && latency_ratio > kSlowLatencyRatio;
  const bool reports_too_much =
      relative_load > kHighRelativeLoad && latency_ratio <= 1;
  const double agreement = reports_too_little || reports_too_much ? 0 : 1;
  this->trust += kTrustWeight * (agreement - this->trust);
}

void ServerHealth::OnSlowAttempt(MonotonicTime now) {
  ++this->unanswered_attempts;
  if (this->unanswered_attempts == kUnansweredUntilSuspect) {
    this->ScheduleFirstTrial(now);
  }
}

void ServerHealth::OnFailure(MonotonicTime now, AttemptFailure failure) {
  this->trial_in_flight = false;
  switch (failure) {
    case AttemptFailure::kShed:
      this->shed_interval = std::clamp(this->shed_interval * 2,
                                       kMinShedInterval, kMaxShedInterval);
      this->shed_until = now + this->shed_interval;
      this->limit_share *= kLimitDecrease;
      return;
    case AttemptFailure::kNotSent:
      this->connect_refused = true;
      this->is_failing = true;
      this->ScheduleFirstTrial(now);
      return;
    case AttemptFailure::kConnectionLost:
    case AttemptFailure::kBadReply:
      this->is_failing = true;
      this->ScheduleFirstTrial(now);
      return;
    case AttemptFailure::kTimeout:
      this->OnSlowAttempt(now);
      return;
    case AttemptFailure::kUnknownSnapshot:
    case AttemptFailure::kUnknownShard:
    case AttemptFailure::kDraining:
    case AttemptFailure::kStarting:
    case AttemptFailure::kNotBegun:
    case AttemptFailure::kSilent:
      return;
  }
}

void ServerHealth::OnStatus() {
  this->connect_refused = false;
}

void ServerHealth::OnTrial(MonotonicTime now) {
  this->trial_in_flight = true;
  this->trial_interval = std::clamp(this->trial_interval * 2, kMinTrialInterval,
                                    kMaxTrialInterval);
  this->next_trial = now + this->trial_interval;
}

void ServerHealth::Reset() {
  *this = ServerHealth();
}

bool ServerHealth::IsSuspect() const {
  if (this->is_failing ||
      this->unanswered_attempts >= kUnansweredUntilSuspect) {
    return true;
  }
  return this->latency_ratio >= kSuspectLatencyRatio;
}

bool ServerHealth::IsTrialDue(MonotonicTime now) const {
  return !this->connect_refused && !this->trial_in_flight &&
         now >= this->next_trial;
}

bool ServerHealth::IsShedding(MonotonicTime now) const {
  return now < this->shed_until;
}

Duration ServerHealth::LatencyEstimate(Duration typical_latency) const {
  return Duration(static_cast<std::int64_t>(
      static_cast<double>(typical_latency.count()) * this->latency_ratio));
}

Duration ServerHealth::SilentFor(MonotonicTime now,
                                 std::uint32_t in_flight,
                                 Duration typical_latency) const {
  const bool is_waiting =
      in_flight > 0 || this->WasRecentlySlow(now, typical_latency);
  return is_waiting ? now - this->silent_since : Duration::zero();
}

bool ServerHealth::WasRecentlySlow(MonotonicTime now,
                                   Duration typical_latency) const {
  return this->unanswered_attempts > 0 &&
         now - this->silent_since < typical_latency * kRecentlySlowFactor;
}

std::uint32_t ServerHealth::AttemptLimit(std::uint32_t max_attempts) const {
  const double limit =
      std::floor(static_cast<double>(max_attempts) * this->limit_share);
  return std::max(static_cast<std::uint32_t>(limit), 1U);
}

void ServerHealth::ScheduleFirstTrial(MonotonicTime now) {
  if (this->trial_interval == Duration::zero()) {
    this->trial_interval = kMinTrialInterval;
    this->next_trial = now + kMinTrialInterval;
  }
}

}  // namespace marigold
