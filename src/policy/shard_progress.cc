#include "src/policy/shard_progress.h"

#include <algorithm>

namespace marigold {

void ShardProgress::Add(const ShardAttempt& attempt) {
  this->attempts_made.at(this->attempt_count) = attempt;
  ++this->attempt_count;
  this->tried_server_array.at(this->tried_count) = attempt.server;
  ++this->tried_count;
}

void ShardProgress::AllowTriedServers() {
  this->tried_count = 0;
}

ShardAttempt* ShardProgress::FindLive(AttemptId attempt) {
  for (ShardAttempt& candidate : this->attempts()) {
    if (candidate.is_live && candidate.attempt == attempt) {
      return &candidate;
    }
  }
  return nullptr;
}

bool ShardProgress::HasLiveAttempt() const {
  const auto end = this->attempts_made.begin() +
                   static_cast<std::ptrdiff_t>(this->attempt_count);
  return std::any_of(
      this->attempts_made.begin(), end, [](const ShardAttempt& attempt) {
        return attempt.is_live && attempt.kind != AttemptKind::kTrial;
      });
}

bool ShardProgress::CanStillBeCovered() const {
  return this->waits_for_server || this->is_backing_off ||
         this->HasLiveAttempt();
}

}  // namespace marigold
