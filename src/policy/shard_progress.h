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

// One attempt of a shard within a search.
struct ShardAttempt {
  AttemptId attempt;
  ServerIndex server;
  AttemptKind kind = AttemptKind::kPrimary;
  MonotonicTime sent_at;
  // No reply, failure or cancellation yet.
  bool is_live = false;
  // Reported as slow.
  bool was_reported_slow = false;
};

// How far one shard of a search is. Holds its attempts in place, since a search
// may have hundreds of shards.
class ShardProgress {
 public:
  static constexpr std::size_t kMaxAttempts = 6;

  explicit ShardProgress(ShardId shard_id) : shard(shard_id) {}

  // Commands.

  void Add(const ShardAttempt& attempt);

  // Forgets which servers failed, so that they may be asked again.
  void AllowTriedServers();

  // Queries.

  // The live attempt of this id, or null.
  ShardAttempt* FindLive(AttemptId attempt);

  std::span<ShardAttempt> attempts() {
    return std::span(this->attempts_made).first(this->count);
  }

  // The servers that this shard has tried.
  std::span<const ServerIndex> tried() const {
    return std::span(this->tried_servers).first(this->tried_count);
  }

  // Trials don't count: nothing depends on their replies.
  bool HasLiveAttempt() const;
  // True while a reply may still come, or another attempt will be made.
  bool CanStillBeCovered() const;
  bool IsFull() const { return this->count == kMaxAttempts; }

  ShardId shard;
  MissingReason missing_reason = MissingReason::kDeadline;
  bool is_covered = false;
  // Neither covered nor given up.
  bool is_open = true;
  // In the queue for room at a server.
  bool waits_for_server = false;
  // All replicas failed; another attempt follows at `next_attempt_at`.
  bool is_backing_off = false;
  std::uint32_t hedges = 0;
  // Times that the shard was found late.
  std::uint32_t late_count = 0;
  std::uint32_t failed_attempts = 0;
  // The next hedge or retry.
  MonotonicTime next_attempt_at = MonotonicTime::max();
  MonotonicTime first_sent;
  // The snapshot of the merged reply.
  SnapshotId merged_snapshot;

 private:
  std::array<ShardAttempt, kMaxAttempts> attempts_made;
  std::size_t count = 0;
  std::array<ServerIndex, kMaxAttempts> tried_servers;
  std::size_t tried_count = 0;
};

}  // namespace marigold

#endif  // SRC_POLICY_SHARD_PROGRESS_H_
