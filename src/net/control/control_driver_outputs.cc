#include <cstdlib>
#include <utility>

#include "src/core/log.h"
#include "src/net/control/detail/control_driver_impl.h"

namespace marigold {

namespace {

Refusal Lost(Execution execution, Reason reason, std::string detail) {
  return {execution, reason, std::move(detail), {}};
}

// A member that can't apply what the group has committed must not go on: its
// lists would differ from the others'.
[[noreturn]] void StopUnapplicable(std::string_view what,
                                   LogIndex index,
                                   const AnyError& error) {
  LogEvent(
      LogLevel::kError, "committed_data_unreadable",
      {{"what", what}, {"index", index.value()}, {"error", ToString(error)}});
  std::abort();
}

}  // namespace

void ControlDriver::Impl::SendMessages() {
  for (ReplicaMessage& message : this->replica->TakeMessages()) {
    const auto heard = this->heard_addresses.find(message.to);
    const Member* member = this->replica->membership().Find(message.to);
    if (heard == this->heard_addresses.end() && member == nullptr) {
      continue;
    }
    const Endpoint address =
        heard != this->heard_addresses.end() ? heard->second : member->address;
    ++this->counters.peer_messages_sent;
    this->links->Send(
        address, EncodeControlMessage(
                     PeerMessage{this->settings.address, std::move(message)}));
  }
}

void ControlDriver::Impl::ApplyCommitted() {
  for (const Committed& committed : this->replica->TakeCommitted()) {
    if (committed.snapshot) {
      this->RestoreSnapshot(*committed.snapshot);
    }
    if (committed.entry) {
      this->ApplyEntry(*committed.entry);
    }
  }
}

void ControlDriver::Impl::RestoreSnapshot(const SnapshotImage& image) {
  const auto restored = Capture<bool>([&]() -> Result<bool> {
    BOOST_LEAF_CHECK(this->table.Restore(image.data));
    return true;
  });
  if (const auto* error = std::get_if<AnyError>(&restored)) {
    StopUnapplicable("snapshot", image.index, *error);
  }
  this->applied = image.index;
  this->snapshot_bytes = image.data.size();
  this->applied_bytes = 0;
}

void ControlDriver::Impl::ApplyEntry(const LogEntry& entry) {
  this->applied = entry.index;
  this->applied_bytes += entry.payload.size();
  EntryOutcome outcome = EntryCommitted();
  if (entry.kind == EntryKind::kCommand) {
    const auto command =
        Capture<ControlCommand>([&] { return DecodeCommand(entry.payload); });
    if (const auto* error = std::get_if<AnyError>(&command)) {
      StopUnapplicable("entry", entry.index, *error);
    }
    outcome = this->table.Apply(entry.index, entry.proposed_at,
                                std::get<ControlCommand>(command));
    ++this->counters.commands_applied;
  }
  auto waiter = this->pending.Take(entry.index);
  if (!waiter) {
    return;
  }
  if (waiter->first != entry.term) {
    ++this->counters.refused_did_not_run;
    outcome = Lost(Execution::kDidNotRun, Reason::kNoQuorum,
                   "another leader's entry took the command's place");
  }
  this->Deliver([outcome = std::move(outcome),
                 done = std::move(waiter->second)] { done(outcome); });
}

// What was appended under a leadership that has ended may still commit.
void ControlDriver::Impl::FailLostEntries() {
  const bool is_leader = this->replica->role() == ReplicaRole::kLeader &&
                         !this->replica->storage_failed();
  const Reason reason = this->replica->storage_failed() ? Reason::kStorageFailed
                                                        : Reason::kNoQuorum;
  for (EntryDone& done : this->pending.TakeAllBut(
           is_leader ? std::optional(this->replica->term()) : std::nullopt)) {
    ++this->counters.refused_may_have_run;
    this->Deliver([reason, done = std::move(done)] {
      done(Lost(Execution::kMayHaveRun, reason,
                "the leader lost its place after it appended the command"));
    });
  }
}

void ControlDriver::Impl::AnswerReads() {
  if (this->reads.empty()) {
    return;
  }
  ReadAnswer answer;
  answer.leader = this->LeaderAddress();
  if (this->replica) {
    const auto index = this->replica->ReadIndex(this->clock.Now());
    answer.is_confirmed = index && this->applied >= *index;
  }
  for (auto& done : std::exchange(this->reads, {})) {
    this->Deliver([answer, done = std::move(done)] { done(answer); });
  }
}

// A snapshot is as large as the whole state, so it is not written before that
// many bytes have been applied since the last one. Members that saved theirs
// after the same entry would all stop at once, and the group would lose its
// leader.
void ControlDriver::Impl::CompactIfDue() {
  const std::uint64_t since =
      this->applied.value() - this->replica->snapshot_index().value();
  if (since < this->settings.compact_entries + this->compact_delay ||
      this->applied_bytes < this->snapshot_bytes ||
      this->replica->storage_failed()) {
    return;
  }
  std::string image = this->table.Serialise();
  this->snapshot_bytes = image.size();
  this->counters.snapshot_bytes = image.size();
  this->applied_bytes = 0;
  this->compact_delay = this->DrawCompactDelay();
  LogEvent(LogLevel::kInfo, "snapshot",
           {{"index", this->applied.value()}, {"bytes", image.size()}});
  const MonotonicTime began = this->clock.Now();
  this->replica->Compact(this->applied, std::move(image));
  this->LogIfSlow("snapshot", this->clock.Now() - began);
}

std::uint64_t ControlDriver::Impl::DrawCompactDelay() {
  return this->random.NextBelow(this->settings.compact_entries);
}

void ControlDriver::Impl::Publish() {
  ControlStatus status;
  status.self = this->OwnMember();
  status.data_centre = this->settings.data_centre;
  status.membership = this->CurrentMembership();
  if (this->replica) {
    const DriverReplica& member = *this->replica;
    status.is_leader = member.role() == ReplicaRole::kLeader;
    status.has_quorum = status.is_leader
                            ? member.ReadIndex(this->clock.Now()).has_value()
                            : member.leader().has_value() &&
                                  member.has_committed_in_term() &&
                                  this->applied >= member.commit_index();
    status.storage_failed = member.storage_failed();
    status.is_probationary = member.is_probationary();
    status.leader = member.leader();
    status.term = member.term();
    status.commit_index = member.commit_index();
    status.applied_index = this->applied;
    status.last_index = member.last_index();
    status.snapshot_index = member.snapshot_index();
  }
  this->has_quorum = status.has_quorum;
  this->table.Publish(std::move(status));
}

void ControlDriver::Impl::ReportListsChanged() {
  const LogIndex lists = this->table.lists_index();
  if (lists != this->reported_lists ||
      this->has_quorum != this->reported_quorum) {
    this->reported_lists = lists;
    this->reported_quorum = this->has_quorum;
    this->Deliver(this->on_lists_changed);
  }
}

void ControlDriver::Impl::Deliver(std::function<void()> call) {
  this->deliveries.push_back(std::move(call));
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
      return Lost(Execution::kDidNotRun, Reason::kStorageFailed,
                  "the control VM can't write its disk");
    case ProposeStatus::kRefused:
      return Lost(Execution::kDidNotRun, Reason::kBadRequest,
                  "another membership change is in progress, the member does "
                  "not answer or lags, or the group would lose its quorum");
    case ProposeStatus::kNoQuorum:
      return Lost(Execution::kDidNotRun, Reason::kNoQuorum,
                  "the leader has not heard from a quorum lately");
    case ProposeStatus::kNotLeader:
    case ProposeStatus::kProposed:
      break;
  }
  return Lost(Execution::kDidNotRun, Reason::kNoQuorum,
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
