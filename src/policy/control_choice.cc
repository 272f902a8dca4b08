#include "src/policy/control_choice.h"

#include <algorithm>
#include <utility>

namespace marigold {

namespace {

constexpr Duration kMinBackoff = std::chrono::milliseconds(50);
constexpr Duration kMaxBackoff = std::chrono::seconds(1);
constexpr std::uint32_t kMaxBackoffDoublings = 5;

// A control VM that works sends a heartbeat at once. One that is frozen accepts
// the connection and is silent, so the first attempt is short. Further ones are
// longer, so that a group that is merely slow can be followed.
constexpr Duration kReplyTimeout = std::chrono::milliseconds(500);
constexpr Duration kReplyTimeoutAfterFailure = std::chrono::milliseconds(1500);

// The time until a control VM without a quorum is tried again. An election
// takes up to 0.5 s. Further times are longer, up to the maximum, so that a
// long outage costs the control VMs little.
constexpr Duration kMinNoQuorumBackoff = std::chrono::milliseconds(250);
constexpr Duration kMaxNoQuorumBackoff = std::chrono::seconds(2);
constexpr std::uint32_t kMaxNoQuorumDoublings = 3;

// The time after the back-off of a failed control VM during which others are
// preferred. If it is local, it does not yet replace a working stream to
// another data centre.
constexpr Duration kFailureMemory = std::chrono::seconds(10);

// A group has at most 13 members. What several entry VMs know of earlier and
// later members fits as well.
constexpr std::size_t kMaxCandidates = 64;

}  // namespace

ControlChoice::ControlChoice(std::vector<Endpoint> endpoints,
                             std::uint64_t seed)
    : random(seed) {
  for (Endpoint& endpoint : endpoints) {
    Candidate candidate;
    candidate.endpoint = std::move(endpoint);
    candidate.is_in_settings = true;
    this->candidates.push_back(std::move(candidate));
  }
  for (std::size_t i = this->candidates.size(); i > 1; --i) {
    std::swap(this->candidates[i - 1],
              this->candidates[this->random.NextBelow(i)]);
  }
}

void ControlChoice::OnFailure(MonotonicTime now, const Endpoint& endpoint) {
  Candidate* candidate = this->FindCandidate(endpoint);
  if (candidate == nullptr) {
    return;
  }
  const Duration backoff =
      std::min(kMinBackoff * (1 << std::min(candidate->consecutive_failures,
                                            kMaxBackoffDoublings)),
               kMaxBackoff);
  ++candidate->consecutive_failures;
  // Half of the back-off is random, so that entry VMs do not reconnect all at
  // once.
  const auto half_backoff = static_cast<std::uint64_t>(backoff.count() / 2);
  const auto jitter = Duration(
      static_cast<Duration::rep>(this->random.NextBelow(half_backoff + 1)));
  candidate->not_before = now + backoff / 2 + jitter;
}

void ControlChoice::OnNoQuorum(MonotonicTime now, const Endpoint& endpoint) {
  if (Candidate* candidate = this->FindCandidate(endpoint)) {
    const std::uint32_t doublings =
        std::min(candidate->no_quorum_count++, kMaxNoQuorumDoublings);
    candidate->consecutive_failures =
        std::max(candidate->consecutive_failures, 1U);
    candidate->not_before =
        now +
        std::min(kMinNoQuorumBackoff * (1 << doublings), kMaxNoQuorumBackoff);
  }
}

void ControlChoice::OnSuccess(const Endpoint& endpoint) {
  if (Candidate* candidate = this->FindCandidate(endpoint)) {
    candidate->consecutive_failures = 0;
    candidate->no_quorum_count = 0;
    candidate->not_before = MonotonicTime::min();
  }
}

void ControlChoice::OnListed(const std::vector<ListedControl>& listed) {
  if (listed.empty()) {
    return;
  }
  const Endpoint last_attempt =
      this->candidates[this->last_attempt_index].endpoint;
  std::erase_if(this->candidates, [&](const Candidate& candidate) {
    return !candidate.is_in_settings &&
           std::none_of(listed.begin(), listed.end(),
                        [&](const ListedControl& control) {
                          return control.endpoint == candidate.endpoint;
                        });
  });
  for (Candidate& candidate : this->candidates) {
    // A VM of the settings that has left the group is tried after the others.
    candidate.is_local = false;
    candidate.is_voter = false;
  }
  for (const ListedControl& control : listed) {
    Candidate* candidate = this->FindCandidate(control.endpoint);
    if (candidate == nullptr) {
      candidate = &this->candidates.emplace_back();
      candidate->endpoint = control.endpoint;
    }
    candidate->is_local = control.is_local;
    candidate->is_voter = control.is_voter;
  }
  // The candidates have moved. Attempts go on after the last one.
  const Candidate* last = this->FindCandidate(last_attempt);
  this->last_attempt_index =
      last == nullptr
          ? 0
          : static_cast<std::size_t>(last - this->candidates.data());
}

void ControlChoice::OnSettings(const std::vector<Endpoint>& endpoints) {
  if (endpoints.empty()) {
    return;
  }
  for (Candidate& candidate : this->candidates) {
    candidate.is_in_settings = false;
  }
  for (const Endpoint& endpoint : endpoints) {
    Candidate* candidate = this->FindCandidate(endpoint);
    if (candidate == nullptr) {
      candidate = &this->candidates.emplace_back();
      candidate->endpoint = endpoint;
    }
    candidate->is_in_settings = true;
  }
}

bool ControlChoice::OnSuggested(const std::vector<ListedControl>& suggested) {
  bool has_added = false;
  for (const ListedControl& control : suggested) {
    if (this->FindCandidate(control.endpoint) != nullptr) {
      continue;
    }
    if (this->candidates.size() >= kMaxCandidates) {
      this->DropWorst();
    }
    Candidate candidate;
    candidate.endpoint = control.endpoint;
    candidate.is_local = control.is_local;
    candidate.is_voter = control.is_voter;
    this->candidates.push_back(std::move(candidate));
    has_added = true;
  }
  return has_added;
}

void ControlChoice::DropWorst() {
  const auto worst = std::max_element(
      this->candidates.begin(), this->candidates.end(),
      [](const Candidate& one, const Candidate& other) {
        return std::pair(!one.is_in_settings, one.consecutive_failures) <
               std::pair(!other.is_in_settings, other.consecutive_failures);
      });
  if (!worst->is_in_settings) {
    this->candidates.erase(worst);
    this->last_attempt_index = 0;
  }
}

ControlChoice::Attempt ControlChoice::NextAttempt(MonotonicTime now) {
  const std::size_t candidate_count = this->candidates.size();
  std::size_t best_index = (this->last_attempt_index + 1) % candidate_count;
  for (std::size_t step = 2; step <= candidate_count; ++step) {
    const std::size_t i = (this->last_attempt_index + step) % candidate_count;
    if (IsBetter(now, this->candidates[i], this->candidates[best_index])) {
      best_index = i;
    }
  }
  this->last_attempt_index = best_index;
  const Candidate& chosen = this->candidates[best_index];
  const MonotonicTime at = std::max(now, chosen.not_before);
  return {chosen.endpoint, at,
          RecentFailures(at, chosen) == 0 ? kReplyTimeout
                                          : kReplyTimeoutAfterFailure};
}

bool ControlChoice::IsBetter(MonotonicTime now,
                             const Candidate& one,
                             const Candidate& other) {
  const bool must_wait = one.not_before > now;
  if (must_wait || other.not_before > now) {
    return must_wait ? one.not_before < other.not_before : true;
  }
  // A local control VM that is frozen accepts each connection and is then
  // silent. Without this rule it would be tried again before the others.
  const std::uint32_t failures = RecentFailures(now, one);
  const std::uint32_t other_failures = RecentFailures(now, other);
  if (failures != other_failures) {
    return failures < other_failures;
  }
  if (one.is_local != other.is_local) {
    return one.is_local;
  }
  return one.is_voter && !other.is_voter;
}

std::uint32_t ControlChoice::RecentFailures(MonotonicTime now,
                                            const Candidate& candidate) {
  return now < candidate.not_before + kFailureMemory
             ? candidate.consecutive_failures
             : 0;
}

bool ControlChoice::HasLocalAlternative(MonotonicTime now,
                                        const Endpoint& current) const {
  const auto is_local = [&](const Candidate& candidate) {
    return candidate.is_local && candidate.endpoint == current;
  };
  return std::none_of(this->candidates.begin(), this->candidates.end(),
                      is_local) &&
         std::any_of(this->candidates.begin(), this->candidates.end(),
                     [&](const Candidate& candidate) {
                       return candidate.is_local &&
                              candidate.not_before <= now &&
                              RecentFailures(now, candidate) == 0;
                     });
}

bool ControlChoice::HasAlternative(MonotonicTime now,
                                   const Endpoint& current) const {
  return std::any_of(this->candidates.begin(), this->candidates.end(),
                     [&](const Candidate& candidate) {
                       return candidate.endpoint != current &&
                              candidate.is_voter && candidate.not_before <= now;
                     });
}

ControlChoice::Candidate* ControlChoice::FindCandidate(
    const Endpoint& endpoint) {
  for (Candidate& candidate : this->candidates) {
    if (candidate.endpoint == endpoint) {
      return &candidate;
    }
  }
  return nullptr;
}

}  // namespace marigold
