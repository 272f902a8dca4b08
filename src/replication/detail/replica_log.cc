#include "src/replication/detail/replica_log.h"

#include <algorithm>
#include <utility>

#include "src/replication/detail/membership_codec.h"

namespace marigold::detail {

Result<ReplicaLog> ReplicaLog::Load(Membership initial_membership,
                                    std::optional<StateSnapshot> snapshot,
                                    std::vector<LogEntry> entries) {
  ReplicaLog log(std::move(initial_membership));
  if (snapshot) {
    log.snapshot_position = {snapshot->term, snapshot->index};
    log.snapshot_proposed_at = snapshot->proposed_at;
    log.memberships = {{log.snapshot_position, snapshot->membership}};
    log.latest_snapshot =
        std::make_shared<const StateSnapshot>(std::move(*snapshot));
  }
  for (LogEntry& entry : entries) {
    BOOST_LEAF_CHECK(log.AppendLoaded(std::move(entry)));
  }
  log.last_saved = log.last_index();
  return log;
}

Result<void> ReplicaLog::AppendLoaded(LogEntry entry) {
  const LogPosition last = this->last_position();
  if (entry.index != Next(last.index) || entry.term < last.term) {
    return boost::leaf::new_error(ParseError{
        "log", {}, "an entry with the next index and no lower term"});
  }
  if (entry.kind == EntryKind::kMembership) {
    BOOST_LEAF_AUTO(membership, DecodeMembership(entry.payload));
    this->memberships.push_back(
        {{entry.term, entry.index}, std::move(membership)});
  }
  this->entries.push_back(std::move(entry));
  return {};
}

void ReplicaLog::Append(LogEntry entry) {
  if (entry.kind == EntryKind::kMembership) {
    // Followers validate membership entries before they append them.
    Result<Membership> membership = DecodeMembership(entry.payload);
    if (membership) {
      this->memberships.push_back(
          {{entry.term, entry.index}, std::move(membership.value())});
    }
  }
  this->entries.push_back(std::move(entry));
}

void ReplicaLog::TruncateFrom(LogIndex index) {
  if (index > this->last_index()) {
    return;
  }
  const auto offset = static_cast<std::ptrdiff_t>(this->Offset(index));
  this->entries.erase(this->entries.begin() + offset, this->entries.end());
  while (this->memberships.size() > 1 &&
         this->memberships.back().position.index >= index) {
    this->memberships.pop_back();
  }
  if (index <= this->last_saved) {
    this->pending_truncate_from =
        std::min(index, this->pending_truncate_from.value_or(index));
    this->last_saved = LogIndex(index.value() - 1);
  }
}

void ReplicaLog::Install(std::shared_ptr<const StateSnapshot> new_snapshot) {
  const LogIndex index = new_snapshot->index;
  const auto own_term = this->TermAt(index);
  if (own_term && *own_term != new_snapshot->term) {
    this->TruncateFrom(index);
  }
  this->Compact(std::move(new_snapshot));
  this->is_install_pending = true;
}

void ReplicaLog::Compact(std::shared_ptr<const StateSnapshot> new_snapshot) {
  const LogIndex index = new_snapshot->index;
  const LogIndex last_dropped = std::min(index, this->last_index());
  if (last_dropped > this->snapshot_position.index) {
    const auto count =
        static_cast<std::ptrdiff_t>(this->Offset(last_dropped)) + 1;
    this->entries.erase(this->entries.begin(), this->entries.begin() + count);
  }
  std::erase_if(this->memberships, [&](const LoggedMembership& item) {
    return item.position.index <= index;
  });
  this->snapshot_position = {new_snapshot->term, index};
  this->snapshot_proposed_at = new_snapshot->proposed_at;
  this->memberships.insert(this->memberships.begin(),
                           {this->snapshot_position, new_snapshot->membership});
  this->last_saved = std::max(this->last_saved, index);
  this->latest_snapshot = std::move(new_snapshot);
}

void ReplicaLog::MarkSaved() {
  this->last_saved = this->last_index();
  this->pending_truncate_from.reset();
  this->is_install_pending = false;
}

LogPosition ReplicaLog::last_position() const {
  if (this->entries.empty()) {
    return this->snapshot_position;
  }
  return {this->entries.back().term, this->entries.back().index};
}

WallTime ReplicaLog::last_proposed_at() const {
  return this->entries.empty() ? this->snapshot_proposed_at
                               : this->entries.back().proposed_at;
}

std::optional<Term> ReplicaLog::TermAt(LogIndex index) const {
  if (index == this->snapshot_position.index) {
    return this->snapshot_position.term;
  }
  if (index < this->snapshot_position.index || index > this->last_index()) {
    return std::nullopt;
  }
  return this->At(index).term;
}

const LogEntry& ReplicaLog::At(LogIndex index) const {
  return this->entries.at(this->Offset(index));
}

std::vector<LogEntry> ReplicaLog::Slice(LogIndex from,
                                        std::size_t max_entries,
                                        std::size_t max_bytes) const {
  std::vector<LogEntry> slice;
  std::size_t bytes = 0;
  for (LogIndex index = from; index <= this->last_index();
       index = Next(index)) {
    const LogEntry& entry = this->At(index);
    bytes += entry.payload.size();
    if (!slice.empty() && (slice.size() >= max_entries || bytes > max_bytes)) {
      break;
    }
    slice.push_back(entry);
  }
  return slice;
}

LogPosition ReplicaLog::LastNotAbove(LogPosition bound) const {
  LogIndex index = std::min(bound.index, this->last_index());
  while (index > this->snapshot_position.index &&
         this->At(index).term > bound.term) {
    index = LogIndex(index.value() - 1);
  }
  if (index <= this->snapshot_position.index) {
    return this->snapshot_position;
  }
  return {this->At(index).term, index};
}

const Membership& ReplicaLog::MembershipAfter(LogIndex index) const {
  const auto later =
      std::find_if(this->memberships.begin() + 1, this->memberships.end(),
                   [&](const LoggedMembership& item) {
                     return item.position.index > index;
                   });
  return (later - 1)->membership;
}

const Membership* ReplicaLog::previous_membership() const {
  const std::size_t count = this->memberships.size();
  return count < 2 ? nullptr : &this->memberships[count - 2].membership;
}

bool ReplicaLog::AnyMembershipContains(const DiskId& disk) const {
  return std::any_of(this->memberships.begin(), this->memberships.end(),
                     [&](const LoggedMembership& item) {
                       return item.membership.Find(disk) != nullptr;
                     });
}

StateSnapshot ReplicaLog::MakeSnapshot(LogIndex index, std::string data) const {
  const LogEntry& entry = this->At(index);
  return {index, entry.term, this->MembershipAfter(index), entry.proposed_at,
          std::move(data)};
}

bool ReplicaLog::has_writes() const {
  return this->pending_truncate_from || this->is_install_pending ||
         this->last_saved < this->last_index();
}

LogWrites ReplicaLog::Writes() const {
  LogWrites writes;
  writes.truncate_from = this->pending_truncate_from;
  if (this->is_install_pending) {
    writes.install = this->latest_snapshot;
  }
  for (LogIndex index = Next(this->last_saved); index <= this->last_index();
       index = Next(index)) {
    writes.append.push_back(this->At(index));
  }
  return writes;
}

std::size_t ReplicaLog::Offset(LogIndex index) const {
  return index.value() - this->snapshot_position.index.value() - 1;
}

}  // namespace marigold::detail
