#include <algorithm>
#include <utility>
#include <vector>

#include "src/replication/detail/leadership.h"

namespace marigold::detail {

namespace {

// The maximum payload of one append request, well below the 4 MiB limit of a
// frame.
constexpr std::size_t kMaxAppendBytes = 1024 * 1024;

}  // namespace

void Leadership::Heartbeat(ReplicaState& state) {
  this->heartbeat_due = state.now + state.settings.heartbeat_interval;
  for (auto& [disk, progress] : this->progress_by_disk) {
    this->SendHeartbeat(state, disk, progress);
  }
}

void Leadership::SendHeartbeat(ReplicaState& state,
                               const DiskId& disk,
                               Progress& progress) {
  const bool is_overdue =
      progress.IsOverdue(state.now - state.settings.election_timeout);
  if (progress.mode() == Progress::Mode::kSnapshot) {
    const SnapshotSender& transfer = this->transfers.at(disk);
    if (is_overdue && transfer.snapshot().index != state.log.snapshot_index()) {
      this->StartSnapshot(state, disk, progress);
    }
    // The chunk is sent without data, because the data of the last chunk may
    // still be in flight.
    this->SendChunk(state, disk, progress, 0);
    return;
  }
  if (is_overdue) {
    progress.StartProbe(Next(progress.match_index()));
  }
  this->SendAppend(state, disk, progress, {});
}

void Leadership::Replicate(ReplicaState& state) {
  for (auto& [disk, progress] : this->progress_by_disk) {
    while (progress.mode() == Progress::Mode::kStream &&
           progress.next_index() <= state.log.last_index() &&
           !progress.window_is_full()) {
      this->SendEntries(state, disk, progress);
    }
    if (progress.mode() == Progress::Mode::kSnapshot &&
        !this->transfers.at(disk).awaits_reply()) {
      this->SendChunk(state, disk, progress,
                      state.settings.snapshot_chunk_bytes);
    }
  }
}

void Leadership::SendEntries(ReplicaState& state,
                             const DiskId& disk,
                             Progress& progress) {
  const LogIndex next_index = progress.next_index();
  std::vector<LogEntry> entries;
  if (next_index > state.log.snapshot_index()) {
    entries = state.log.Slice(next_index, state.settings.append_entries,
                              kMaxAppendBytes);
  }
  this->SendAppend(state, disk, progress, std::move(entries));
}

void Leadership::SendAppend(ReplicaState& state,
                            const DiskId& disk,
                            Progress& progress,
                            std::vector<LogEntry> entries) {
  const LogIndex previous_index(progress.next_index().value() - 1);
  const auto previous_term = state.log.TermAt(previous_index);
  if (!previous_term) {
    this->StartSnapshot(state, disk, progress);
    return;
  }
  AppendRequest request;
  request.previous_index = previous_index;
  request.previous_term = *previous_term;
  request.commit_index = state.commit_index;
  request.sequence = ++this->last_sequence;
  progress.OnSent(request.sequence, state.now, !entries.empty());
  progress.SetNextIndex(
      LogIndex(progress.next_index().value() + entries.size()));
  request.entries = std::move(entries);
  state.Send(disk, std::move(request));
}

void Leadership::StartSnapshot(ReplicaState& state,
                               const DiskId& disk,
                               Progress& progress) {
  progress.StartSnapshot();
  this->transfers.insert_or_assign(disk, SnapshotSender(state.log.snapshot()));
}

void Leadership::SendChunk(ReplicaState& state,
                           const DiskId& disk,
                           Progress& progress,
                           std::size_t max_bytes) {
  const std::uint64_t sequence = ++this->last_sequence;
  progress.OnSent(sequence, state.now, false);
  state.Send(disk, this->transfers.at(disk).NextChunk(sequence, max_bytes));
}

void Leadership::OnAppendReply(ReplicaState& state,
                               const ReplicaMessage& message,
                               const AppendReply& reply) {
  const auto position = this->progress_by_disk.find(message.from);
  if (position == this->progress_by_disk.end()) {
    return;
  }
  Progress& progress = position->second;
  const auto sent_at = progress.OnAnswered(reply.sequence);
  progress.OnReply(sent_at, message.boot_unconfirmed);
  if (!reply.accepted) {
    // The rejection of a request that was sent before the last probe is
    // outdated.
    if (sent_at) {
      this->OnAppendRejected(state, message.from, progress,
                             {reply.match_term, reply.match_index});
    }
    return;
  }
  progress.OnAccepted(std::min(reply.match_index, state.log.last_index()));
  if (progress.mode() == Progress::Mode::kProbe) {
    progress.StartStream();
  }
  this->AdvanceCommit(state);
}

void Leadership::OnAppendRejected(ReplicaState& state,
                                  const DiskId& disk,
                                  Progress& progress,
                                  LogPosition hint) {
  // The index of a hint before the compaction point is used as it is. The next
  // append then finds its previous entry compacted and starts a snapshot
  // transfer.
  const LogIndex common_index =
      std::min(state.log.LastNotAbove(hint).index, hint.index);
  progress.StartProbe(Next(common_index));
  this->SendAppend(state, disk, progress, {});
}

void Leadership::OnSnapshotReply(ReplicaState& state,
                                 const ReplicaMessage& message,
                                 const SnapshotReply& reply) {
  const auto position = this->progress_by_disk.find(message.from);
  if (position == this->progress_by_disk.end()) {
    return;
  }
  Progress& progress = position->second;
  const auto sent_at = progress.OnAnswered(reply.sequence);
  progress.OnReply(sent_at, message.boot_unconfirmed);
  if (reply.installed) {
    progress.OnAccepted(std::min(reply.index, state.log.last_index()));
  }
  const auto transfer = this->transfers.find(message.from);
  if (transfer == this->transfers.end()) {
    return;
  }
  if (reply.installed && reply.index >= transfer->second.snapshot().index) {
    this->transfers.erase(transfer);
    progress.StartStream();
    this->AdvanceCommit(state);
    return;
  }
  transfer->second.OnReply(reply);
}

}  // namespace marigold::detail
