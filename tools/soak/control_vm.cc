#include "tools/soak/control_vm.h"

#include <algorithm>
#include <utility>

#include "src/core/binary_codec.h"

namespace marigold {

namespace {

// One sync of a small disk takes up to this long.
constexpr std::int64_t kLongestSyncMicros = 4'000;

// Low, so that short runs compact and send snapshots.
constexpr std::uint64_t kEntriesPerSnapshot = 60;
constexpr std::size_t kSnapshotChunkBytes = 2 * 1024;
constexpr std::size_t kRememberedChanges = 64;

constexpr Duration kReplaceAfter = std::chrono::seconds(5);

// Wall time of virtual time zero: keys have a time of issue.
constexpr WallTime kWallStart = WallTime(std::chrono::hours(24 * 365 * 50));

ControlStateSettings StateSettings() {
  ControlStateSettings settings;
  settings.remembered_changes = kRememberedChanges;
  return settings;
}

}  // namespace

ControlVm::ControlVm(Surroundings surroundings,
                     VmId vm_id,
                     DiskId disk_id,
                     Membership initial)
    : shared(surroundings),
      vm(std::move(vm_id)),
      initial_membership(std::move(initial)),
      disk(std::make_unique<FakeDisk>(std::move(disk_id), shared.plant)) {}

void ControlVm::Start() {
  if (this->is_running()) {
    return;
  }
  ReplicaSettings settings;
  settings.vm = this->vm;
  settings.initial_membership = this->initial_membership;
  settings.snapshot_chunk_bytes = kSnapshotChunkBytes;
  settings.replace_after = kReplaceAfter;
  auto opened = Capture<SoakReplica>([&] {
    return SoakReplica::Open(settings, *this->disk, this->shared.random,
                             this->shared.events.now());
  });
  if (std::holds_alternative<AnyError>(opened)) {
    this->CrashInWrite();
    return;
  }
  ++this->process;
  this->replica =
      std::make_unique<SoakReplica>(std::move(std::get<SoakReplica>(opened)));
  this->state = std::make_unique<ControlState>(StateSettings());
  this->flush_scheduled = false;
  this->applied_since_snapshot = 0;
  this->ScheduleFlush();
  this->ScheduleTick();
}

void ControlVm::Crash() {
  this->replica.reset();
  this->state.reset();
  this->AbandonWaiting();
  this->disk->LoseUnsynced(this->shared.random);
}

void ControlVm::CrashAfterWrites(std::uint64_t writes, Duration downtime) {
  this->downtime_after_write = downtime;
  this->disk->CrashAfter(writes);
}

void ControlVm::CrashInWrite() {
  this->Crash();
  this->shared.events.After(this->downtime_after_write,
                            [this] { this->Start(); });
}

void ControlVm::Freeze(MonotonicTime until) {
  this->frozen_until = std::max(this->frozen_until, until);
}

void ControlVm::LoseDisk(const DiskId& replacement) {
  this->Crash();
  this->disk = std::make_unique<FakeDisk>(replacement, this->shared.plant);
  this->disk_copy.reset();
}

void ControlVm::RememberDiskCopy() {
  this->disk_copy = this->disk->Copy();
}

void ControlVm::RestoreDiskCopy() {
  this->Crash();
  if (this->disk_copy) {
    this->disk->RestoreCopy(*this->disk_copy);
  }
}

void ControlVm::Handle(std::function<void()> input) {
  if (!this->is_running()) {
    return;
  }
  if (!this->is_frozen()) {
    input();
    return;
  }
  this->shared.events.At(
      this->frozen_until,
      [this, process_then = this->process, input = std::move(input)] {
        if (this->is_running() && this->process == process_then) {
          this->Handle(input);
        }
      });
}

void ControlVm::Receive(const ReplicaMessage& message) {
  this->Handle([this, message] {
    this->replica->Step(this->shared.events.now(), message);
    this->ScheduleFlush();
    this->ScheduleTick();
  });
}

void ControlVm::Submit(const ControlCommand& command,
                       std::function<void(SubmitAnswer)> answer) {
  this->Handle([this, command, answer = std::move(answer)] {
    const MonotonicTime now = this->shared.events.now();
    const Proposal proposal =
        this->replica->Propose(now, this->WallNow(), EncodeBinary(command));
    if (proposal.status != ProposeStatus::kProposed) {
      answer(SubmitRefusal{false, this->LeaderVm()});
      return;
    }
    this->waiting[proposal.index] = {proposal.term, answer};
    this->ScheduleFlush();
  });
}

void ControlVm::ProposeMember(const MembershipChange& change) {
  this->Handle([this, change] {
    const MonotonicTime now = this->shared.events.now();
    this->replica->ProposeMembership(now, this->WallNow(), change);
    this->ScheduleFlush();
  });
}

WallTime ControlVm::WallNow() const {
  return kWallStart + this->shared.events.now().time_since_epoch() +
         this->wall_offset;
}

void ControlVm::ScheduleTick() {
  const MonotonicTime due = this->replica->NextTick();
  this->tick_at = due;
  this->shared.events.At(due, [this, process_then = this->process, due] {
    if (!this->is_running() || this->process != process_then ||
        this->tick_at != due) {
      return;
    }
    this->Handle([this] {
      this->replica->Tick(this->shared.events.now());
      this->ScheduleFlush();
      this->ScheduleTick();
    });
  });
}

void ControlVm::ScheduleFlush() {
  if (this->flush_scheduled) {
    return;
  }
  this->flush_scheduled = true;
  const auto wait = static_cast<std::int64_t>(
      this->shared.random.NextBelow(kLongestSyncMicros));
  this->shared.events.After(
      Duration(wait), [this, process_then = this->process] {
        if (this->is_running() && this->process == process_then) {
          this->Handle([this] { this->Flush(); });
        }
      });
}

void ControlVm::Flush() {
  this->flush_scheduled = false;
  this->replica->Flush(this->shared.events.now());
  if (this->disk->has_crashed()) {
    this->CrashInWrite();
    return;
  }
  this->SendMessages();
  this->ApplyCommitted();
  if (!this->replica->storage_failed() && !this->IsLeader()) {
    this->AbandonWaiting();
  }
  this->Compact();
  if (this->is_running()) {
    this->ScheduleTick();
  }
}

void ControlVm::SendMessages() {
  for (const ReplicaMessage& message : this->replica->TakeMessages()) {
    this->send(message);
  }
}

void ControlVm::ApplyCommitted() {
  for (const CommittedItem& committed : this->replica->TakeCommitted()) {
    if (committed.snapshot && !committed.snapshot->data.empty()) {
      auto restored = Capture<int>([&]() -> Result<int> {
        BOOST_LEAF_CHECK(this->state->Restore(committed.snapshot->data));
        return 0;
      });
      if (std::holds_alternative<AnyError>(restored)) {
        this->shared.judge.ReportText("a snapshot could not be restored");
      }
    }
    if (committed.entry) {
      this->ApplyEntry(*committed.entry);
    }
  }
}

void ControlVm::ApplyEntry(const LogEntry& entry) {
  std::optional<ControlOutcome> outcome;
  if (entry.kind == EntryKind::kCommand) {
    auto decoded = Capture<ControlCommand>(
        [&] { return DecodeBinary<ControlCommand>(entry.payload); });
    outcome = this->state->Apply(entry.index, entry.proposed_at,
                                 std::get<ControlCommand>(decoded));
  }
  this->shared.judge.OnApplied(this->vm, entry, outcome);
  ++this->applied_since_snapshot;
  if (outcome) {
    this->Answer(entry.index, entry.term, *outcome);
  }
}

void ControlVm::Answer(LogIndex index,
                       Term term,
                       const ControlOutcome& outcome) {
  const auto position = this->waiting.find(index);
  if (position == this->waiting.end()) {
    return;
  }
  const Waiting waiter = std::move(position->second);
  this->waiting.erase(position);
  if (waiter.term == term) {
    waiter.answer(outcome);
  } else {
    waiter.answer(SubmitRefusal{true, this->LeaderVm()});
  }
}

// The entries may still commit under another leader.
void ControlVm::AbandonWaiting() {
  const bool may_commit =
      this->shared.plant != Plant::kDoubtReportedAsDidNotRun;
  for (auto& [index, waiter] : std::exchange(this->waiting, {})) {
    waiter.answer(SubmitRefusal{may_commit, std::nullopt});
  }
}

void ControlVm::Compact() {
  if (this->applied_since_snapshot < kEntriesPerSnapshot) {
    return;
  }
  this->applied_since_snapshot = 0;
  this->replica->Compact(this->state->applied(), this->state->Serialise());
  if (this->disk->has_crashed()) {
    this->CrashInWrite();
  }
}

bool ControlVm::IsLeader() const {
  return this->is_running() && this->replica->role() == ReplicaRole::kLeader;
}

LogIndex ControlVm::commit_index() const {
  return this->is_running() ? this->replica->commit_index() : LogIndex();
}

Term ControlVm::term() const {
  return this->is_running() ? this->replica->term() : Term();
}

LogIndex ControlVm::last_index() const {
  return this->is_running() ? this->replica->last_index() : LogIndex();
}

bool ControlVm::is_probationary() const {
  return this->is_running() && this->replica->is_boot_unconfirmed();
}

const Membership* ControlVm::membership() const {
  return this->is_running() ? &this->replica->membership() : nullptr;
}

std::optional<VmId> ControlVm::LeaderVm() const {
  const auto leader = this->replica->leader();
  if (!leader) {
    return std::nullopt;
  }
  const Member* member = this->replica->membership().Find(*leader);
  return member == nullptr ? std::nullopt : std::optional(member->vm);
}

std::optional<ListUpdate> ControlVm::UpdateAfter(LogIndex have) const {
  if (!this->is_running() || this->state->lists_index() <= have) {
    return std::nullopt;
  }
  ListUpdate update;
  update.from = have;
  update.to = this->state->lists_index();
  auto edits = this->state->EditsAfter(have);
  if (!edits || have == LogIndex()) {
    update.full_lists = this->state->lists();
    return update;
  }
  for (auto& [index, edit] : *edits) {
    update.edits.push_back(std::move(edit));
  }
  return update;
}

LogIndex ControlVm::lists_index() const {
  return this->is_running() ? this->state->lists_index() : LogIndex();
}

bool ControlVm::HasQuorumContact() const {
  return this->is_running() && this->replica->leader().has_value();
}

}  // namespace marigold
