#include "tools/soak/control_vm.h"

#include <algorithm>
#include <utility>

#include "src/core/binary_codec.h"

namespace marigold {

namespace {

// Longest duration of a sync on a small disk.
constexpr std::int64_t kMaxSyncMicros = 4'000;

// This is low so that short runs compact the log and send snapshots.
constexpr std::uint64_t kEntriesPerSnapshot = 60;
constexpr std::size_t kSnapshotChunkBytes = 2 * 1024;
constexpr std::size_t kRememberedChanges = 64;

constexpr Duration kReplaceAfter = std::chrono::seconds(5);

// Wall time at virtual time zero. Idempotency keys carry a time of issue.
constexpr WallTime kWallStart = WallTime(std::chrono::hours(24 * 365 * 50));

ControlStateSettings StateSettings() {
  ControlStateSettings settings;
  settings.remembered_changes = kRememberedChanges;
  return settings;
}

}  // namespace

ControlVm::ControlVm(SimulationContext simulation_context,
                     VmId vm_id,
                     DiskId disk_id,
                     Membership initial)
    : context(simulation_context),
      vm(std::move(vm_id)),
      initial_membership(std::move(initial)),
      disk(std::make_unique<FakeDisk>(std::move(disk_id),
                                      context.planted_bug)) {}

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
    return SoakReplica::Open(settings, *this->disk, this->context.random,
                             this->context.events.now());
  });
  if (std::holds_alternative<AnyError>(opened)) {
    this->CrashThenRestart();
    return;
  }
  ++this->process_generation;
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
  this->FailPendingSubmits();
  this->disk->LoseUnsynced(this->context.random);
}

void ControlVm::CrashAfterWrites(std::uint64_t writes, Duration downtime) {
  this->downtime_after_write_crash = downtime;
  this->disk->CrashAfter(writes);
}

void ControlVm::CrashThenRestart() {
  this->Crash();
  this->context.events.After(this->downtime_after_write_crash,
                             [this] { this->Start(); });
}

void ControlVm::Freeze(MonotonicTime until) {
  this->frozen_until = std::max(this->frozen_until, until);
}

void ControlVm::LoseDisk(const DiskId& replacement) {
  this->Crash();
  this->disk =
      std::make_unique<FakeDisk>(replacement, this->context.planted_bug);
  this->saved_disk.reset();
}

void ControlVm::SaveDiskCopy() {
  this->saved_disk = this->disk->Copy();
}

void ControlVm::RestoreDiskCopy() {
  this->Crash();
  if (this->saved_disk) {
    this->disk->RestoreCopy(*this->saved_disk);
  }
}

void ControlVm::HandleInput(std::function<void()> input) {
  if (!this->is_running()) {
    return;
  }
  if (!this->is_frozen()) {
    input();
    return;
  }
  this->context.events.At(
      this->frozen_until,
      [this, generation = this->process_generation, input = std::move(input)] {
        if (this->is_running() && this->process_generation == generation) {
          this->HandleInput(input);
        }
      });
}

void ControlVm::Receive(const ReplicaMessage& message) {
  this->HandleInput([this, message] {
    this->replica->Step(this->context.events.now(), message);
    this->ScheduleFlush();
    this->ScheduleTick();
  });
}

void ControlVm::Submit(const ControlCommand& command,
                       std::function<void(SubmitAnswer)> answer) {
  this->HandleInput([this, command, answer = std::move(answer)] {
    const MonotonicTime now = this->context.events.now();
    const Proposal proposal =
        this->replica->Propose(now, this->WallNow(), EncodeBinary(command));
    if (proposal.status != ProposeStatus::kProposed) {
      answer(SubmitRefusal{false, this->LeaderVm()});
      return;
    }
    this->pending_submits[proposal.index] = {proposal.term, answer};
    this->ScheduleFlush();
  });
}

void ControlVm::ProposeMember(const MembershipChange& change) {
  this->HandleInput([this, change] {
    const MonotonicTime now = this->context.events.now();
    this->replica->ProposeMembership(now, this->WallNow(), change);
    this->ScheduleFlush();
  });
}

WallTime ControlVm::WallNow() const {
  return kWallStart + this->context.events.now().time_since_epoch() +
         this->wall_clock_offset;
}

void ControlVm::ScheduleTick() {
  const MonotonicTime due = this->replica->NextTick();
  this->tick_at = due;
  this->context.events.At(
      due, [this, generation = this->process_generation, due] {
        if (!this->is_running() || this->process_generation != generation ||
            this->tick_at != due) {
          return;
        }
        this->HandleInput([this] {
          this->replica->Tick(this->context.events.now());
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
  const auto sync_time =
      static_cast<std::int64_t>(this->context.random.NextBelow(kMaxSyncMicros));
  this->context.events.After(
      Duration(sync_time), [this, generation = this->process_generation] {
        if (this->is_running() && this->process_generation == generation) {
          this->HandleInput([this] { this->Flush(); });
        }
      });
}

void ControlVm::Flush() {
  this->flush_scheduled = false;
  this->replica->Flush(this->context.events.now());
  if (this->disk->has_crashed()) {
    this->CrashThenRestart();
    return;
  }
  this->SendMessages();
  this->ApplyCommitted();
  if (!this->replica->storage_failed() && !this->IsLeader()) {
    this->FailPendingSubmits();
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
        this->context.checker.ReportViolation(
            "a control VM could not restore a snapshot");
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
  this->context.checker.OnApplied(this->vm, entry, outcome);
  ++this->applied_since_snapshot;
  if (outcome) {
    this->Answer(entry.index, entry.term, *outcome);
  }
}

void ControlVm::Answer(LogIndex index,
                       Term term,
                       const ControlOutcome& outcome) {
  const auto position = this->pending_submits.find(index);
  if (position == this->pending_submits.end()) {
    return;
  }
  const PendingSubmit pending = std::move(position->second);
  this->pending_submits.erase(position);
  if (pending.term == term) {
    pending.answer(outcome);
  } else {
    pending.answer(SubmitRefusal{true, this->LeaderVm()});
  }
}

// Fails all pending submits. Their entries may still commit under another
// leader.
void ControlVm::FailPendingSubmits() {
  const bool may_commit =
      this->context.planted_bug != PlantedBug::kDoubtReportedAsDidNotRun;
  for (auto& [index, pending] : std::exchange(this->pending_submits, {})) {
    pending.answer(SubmitRefusal{may_commit, std::nullopt});
  }
}

void ControlVm::Compact() {
  if (this->applied_since_snapshot < kEntriesPerSnapshot) {
    return;
  }
  this->applied_since_snapshot = 0;
  this->replica->Compact(this->state->applied(), this->state->Serialise());
  if (this->disk->has_crashed()) {
    this->CrashThenRestart();
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

bool ControlVm::is_boot_unconfirmed() const {
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

std::optional<ListUpdate> ControlVm::ListUpdateAfter(
    LogIndex known_index) const {
  if (!this->is_running() || this->state->lists_index() <= known_index) {
    return std::nullopt;
  }
  ListUpdate update;
  update.from = known_index;
  update.to = this->state->lists_index();
  auto edits = this->state->EditsAfter(known_index);
  if (!edits || known_index == LogIndex()) {
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

bool ControlVm::KnowsLeader() const {
  return this->is_running() && this->replica->leader().has_value();
}

}  // namespace marigold
