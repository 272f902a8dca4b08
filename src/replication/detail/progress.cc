#include "src/replication/detail/progress.h"

#include <algorithm>

namespace marigold::detail {

namespace {

// Appends with entries on their way to one member.
constexpr std::size_t kWindow = 16;

// Requests remembered for a member that does not answer. Heartbeats add to them
// without end.
constexpr std::size_t kMostRounds = 64;

}  // namespace

void Progress::OnSent(std::uint64_t round,
                      MonotonicTime now,
                      bool has_entries) {
  this->rounds.push_back({round, now, has_entries});
  if (this->rounds.size() > kMostRounds) {
    this->rounds.pop_front();
  }
}

std::optional<MonotonicTime> Progress::OnAnswered(std::uint64_t round) {
  std::optional<MonotonicTime> sent_at;
  while (!this->rounds.empty() && this->rounds.front().number <= round) {
    if (this->rounds.front().number == round) {
      sent_at = this->rounds.front().sent_at;
    }
    this->rounds.pop_front();
  }
  return sent_at;
}

void Progress::OnAccepted(LogIndex index) {
  this->match = std::max(this->match, index);
  this->next = std::max(this->next, Next(this->match));
}

void Progress::StartProbe(LogIndex next_index) {
  this->step = Mode::kProbe;
  this->next = std::max(next_index, Next(this->match));
  this->rounds.clear();
}

void Progress::StartStream() {
  this->step = Mode::kStream;
  this->next = Next(this->match);
}

void Progress::StartSnapshot() {
  this->step = Mode::kSnapshot;
  this->rounds.clear();
}

void Progress::OnReply(std::optional<MonotonicTime> sent_at,
                       bool is_probationary) {
  this->probationary = is_probationary;
  if (sent_at && !is_probationary) {
    this->contact = std::max(this->contact, *sent_at);
  }
}

void Progress::OnNewStart() {
  this->earlier_match = std::max(this->earlier_match, this->match);
  this->match = LogIndex();
  this->probationary = true;
  this->rounds.clear();
  if (this->step == Mode::kStream) {
    this->step = Mode::kProbe;
  }
}

bool Progress::IsOverdue(MonotonicTime time) const {
  return !this->rounds.empty() && this->rounds.front().sent_at < time;
}

bool Progress::window_is_full() const {
  const auto appends =
      std::count_if(this->rounds.begin(), this->rounds.end(),
                    [](const Round& round) { return round.has_entries; });
  return static_cast<std::size_t>(appends) >= kWindow;
}

}  // namespace marigold::detail
