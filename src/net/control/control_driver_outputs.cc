#include <cstdlib>
#include <utility>

#include "src/core/log.h"
#include "src/net/control/detail/control_driver_impl.h"

namespace marigold {

namespace {

Refusal MakeRefusal(Execution execution, Reason reason, std::string detail) {
  return {execution, reason, std::move(detail), {}};
}

// Aborts the process. A member that can't apply committed data must not
// continue, because its lists would diverge from those of the other members.
[[noreturn]] void AbortOnUnreadableData(std::string_view data_kind,
                                        LogIndex index,
                                        const AnyError& error) {
  LogEvent(LogLevel::kError, "committed_data_unreadable",
           {{"what", data_kind},
            {"index", index.value()},
            {"error", ToString(error)}});
  std::abort();
}

// Logs a committed command that has put other routes in force.
void LogNewRoutes(const LogEntry& entry, const EntryOutcome& entry_outcome) {
  const auto* outcome = std::get_if<ControlOutcome>(&entry_outcome);
  const auto* routes =
      outcome == nullptr ? nullptr : std::get_if<PutRoutesOutcome>(outcome);
  if (routes != nullptr && routes->changed) {
    LogEvent(LogLevel::kInfo, "routes_committed",
             {{"version", routes->version.value()},
              {"index", entry.index.value()},
              {"term", entry.term.value()}});
  }
}

// Logs a committed order on the evacuation of a data centre.
void LogEvacuation(const LogEntry& entry,
                   const ControlCommand& command,
                   const EntryOutcome& entry_outcome) {
  const auto* order = std::get_if<SetEvacuation>(&command);
  const auto* outcome = std::get_if<ControlOutcome>(&entry_outcome);
  const auto* evacuation =
      outcome == nullptr ? nullptr : std::get_if<SetEvacuationOutcome>(outcome);
  if (order != nullptr && evacuation != nullptr) {
    LogEvent(LogLevel::kInfo, "evacuation_committed",
             {{"data_centre", order->data_centre.value()},
              {"evacuated", order->is_evacuated},
              {"changed", evacuation->changed},
              {"index", entry.index.value()},
              {"term", entry.term.value()}});
  }
}

}  // namespace

void ControlDriver::Impl::SendMessages() {
  for (ReplicaMessage& message : this->replica->TakeMessages()) {
    const auto learned_address = this->learned_addresses.find(message.to);
    const Member* member = this->replica->membership().Find(message.to);
    if (learned_address == this->learned_addresses.end() && member == nullptr) {
      continue;
    }
    const Endpoint address = learned_address != this->learned_addresses.end()
                                 ? learned_address->second
                                 : member->address;
    ++this->counters.peer_messages_sent;
    this->links->Send(
        address, EncodeControlMessage(
                     PeerMessage{this->settings.address, std::move(message)}));
  }
}

void ControlDriver::Impl::ApplyCommitted() {
  for (const CommittedItem& committed : this->replica->TakeCommitted()) {
    // A replica that was opened again after a failure of the disk delivers
    // entries that the table already contains.
    if (committed.snapshot) {
      this->compaction.OnSnapshot(committed.snapshot->data.size());
      if (committed.snapshot->index > this->applied_index) {
        this->RestoreSnapshot(*committed.snapshot);
      }
    }
    if (committed.entry) {
      this->compaction.OnApplied(committed.entry->payload.size());
      if (committed.entry->index > this->applied_index) {
        this->ApplyEntry(*committed.entry);
      }
    }
  }
}

void ControlDriver::Impl::RestoreSnapshot(const StateSnapshot& snapshot) {
  const auto restored = Capture<bool>([&]() -> Result<bool> {
    BOOST_LEAF_CHECK(this->table.Restore(snapshot.data));
    return true;
  });
  if (const auto* error = std::get_if<AnyError>(&restored)) {
    AbortOnUnreadableData("snapshot", snapshot.index, *error);
  }
  this->applied_index = snapshot.index;
}

void ControlDriver::Impl::ApplyEntry(const LogEntry& entry) {
  this->applied_index = entry.index;
  EntryOutcome outcome = EntryCommitted();
  if (entry.kind == EntryKind::kCommand) {
    const auto command =
        Capture<ControlCommand>([&] { return DecodeCommand(entry.payload); });
    if (const auto* error = std::get_if<AnyError>(&command)) {
      AbortOnUnreadableData("entry", entry.index, *error);
    }
    outcome = this->table.Apply(entry.index, entry.proposed_at,
                                std::get<ControlCommand>(command));
    ++this->counters.commands_applied;
    LogNewRoutes(entry, outcome);
    LogEvacuation(entry, std::get<ControlCommand>(command), outcome);
  }
  auto pending_entry = this->pending.Take(entry.index);
  if (!pending_entry) {
    return;
  }
  if (pending_entry->first != entry.term) {
    ++this->counters.refused_did_not_run;
    outcome = MakeRefusal(Execution::kDidNotRun, Reason::kNoQuorum,
                          "another leader's entry took the command's place");
  }
  this->RunAfterUnlock(
      [outcome = std::move(outcome), done = std::move(pending_entry->second)] {
        done(outcome);
      });
}

// Answers the callers whose entries this member can no longer confirm, because
// it has lost the leadership of their term or its disk has failed. Other
// members may still commit these entries, so the refusals state may-have-run.
void ControlDriver::Impl::FailStaleTermEntries() {
  const bool is_leader = this->replica->role() == ReplicaRole::kLeader &&
                         !this->replica->storage_failed();
  const Reason reason = this->replica->storage_failed() ? Reason::kStorageFailed
                                                        : Reason::kNoQuorum;
  for (EntryCallback& done : this->pending.TakeAllExceptTerm(
           is_leader ? std::optional(this->replica->term()) : std::nullopt)) {
    ++this->counters.refused_may_have_run;
    this->RunAfterUnlock([reason, done = std::move(done)] {
      done(MakeRefusal(
          Execution::kMayHaveRun, reason,
          "the leader lost its place after it appended the command"));
    });
  }
}

void ControlDriver::Impl::AnswerPendingReads() {
  if (this->pending_reads.empty()) {
    return;
  }
  ConfirmReadAnswer answer;
  answer.leader = this->LeaderAddress();
  if (this->replica) {
    const auto index = this->replica->ReadIndex(this->clock.Now());
    answer.is_confirmed = index && this->applied_index >= *index;
  }
  for (auto& done : std::exchange(this->pending_reads, {})) {
    this->RunAfterUnlock([answer, done = std::move(done)] { done(answer); });
  }
}

void ControlDriver::Impl::CompactIfDue() {
  // After a failure of the disk, the replica may not have delivered all applied
  // entries again yet.
  if (!this->compaction.IsDue() || this->replica->storage_failed() ||
      this->replica->commit_index() < this->applied_index) {
    return;
  }
  std::string snapshot = this->table.Serialise();
  this->compaction.OnSnapshot(snapshot.size());
  this->counters.snapshot_bytes = snapshot.size();
  LogEvent(
      LogLevel::kInfo, "snapshot",
      {{"index", this->applied_index.value()}, {"bytes", snapshot.size()}});
  const MonotonicTime began_at = this->clock.Now();
  this->replica->Compact(this->applied_index, std::move(snapshot));
  this->LogIfSlowSync("snapshot", this->clock.Now() - began_at);
}

void ControlDriver::Impl::PublishStatus() {
  ControlStatus status;
  status.self = this->OwnMember();
  status.data_centre = this->settings.data_centre;
  status.membership = this->CurrentMembership();
  if (this->replica) {
    const DriverReplica& member = *this->replica;
    status.is_leader = member.role() == ReplicaRole::kLeader;
    const MonotonicTime now = this->clock.Now();
    this->lag.OnApplied(now, this->applied_index);
    this->lag.OnReported(now, member.leader_commit_index());
    status.has_quorum = this->HasCurrentLists(now);
    status.is_probationary = member.is_boot_unconfirmed();
    status.leader = member.leader();
    status.term = member.term();
    status.commit_index = member.commit_index();
    status.applied_index = this->applied_index;
    status.last_index = member.last_index();
    status.snapshot_index = member.snapshot_index();
  }
  status.storage_failed = this->storage_retry.is_pending() ||
                          (this->replica && this->replica->storage_failed());
  this->has_quorum = status.has_quorum;
  this->table.Publish(std::move(status));
}

// True if the table holds what the group has committed, but for the last
// moments. Entry VMs follow only such a control VM.
bool ControlDriver::Impl::HasCurrentLists(MonotonicTime now) const {
  const DriverReplica& member = *this->replica;
  // A member whose disk has failed hears its leader but applies nothing.
  if (member.storage_failed()) {
    return false;
  }
  if (member.role() == ReplicaRole::kLeader) {
    return member.ReadIndex(now).has_value();
  }
  return member.leader().has_value() && member.has_committed_in_term() &&
         this->applied_index >= member.commit_index() &&
         !this->lag.IsLagging(now);
}

void ControlDriver::Impl::ReportListsChanged() {
  const LogIndex lists_index = this->table.lists_index();
  if (lists_index != this->reported_lists_index ||
      this->has_quorum != this->reported_has_quorum) {
    this->reported_lists_index = lists_index;
    this->reported_has_quorum = this->has_quorum;
    this->RunAfterUnlock(this->on_lists_changed);
  }
}

void ControlDriver::Impl::RunAfterUnlock(std::function<void()> call) {
  this->calls_after_unlock.push_back(std::move(call));
}

std::optional<Endpoint> ControlDriver::Impl::LeaderAddress() const {
  if (!this->replica || !this->replica->leader()) {
    return std::nullopt;
  }
  const Member* leader =
      this->replica->membership().Find(*this->replica->leader());
  return leader == nullptr ? std::nullopt : std::optional(leader->address);
}

Refusal ControlDriver::Impl::RefusalOf(ProposeStatus status) const {
  switch (status) {
    case ProposeStatus::kStorageFailed:
      return MakeRefusal(Execution::kDidNotRun, Reason::kStorageFailed,
                         "the control VM can't write its disk");
    case ProposeStatus::kRefused:
      return MakeRefusal(
          Execution::kDidNotRun, Reason::kBadRequest,
          "another membership change is in progress, the member does "
          "not answer or lags, or the group would lose its quorum");
    case ProposeStatus::kNoQuorum:
      return MakeRefusal(Execution::kDidNotRun, Reason::kNoQuorum,
                         "the leader has not heard from a quorum lately");
    case ProposeStatus::kNotLeader:
    case ProposeStatus::kProposed:
      break;
  }
  return MakeRefusal(Execution::kDidNotRun, Reason::kNoQuorum,
                     "this control VM does not lead");
}

Member ControlDriver::Impl::OwnMember() const {
  Member member{this->disk, this->settings.vm, this->settings.address,
                this->settings.join_as, this->settings.data_centre};
  if (this->replica) {
    if (const Member* listed = this->replica->membership().Find(this->disk)) {
      member.role = listed->role;
    }
  }
  return member;
}

Membership ControlDriver::Impl::CurrentMembership() const {
  return this->replica ? this->replica->membership() : Membership();
}

}  // namespace marigold
