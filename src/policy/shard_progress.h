#ifndef SRC_POLICY_SHARD_PROGRESS_H_
#define SRC_POLICY_SHARD_PROGRESS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>

#include "src/core/ids.h"
#include "src/core/units.h"
#include "src/policy/search_types.h"

namespace marigold {

// One attempt for a shard within a search.
struct ShardAttempt {
  AttemptId attempt;
  ServerIndex server;
  AttemptKind kind = AttemptKind::kPrimary;
  MonotonicTime sent_at;
  // True until the attempt has a reply, a failure or a cancellation.
  bool is_live = false;
  // True if the attempt was reported to the fleet as slow.
  bool was_reported_slow = false;
};

// The progress of one shard of a search. The attempts are stored inline without
// allocations, because a search may have hundreds of shards.
class ShardProgress {
 public:
  static constexpr std::size_t kMaxAttempts = 6;

  explicit ShardProgress(ShardId shard_id) : shard(shard_id) {}

  // Commands.

  void Add(const ShardAttempt& attempt);

  // Clears the list of tried servers, so that they may get further attempts.
  void AllowTriedServers();

  // Queries.

  // Returns the live attempt with this id, or null.
  ShardAttempt* FindLive(AttemptId attempt);

  std::span<ShardAttempt> attempts() {
    return std::span(this->attempts_made).first(this->attempt_count);
  }

  // The servers that must not get another attempt for this shard.
  std::span<const ServerIndex> tried_servers() const {
    return std::span(this->tried_server_array).first(this->tried_count);
  }

  // Trials do not count, because the search does not wait for their replies.
  bool HasLiveAttempt() const;
  // True while an attempt is in flight, queued or scheduled.
  bool CanStillBeCovered() const;
  bool HasMaxAttempts() const { return this->attempt_count == kMaxAttempts; }

  ShardId shard;
  MissingReason missing_reason = MissingReason::kDeadline;
  bool is_covered = false;
  // True if the shard is neither covered nor given up.
  bool is_open = true;
  // True while the shard is queued until a server is below its limit.
  bool waits_for_server = false;
  // True if another attempt follows at `next_attempt_at` after a backoff.
  bool is_backing_off = false;
  std::uint32_t hedges_sent = 0;
  // The number of times that the hedge delay has passed without a reply.
  std::uint32_t late_count = 0;
  std::uint32_t failed_attempts = 0;
  // The time of the next hedged request or retry.
  MonotonicTime next_attempt_at = MonotonicTime::max();
  MonotonicTime first_sent_at;
  // The snapshot of the merged reply.
  SnapshotId merged_snapshot;

 private:
  std::array<ShardAttempt, kMaxAttempts> attempts_made;
  std::size_t attempt_count = 0;
  std::array<ServerIndex, kMaxAttempts> tried_server_array;
  std::size_t tried_count = 0;
};

}  // namespace marigold

#endif  // SRC_POLICY_SHARD_PROGRESS_H_
