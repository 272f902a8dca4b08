#include "src/policy/server_observations.h"

#include <algorithm>
#include <cmath>

namespace marigold {

namespace {

// Weight of the newest latency.
constexpr double kSlownessWeight = 0.25;
// Weight of a slow attempt that no pause explains. An entry VM may send only
// one request a second to a server.
constexpr double kConfirmedWeight = 0.6;
// Servers pause now and then. Slow attempts count as such only if they began
// further apart than a pause lasts, without an ordinary one in between.
constexpr double kSlowSample = 2.5;
constexpr Duration kLongestPause = std::chrono::milliseconds(200);
constexpr double kPausedSample = 1.2;
// A single sample counts at most this many times the typical latency.
constexpr double kMostSlowness = 20;
// What was observed of a server that gets no attempts loses half of its weight
// in this time, so that a recovered server is tried again.
constexpr Duration kHalfLife = std::chrono::seconds(4);
// Weight of the newest outcome in a server's share of failures.
constexpr double kFailingWeight = 0.15;

constexpr Duration kFirstBackoff = std::chrono::milliseconds(200);
constexpr Duration kLongestBackoff = std::chrono::seconds(2);
constexpr std::uint32_t kUnansweredUntilBlocked = 2;

double Ratio(Duration part, Duration whole) {
  return static_cast<double>(part.count()) /
         static_cast<double>(std::max<std::int64_t>(whole.count(), 1));
}

// The part that is left of an observation.
double Faded(MonotonicTime now, MonotonicTime observed_at) {
  return std::exp2(-Ratio(now - observed_at, kHalfLife));
}

}  // namespace

void ServerObservations::AddLatency(MonotonicTime now,
                                    Duration elapsed,
                                    Duration expected) {
  double sample = Ratio(elapsed, expected);
  double weight = kSlownessWeight;
  if (sample < kSlowSample) {
    this->slow_since.reset();
  } else {
    const MonotonicTime began = now - elapsed;
    this->slow_since = std::min(this->slow_since.value_or(began), began);
    if (began - *this->slow_since < kLongestPause) {
      sample = kPausedSample;
    } else {
      weight = kConfirmedWeight;
      this->is_hint_due = true;
    }
  }
  const double known = this->Slowness(now);
  this->slowness = known + weight * (std::min(sample, kMostSlowness) - known);
  this->slowness_at = now;
}

void ServerObservations::AddLowerBound(MonotonicTime now,
                                       Duration elapsed,
                                       Duration expected) {
  if (Ratio(elapsed, expected) > this->Slowness(now)) {
    this->AddLatency(now, elapsed, expected);
  }
}

void ServerObservations::AddOutcome(MonotonicTime now, bool failed) {
  const double known = this->Failing(now);
  this->failing = known + kFailingWeight * ((failed ? 1 : 0) - known);
  this->failing_at = now;
}

void ServerObservations::OnAnswer() {
  this->unanswered = 0;
  this->backoff = Duration::zero();
  this->avoid_until = MonotonicTime::min();
}

void ServerObservations::BackOff(MonotonicTime now) {
  this->backoff = std::clamp(this->backoff * 2, kFirstBackoff, kLongestBackoff);
  this->avoid_until = now + this->backoff;
}

void ServerObservations::Block(MonotonicTime now) {
  this->BackOff(now);
  this->blocked_until = this->avoid_until;
}

void ServerObservations::BlockFor(MonotonicTime now, Duration time) {
  this->blocked_until = now + time;
}

void ServerObservations::AvoidFor(MonotonicTime now, Duration time) {
  this->avoid_until = std::max(this->avoid_until, now + time);
}

void ServerObservations::OnUnanswered(MonotonicTime now) {
  if (++this->unanswered >= kUnansweredUntilBlocked) {
    this->Block(now);
  } else {
    this->BackOff(now);
  }
}

void ServerObservations::ApplyHint(MonotonicTime now, double hinted) {
  if (hinted > this->Slowness(now)) {
    this->slowness = std::min(hinted, kMostSlowness);
    this->slowness_at = now;
  }
}

void ServerObservations::Release() {
  this->OnAnswer();
  this->blocked_until = MonotonicTime::min();
  this->failing = 0;
}

double ServerObservations::Slowness(MonotonicTime now) const {
  return 1 + (this->slowness - 1) * Faded(now, this->slowness_at);
}

double ServerObservations::Failing(MonotonicTime now) const {
  return this->failing * Faded(now, this->failing_at);
}

}  // namespace marigold
