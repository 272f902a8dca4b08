#include "src/replication/detail/follower.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "src/core/invariant.h"
#include "src/core/log.h"
#include "src/replication/detail/membership_codec.h"

namespace marigold::detail {

namespace {

// Returns false for a request that no correct leader sends.
bool IsWellFormed(const ReplicaMessage& message, const AppendRequest& request) {
  LogPosition previous_position{request.previous_term, request.previous_index};
  for (const LogEntry& entry : request.entries) {
    if (entry.index != Next(previous_position.index) ||
        entry.term < previous_position.term) {
      return false;
    }
    if (entry.kind == EntryKind::kMembership &&
        !DecodeMembership(entry.payload)) {
      return false;
    }
    previous_position = {entry.term, entry.index};
  }
  return previous_position.term <= message.term;
}

// Appends the entries that the log lacks. Returns false at the first entry that
// contradicts a committed one, and leaves the log unchanged from there on.
bool AddEntries(ReplicaState& state, const std::vector<LogEntry>& entries) {
  for (const LogEntry& entry : entries) {
    if (entry.index <= state.log.snapshot_index()) {
      continue;
    }
    const auto own_term = state.log.TermAt(entry.index);
    if (own_term == entry.term) {
      continue;
    }
    if (own_term) {
      const bool is_uncommitted = entry.index > state.commit_index;
      CheckInvariant(Invariant::kListNeverReverts, is_uncommitted,
                     "a leader would replace a committed entry");
      if (!is_uncommitted) {
        return false;
      }
      state.log.TruncateFrom(entry.index);
    }
    state.log.Append(entry);
  }
  return true;
}

}  // namespace

void Follower::OnAppend(ReplicaState& state,
                        const ReplicaMessage& message,
                        const AppendRequest& request) {
  if (!IsWellFormed(message, request)) {
    LogEvent(LogLevel::kError, "append_malformed",
             {{"from", message.from.value()},
              {"previous_index", request.previous_index.value()}});
    return;
  }
  state.leader_commit_index =
      std::max(state.leader_commit_index, request.commit_index);
  // Entries up to the snapshot are committed and therefore the same on every
  // member.
  const bool is_previous_compacted =
      request.previous_index < state.log.snapshot_index();
  if (!is_previous_compacted &&
      state.log.TermAt(request.previous_index) != request.previous_term) {
    this->RejectAppend(state, message.from, request);
    return;
  }
  if (!AddEntries(state, request.entries)) {
    return;
  }
  const LogIndex match_index(request.previous_index.value() +
                             request.entries.size());
  if (match_index >= state.log.snapshot_index()) {
    state.AdvanceCommit(std::min(request.commit_index, match_index));
  }
  state.Send(message.from,
             AppendReply{request.sequence, true, match_index, {}});
}

void Follower::RejectAppend(ReplicaState& state,
                            const DiskId& leader,
                            const AppendRequest& request) {
  const LogPosition hint =
      state.log.LastNotAbove({request.previous_term, request.previous_index});
  state.Send(leader,
             AppendReply{request.sequence, false, hint.index, hint.term});
}

void Follower::OnChunk(ReplicaState& state,
                       const ReplicaMessage& message,
                       const SnapshotChunk& chunk) {
  state.leader_commit_index = std::max(state.leader_commit_index, chunk.index);
  // A member that has the snapshot's last entry has all entries before it, too.
  if (state.log.TermAt(chunk.index) == chunk.snapshot_term) {
    state.AdvanceCommit(chunk.index);
  }
  if (chunk.index > state.commit_index) {
    auto snapshot = this->receiver.OnChunk(chunk);
    if (snapshot) {
      LogEvent(LogLevel::kInfo, "snapshot_installed",
               {{"disk", state.disk.value()}, {"index", chunk.index.value()}});
      state.log.Install(
          std::make_shared<const StateSnapshot>(std::move(*snapshot)));
      state.AdvanceCommit(chunk.index);
    }
  }
  const bool installed = chunk.index <= state.commit_index;
  state.Send(message.from,
             SnapshotReply{chunk.index, chunk.sequence,
                           this->receiver.received_bytes(), installed});
}

}  // namespace marigold::detail
