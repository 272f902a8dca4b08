#include "src/replication/detail/boot_guard.h"

#include <algorithm>

#include "src/core/log.h"

namespace marigold::detail {

namespace {

// Election timeouts after which a voter that does not answer is taken for lost.
// A lost leader is replaced within four.
constexpr int kLostAfterTimeouts = 4;

// Election timeouts without a leader after which the floor no longer holds, so
// that a voter which is heard but can't be elected does not block the group.
constexpr int kFloorTimeouts = 20;

std::uint32_t RoundsIn(const ReplicaSettings& settings, int timeouts) {
  const auto rounds =
      settings.election_timeout * timeouts / settings.heartbeat_interval;
  return static_cast<std::uint32_t>(rounds) + 1;
}

std::vector<DiskId> VotersBut(const Membership& membership,
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

BootGuard::BootGuard(const NodeState& state)
    : opened_last(state.log.last_position()),
      opened_term(state.hard.term),
      round_due(state.now) {}

std::optional<MonotonicTime> BootGuard::next_round(
    const NodeState& state) const {
  if (!this->AsksVoters(state) && this->floors.empty()) {
    return std::nullopt;
  }
  return this->round_due;
}

bool BootGuard::AsksVoters(const NodeState& state) const {
  const bool waits = this->hold_lasts && !this->has_followed;
  return (state.probationary || waits) && !state.hard.refused &&
         state.log.Mentions(state.disk);
}

void BootGuard::Tick(NodeState& state) {
  const auto due = this->next_round(state);
  if (!due || state.now < *due) {
    return;
  }
  this->round_due = state.now + state.settings.heartbeat_interval;
  this->CountRound(state);
  if (this->AsksVoters(state)) {
    this->AskVoters(state);
    this->Conclude(state);
  }
}

void BootGuard::CountRound(NodeState& state) {
  ++this->rounds;
  const std::uint32_t lost_after = RoundsIn(state.settings, kLostAfterTimeouts);
  for (auto& [disk, floor] : this->floors) {
    ++floor.silent_rounds;
  }
  const bool expired = !state.probationary &&
                       this->rounds > RoundsIn(state.settings, kFloorTimeouts);
  // An entry of a leader that is being followed raises the own log over what
  // the floor stands for.
  const LogPosition last = state.log.last_position();
  std::erase_if(this->floors, [&](const auto& item) {
    const Floor& floor = item.second;
    return expired || floor.silent_rounds > lost_after ||
           (state.leader && floor.last <= last);
  });
  if (!state.probationary && !state.hears_leader()) {
    this->hold_lasts = false;
  }
}

void BootGuard::AskVoters(NodeState& state) const {
  std::vector<DiskId> voters =
      VotersBut(this->LatestMembership(state), state.disk);
  for (const DiskId& disk : VotersBut(state.membership(), state.disk)) {
    if (std::find(voters.begin(), voters.end(), disk) == voters.end()) {
      voters.push_back(disk);
    }
  }
  for (const DiskId& disk : voters) {
    state.Send(disk, BootNotice{});
  }
}

const Membership& BootGuard::LatestMembership(const NodeState& state) const {
  const MembershipAt* latest = &state.log.membership();
  for (const auto& [disk, confirmation] : this->confirmations) {
    if (confirmation.membership.position > latest->position) {
      latest = &confirmation.membership;
    }
  }
  return latest->membership;
}

void BootGuard::OnReply(NodeState& state,
                        const ReplicaMessage& message,
                        const BootReply& reply) {
  if (state.hard.refused || reply.boot_nonce != state.boot.nonce) {
    return;
  }
  if (state.probationary) {
    this->CountConfirmation(state, message, reply);
  }
  if (reply.accepted) {
    this->CountLeaderless(state, message.from, reply);
  }
}

void BootGuard::OnLeaderFollowed() {
  this->has_followed = true;
  this->leaderless.clear();
}

void BootGuard::OnNotice(NodeState& state, const DiskId& disk) const {
  if (this->AsksVoters(state) && !this->leaderless.contains(disk)) {
    state.Send(disk, BootNotice{});
  }
}

void BootGuard::CountConfirmation(NodeState& state,
                                  const ReplicaMessage& message,
                                  const BootReply& reply) {
  if (!reply.accepted) {
    this->Refuse(state, reply.known_boot_count);
    return;
  }
  const LogPosition& promised = reply.acknowledged;
  const bool forgot = promised.index > LogIndex() &&
                      (promised.term > this->opened_term ||
                       (promised.term == this->opened_term &&
                        promised.index > this->opened_last.index));
  if (forgot) {
    this->Refuse(state, reply.known_boot_count);
    return;
  }
  this->confirmations[message.from] = {
      message.term, reply.last, {reply.membership_position, reply.membership}};
  this->Conclude(state);
}

void BootGuard::Conclude(NodeState& state) {
  const Membership& membership = this->LatestMembership(state);
  // A member that its log removes may still be needed to commit the removal.
  if (!state.probationary || state.hard.refused ||
      !state.log.Mentions(state.disk)) {
    this->EndHold(state);
    return;
  }
  const std::vector<DiskId> voters = VotersBut(membership, state.disk);
  std::vector<DiskId> confirming;
  for (const DiskId& disk : voters) {
    if (this->confirmations.contains(disk)) {
      confirming.push_back(disk);
    }
  }
  const std::size_t quorum = membership.QuorumSize();
  const std::size_t most = std::min(quorum, voters.size());
  const std::size_t fewest =
      std::min(std::max<std::size_t>(quorum - 1, 1), voters.size());
  const bool all_others_gone =
      std::all_of(voters.begin(), voters.end(), [this](const DiskId& disk) {
        return this->confirmations.contains(disk) || this->gone.contains(disk);
      });
  const bool others_lost =
      all_others_gone ||
      this->rounds > RoundsIn(state.settings, kLostAfterTimeouts);
  if (confirming.size() >= (others_lost ? fewest : most)) {
    this->Confirm(state, confirming);
  }
}

void BootGuard::Confirm(NodeState& state, const std::vector<DiskId>& voters) {
  Term highest;
  for (const DiskId& disk : voters) {
    const Confirmation& confirmation = this->confirmations.at(disk);
    highest = std::max(highest, confirmation.term);
    this->floors[disk] = {confirmation.last, 0};
  }
  state.AdoptTerm(highest);
  // An earlier start may have voted in the latest term that the voters know of.
  if (!voters.empty() && state.hard.term == highest && !state.hard.voted_for) {
    state.VoteFor(state.disk);
  }
  state.probationary = false;
  this->rounds = 0;
  LogEvent(LogLevel::kInfo, "boot_confirmed",
           {{"disk", state.disk.value()},
            {"boot_count", state.boot.count},
            {"confirmations", voters.size()},
            {"term", state.hard.term.value()}});
  this->EndHold(state);
}

void BootGuard::CountLeaderless(NodeState& state,
                                const DiskId& voter,
                                const BootReply& reply) {
  const LogPosition& known = state.log.membership().position;
  if (!reply.leaderless || reply.membership_position > known) {
    this->leaderless.erase(voter);
    return;
  }
  this->leaderless.insert(voter);
  this->EndHold(state);
}

void BootGuard::EndHold(NodeState& state) {
  if (!this->hold_lasts || this->has_followed || state.probationary) {
    return;
  }
  std::vector<DiskId> voters = VotersBut(state.membership(), state.disk);
  if (const Membership* previous = state.log.previous_membership()) {
    const std::vector<DiskId> earlier = VotersBut(*previous, state.disk);
    voters.insert(voters.end(), earlier.begin(), earlier.end());
  }
  const bool nobody_leads =
      std::all_of(voters.begin(), voters.end(), [this](const DiskId& disk) {
        return this->leaderless.contains(disk) || this->gone.contains(disk);
      });
  if (nobody_leads) {
    state.leader_contact = MonotonicTime();
    this->hold_lasts = false;
    this->hold_ended = true;
  }
}

void BootGuard::OnDiskGone(NodeState& state, const DiskId& disk) {
  this->gone.insert(disk);
  this->Conclude(state);
}

void BootGuard::OnHeard(const DiskId& disk) {
  const auto floor = this->floors.find(disk);
  if (floor != this->floors.end()) {
    floor->second.silent_rounds = 0;
  }
}

void BootGuard::Refuse(NodeState& state, std::uint64_t known_count) {
  if (!state.hard.refused) {
    LogEvent(LogLevel::kError, "boot_refused",
             {{"disk", state.disk.value()},
              {"boot_count", state.boot.count},
              {"known_boot_count", known_count},
              {"reason",
               "the disk was restored from an older copy; remove the "
               "member and start it with an empty data folder"}});
  }
  state.hard.refused = true;
  state.hard.boot_count = std::max(state.boot.count, known_count);
  state.CountBoot();
  state.probationary = true;
  state.ready.clear();
  state.waiting.clear();
  this->floors.clear();
}

LogPosition BootGuard::floor() const {
  LogPosition highest;
  for (const auto& [disk, floor] : this->floors) {
    highest = std::max(highest, floor.last);
  }
  return highest;
}

}  // namespace marigold::detail
