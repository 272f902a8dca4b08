#include "src/policy/server_observations.h"

#include <algorithm>
#include <cmath>

namespace marigold {

namespace {

// The weight of the newest latency in the moving average.
constexpr double kSlownessWeight = 0.25;
// The weight of a slow attempt that a pause of the server does not explain. It
// is high because an entry VM may send only one request a second to a server.
constexpr double kConfirmedSlowWeight = 0.6;
// Servers pause occasionally. Attempts that are slower than `kSlowRatio` count
// as slow only if they started at least `kLongestPause` apart without an
// ordinary attempt in between. Otherwise they count as `kPauseRatio`.
constexpr double kSlowRatio = 2.5;
constexpr Duration kLongestPause = std::chrono::milliseconds(200);
constexpr double kPauseRatio = 1.2;
// The upper limit of a sample, as a ratio to the typical latency.
constexpr double kMaxSlowness = 20;
// The half-life of the observations of a server. Without decay, a slow server
// that gets no attempts would not be tried again after it has recovered.
constexpr Duration kHalfLife = std::chrono::seconds(4);
// The weight of the newest outcome in the failure rate.
constexpr double kFailureWeight = 0.15;

constexpr Duration kInitialBackoff = std::chrono::milliseconds(200);
constexpr Duration kMaxBackoff = std::chrono::seconds(2);
// The number of consecutive unanswered attempts after which a server is
// blocked.
constexpr std::uint32_t kUnansweredBeforeBlock = 2;

double Ratio(Duration part, Duration whole) {
  return static_cast<double>(part.count()) /
         static_cast<double>(std::max<std::int64_t>(whole.count(), 1));
}

// The remaining weight of an observation made at `observed_at`.
double DecayFactor(MonotonicTime now, MonotonicTime observed_at) {
  return std::exp2(-Ratio(now - observed_at, kHalfLife));
}

}  // namespace

void ServerObservations::AddLatency(MonotonicTime now,
                                    Duration elapsed,
                                    Duration typical_latency) {
  double sample = Ratio(elapsed, typical_latency);
  double weight = kSlownessWeight;
  if (sample < kSlowRatio) {
    this->slow_since.reset();
  } else {
    const MonotonicTime attempt_started_at = now - elapsed;
    this->slow_since = std::min(this->slow_since.value_or(attempt_started_at),
                                attempt_started_at);
    if (attempt_started_at - *this->slow_since < kLongestPause) {
      sample = kPauseRatio;
    } else {
      weight = kConfirmedSlowWeight;
      this->is_hint_due = true;
    }
  }
  const double previous = this->Slowness(now);
  this->slowness =
      previous + weight * (std::min(sample, kMaxSlowness) - previous);
  this->slowness_updated_at = now;
}

void ServerObservations::AddLatencyLowerBound(MonotonicTime now,
                                              Duration elapsed,
                                              Duration typical_latency) {
  if (Ratio(elapsed, typical_latency) > this->Slowness(now)) {
    this->AddLatency(now, elapsed, typical_latency);
  }
}

void ServerObservations::AddOutcome(MonotonicTime now, bool has_failed) {
  const double previous = this->FailureRate(now);
  this->failure_rate =
      previous + kFailureWeight * ((has_failed ? 1 : 0) - previous);
  this->failure_rate_updated_at = now;
}

void ServerObservations::OnAnswer() {
  this->consecutive_unanswered = 0;
  this->backoff = Duration::zero();
  this->avoid_until = MonotonicTime::min();
}

void ServerObservations::BackOff(MonotonicTime now) {
  this->backoff = std::clamp(this->backoff * 2, kInitialBackoff, kMaxBackoff);
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
  if (++this->consecutive_unanswered >= kUnansweredBeforeBlock) {
    this->Block(now);
  } else {
    this->BackOff(now);
  }
}

void ServerObservations::ApplyHint(MonotonicTime now, double hinted_slowness) {
  if (hinted_slowness > this->Slowness(now)) {
    this->slowness = std::min(hinted_slowness, kMaxSlowness);
    this->slowness_updated_at = now;
  }
}

void ServerObservations::ClearFailures() {
  this->OnAnswer();
  this->blocked_until = MonotonicTime::min();
  this->failure_rate = 0;
}

double ServerObservations::Slowness(MonotonicTime now) const {
  return 1 + (this->slowness - 1) * DecayFactor(now, this->slowness_updated_at);
}

double ServerObservations::FailureRate(MonotonicTime now) const {
  return this->failure_rate * DecayFactor(now, this->failure_rate_updated_at);
}

}  // namespace marigold
