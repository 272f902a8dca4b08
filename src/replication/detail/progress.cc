#include "src/replication/detail/progress.h"

#include <algorithm>

namespace marigold::detail {

namespace {

// The maximum number of append requests with entries in flight to one member.
constexpr std::size_t kMaxInFlightAppends = 16;

// The maximum number of requests remembered for a member that does not answer.
// Heartbeats would otherwise add to them without limit.
constexpr std::size_t kMaxUnansweredRequests = 64;

}  // namespace

void Progress::OnSent(std::uint64_t sequence,
                      MonotonicTime now,
                      bool has_entries) {
  this->unanswered.push_back({sequence, now, has_entries});
  if (this->unanswered.size() > kMaxUnansweredRequests) {
    this->unanswered.pop_front();
  }
}

std::optional<MonotonicTime> Progress::OnAnswered(std::uint64_t sequence) {
  std::optional<MonotonicTime> sent_at;
  while (!this->unanswered.empty() &&
         this->unanswered.front().sequence <= sequence) {
    if (this->unanswered.front().sequence == sequence) {
      sent_at = this->unanswered.front().sent_at;
    }
    this->unanswered.pop_front();
  }
  return sent_at;
}

void Progress::OnAccepted(LogIndex index) {
  this->last_match = std::max(this->last_match, index);
  this->next_to_send = std::max(this->next_to_send, Next(this->last_match));
}

void Progress::StartProbe(LogIndex next_index) {
  this->current_mode = Mode::kProbe;
  this->next_to_send = std::max(next_index, Next(this->last_match));
  this->unanswered.clear();
}

void Progress::StartStream() {
  this->current_mode = Mode::kStream;
  this->next_to_send = Next(this->last_match);
}

void Progress::StartSnapshot() {
  this->current_mode = Mode::kSnapshot;
  this->unanswered.clear();
}

void Progress::OnReply(std::optional<MonotonicTime> sent_at,
                       bool is_boot_unconfirmed) {
  this->boot_unconfirmed = is_boot_unconfirmed;
  if (sent_at && !is_boot_unconfirmed) {
    this->latest_contact = std::max(this->latest_contact, *sent_at);
  }
}

void Progress::OnMemberRestart() {
  this->earlier_match = std::max(this->earlier_match, this->last_match);
  this->last_match = LogIndex();
  this->boot_unconfirmed = true;
  this->unanswered.clear();
  if (this->current_mode == Mode::kStream) {
    this->current_mode = Mode::kProbe;
  }
}

bool Progress::IsOverdue(MonotonicTime time) const {
  return !this->unanswered.empty() && this->unanswered.front().sent_at < time;
}

bool Progress::window_is_full() const {
  const auto appends = std::count_if(
      this->unanswered.begin(), this->unanswered.end(),
      [](const SentRequest& request) { return request.has_entries; });
  return static_cast<std::size_t>(appends) >= kMaxInFlightAppends;
}

}  // namespace marigold::detail
