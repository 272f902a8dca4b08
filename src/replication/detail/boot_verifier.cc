#include "src/replication/detail/boot_verifier.h"

#include <algorithm>

#include "src/core/log.h"

namespace marigold::detail {

namespace {

// A voter that has not answered for this many election timeouts is taken for
// lost. A group replaces a lost leader within four election timeouts.
constexpr int kLostAfterTimeouts = 4;

// The candidate bounds expire after this many election timeouts without a
// leader. Otherwise, a voter that sends messages but cannot be elected would
// prevent all elections.
constexpr int kCandidateBoundTimeouts = 20;

std::uint32_t RoundsIn(const ReplicaSettings& settings, int timeouts) {
  const auto rounds =
      settings.election_timeout * timeouts / settings.heartbeat_interval;
  return static_cast<std::uint32_t>(rounds) + 1;
}

std::vector<DiskId> VotersExcept(const Membership& membership,
                                 const DiskId& disk) {
  std::vector<DiskId> voters;
  for (const Member& member : membership.members) {
    if (member.role == MemberRole::kVoter && member.disk != disk) {
      voters.push_back(member.disk);
    }
  }
  return voters;
}

}  // namespace

BootVerifier::BootVerifier(const ReplicaState& state)
    : opened_last_position(state.log.last_position()),
      opened_term(state.hard_state.term),
      round_due(state.now) {}

std::optional<MonotonicTime> BootVerifier::next_round(
    const ReplicaState& state) const {
  if (!this->IsAskingVoters(state) && this->candidate_bounds.empty()) {
    return std::nullopt;
  }
  return this->round_due;
}

bool BootVerifier::IsAskingVoters(const ReplicaState& state) const {
  const bool lease_wait_pending =
      this->lease_wait_active && !this->has_followed_leader;
  return (state.boot_unconfirmed || lease_wait_pending) &&
         !state.hard_state.is_rolled_back &&
         state.log.AnyMembershipContains(state.disk);
}

void BootVerifier::Tick(ReplicaState& state) {
  const auto due = this->next_round(state);
  if (!due || state.now < *due) {
    return;
  }
  this->round_due = state.now + state.settings.heartbeat_interval;
  this->CountRound(state);
  if (this->IsAskingVoters(state)) {
    this->SendBootRequests(state);
    this->ConfirmIfQuorum(state);
  }
}

void BootVerifier::CountRound(ReplicaState& state) {
  ++this->rounds;
  const std::uint32_t lost_after_rounds =
      RoundsIn(state.settings, kLostAfterTimeouts);
  for (auto& [disk, bound] : this->candidate_bounds) {
    ++bound.silent_rounds;
  }
  const bool expired =
      !state.boot_unconfirmed &&
      this->rounds > RoundsIn(state.settings, kCandidateBoundTimeouts);
  // Once this member has followed a leader up to the bound, the end of its own
  // log is at least as strict a bound.
  const LogPosition last_position = state.log.last_position();
  std::erase_if(this->candidate_bounds, [&](const auto& item) {
    const CandidateBound& bound = item.second;
    return expired || bound.silent_rounds > lost_after_rounds ||
           (state.leader && bound.last_position <= last_position);
  });
  if (!state.boot_unconfirmed && !state.hears_leader()) {
    this->lease_wait_active = false;
  }
}

void BootVerifier::SendBootRequests(ReplicaState& state) const {
  std::vector<DiskId> voters =
      VotersExcept(this->LatestMembership(state), state.disk);
  for (const DiskId& disk : VotersExcept(state.membership(), state.disk)) {
    if (std::find(voters.begin(), voters.end(), disk) == voters.end()) {
      voters.push_back(disk);
    }
  }
  for (const DiskId& disk : voters) {
    state.Send(disk, BootRequest{});
  }
}

const Membership& BootVerifier::LatestMembership(
    const ReplicaState& state) const {
  const LoggedMembership* latest = &state.log.membership();
  for (const auto& [disk, confirmation] : this->confirmations) {
    if (confirmation.membership.position > latest->position) {
      latest = &confirmation.membership;
    }
  }
  return latest->membership;
}

void BootVerifier::OnReply(ReplicaState& state,
                           const ReplicaMessage& message,
                           const BootReply& reply) {
  if (state.hard_state.is_rolled_back || reply.boot_nonce != state.boot.nonce) {
    return;
  }
  if (state.boot_unconfirmed) {
    this->CountConfirmation(state, message, reply);
  }
  if (reply.accepted) {
    this->UpdateLeaderlessVoters(state, message.from, reply);
  }
}

void BootVerifier::OnLeaderFollowed() {
  this->has_followed_leader = true;
  this->leaderless_voters.clear();
}

void BootVerifier::OnBootRequest(ReplicaState& state,
                                 const DiskId& disk) const {
  if (this->IsAskingVoters(state) && !this->leaderless_voters.contains(disk)) {
    state.Send(disk, BootRequest{});
  }
}

void BootVerifier::CountConfirmation(ReplicaState& state,
                                     const ReplicaMessage& message,
                                     const BootReply& reply) {
  if (!reply.accepted) {
    this->MarkRolledBack(state, reply.known_boot_count);
    return;
  }
  const LogPosition& acknowledged = reply.acknowledged;
  const bool has_lost_entries =
      acknowledged.index > LogIndex() &&
      (acknowledged.term > this->opened_term ||
       (acknowledged.term == this->opened_term &&
        acknowledged.index > this->opened_last_position.index));
  if (has_lost_entries) {
    this->MarkRolledBack(state, reply.known_boot_count);
    return;
  }
  this->confirmations[message.from] = {
      message.term,
      reply.last_position,
      {reply.membership_position, reply.membership}};
  this->ConfirmIfQuorum(state);
}

void BootVerifier::ConfirmIfQuorum(ReplicaState& state) {
  const Membership& membership = this->LatestMembership(state);
  // A member that its own log removes may still be needed to commit the
  // removal, so all memberships in the log count.
  if (!state.boot_unconfirmed || state.hard_state.is_rolled_back ||
      !state.log.AnyMembershipContains(state.disk)) {
    this->EndLeaseWaitIfSafe(state);
    return;
  }
  const std::vector<DiskId> voters = VotersExcept(membership, state.disk);
  std::vector<DiskId> confirming_voters;
  for (const DiskId& disk : voters) {
    if (this->confirmations.contains(disk)) {
      confirming_voters.push_back(disk);
    }
  }
  const std::size_t quorum = membership.QuorumSize();
  const std::size_t required_confirmations = std::min(quorum, voters.size());
  const std::size_t required_confirmations_if_others_lost =
      std::min(std::max<std::size_t>(quorum - 1, 1), voters.size());
  const bool all_others_accounted_for =
      std::all_of(voters.begin(), voters.end(), [this](const DiskId& disk) {
        return this->confirmations.contains(disk) ||
               this->lost_disks.contains(disk);
      });
  const bool others_lost =
      all_others_accounted_for ||
      this->rounds > RoundsIn(state.settings, kLostAfterTimeouts);
  if (confirming_voters.size() >= (others_lost
                                       ? required_confirmations_if_others_lost
                                       : required_confirmations)) {
    this->Confirm(state, confirming_voters);
  }
}

void BootVerifier::Confirm(ReplicaState& state,
                           const std::vector<DiskId>& voters) {
  Term highest;
  for (const DiskId& disk : voters) {
    const Confirmation& confirmation = this->confirmations.at(disk);
    highest = std::max(highest, confirmation.term);
    this->candidate_bounds[disk] = {confirmation.last_position, 0};
  }
  state.AdoptTerm(highest);
  // An earlier boot may have voted in the latest term that the voters know, so
  // this boot takes no part in the elections of that term: it records a vote
  // for itself.
  if (!voters.empty() && state.hard_state.term == highest &&
      !state.hard_state.voted_for) {
    state.VoteFor(state.disk);
  }
  state.boot_unconfirmed = false;
  this->rounds = 0;
  LogEvent(LogLevel::kInfo, "boot_confirmed",
           {{"disk", state.disk.value()},
            {"boot_count", state.boot.count},
            {"confirmations", voters.size()},
            {"term", state.hard_state.term.value()}});
  this->EndLeaseWaitIfSafe(state);
}

void BootVerifier::UpdateLeaderlessVoters(ReplicaState& state,
                                          const DiskId& voter,
                                          const BootReply& reply) {
  const LogPosition& own_membership_position = state.log.membership().position;
  if (!reply.knows_no_leader ||
      reply.membership_position > own_membership_position) {
    this->leaderless_voters.erase(voter);
    return;
  }
  this->leaderless_voters.insert(voter);
  this->EndLeaseWaitIfSafe(state);
}

void BootVerifier::EndLeaseWaitIfSafe(ReplicaState& state) {
  if (!this->lease_wait_active || this->has_followed_leader ||
      state.boot_unconfirmed) {
    return;
  }
  std::vector<DiskId> voters = VotersExcept(state.membership(), state.disk);
  if (const Membership* previous_membership = state.log.previous_membership()) {
    const std::vector<DiskId> previous_voters =
        VotersExcept(*previous_membership, state.disk);
    voters.insert(voters.end(), previous_voters.begin(), previous_voters.end());
  }
  const bool nobody_leads =
      std::all_of(voters.begin(), voters.end(), [this](const DiskId& disk) {
        return this->leaderless_voters.contains(disk) ||
               this->lost_disks.contains(disk);
      });
  if (nobody_leads) {
    state.last_leader_contact = MonotonicTime();
    this->lease_wait_active = false;
    this->lease_wait_ended = true;
  }
}

void BootVerifier::OnDiskLost(ReplicaState& state, const DiskId& disk) {
  this->lost_disks.insert(disk);
  this->ConfirmIfQuorum(state);
}

void BootVerifier::OnMessageFrom(const DiskId& disk) {
  const auto bound = this->candidate_bounds.find(disk);
  if (bound != this->candidate_bounds.end()) {
    bound->second.silent_rounds = 0;
  }
}

void BootVerifier::MarkRolledBack(ReplicaState& state,
                                  std::uint64_t known_count) {
  if (!state.hard_state.is_rolled_back) {
    LogEvent(LogLevel::kError, "boot_refused",
             {{"disk", state.disk.value()},
              {"boot_count", state.boot.count},
              {"known_boot_count", known_count},
              {"reason",
               "the disk was restored from an older copy; remove the "
               "member and start it with an empty data folder"}});
  }
  state.hard_state.is_rolled_back = true;
  state.hard_state.boot_count = std::max(state.boot.count, known_count);
  state.CountBoot();
  state.boot_unconfirmed = true;
  state.ready_messages.clear();
  state.messages_awaiting_flush.clear();
  this->candidate_bounds.clear();
}

LogPosition BootVerifier::min_candidate_position() const {
  LogPosition highest;
  for (const auto& [disk, bound] : this->candidate_bounds) {
    highest = std::max(highest, bound.last_position);
  }
  return highest;
}

}  // namespace marigold::detail
