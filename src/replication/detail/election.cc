#include "src/replication/detail/election.h"

#include <algorithm>

namespace marigold::detail {

namespace {

// After this many elections since a leader was last known, the shortest wait
// before each further one doubles.
constexpr std::uint32_t kElectionsBeforeBackoff = 3;
// The wait is doubled at most this many times.
constexpr std::uint32_t kMaxBackoffDoublings = 4;

// The number of `CampaignSoon` slots in one election timeout. In one slot, the
// other voters learn that they may vote, and an election ends.
constexpr int kCampaignSlotsPerTimeout = 16;

// Returns a random duration from `minimum` to less than `minimum` plus `span`.
Duration RandomDuration(ReplicaState& state, Duration minimum, Duration span) {
  const auto width = std::max<std::int64_t>(span.count(), 1);
  const std::uint64_t extra =
      state.random.NextBelow(static_cast<std::uint64_t>(width));
  return minimum + Duration(static_cast<std::int64_t>(extra));
}

}  // namespace

void Election::ResetTimeout(ReplicaState& state) {
  const Duration timeout = state.settings.election_timeout;
  this->timeout_at = state.now + RandomDuration(state, timeout, timeout);
}

void Election::CampaignSoon(ReplicaState& state) {
  const std::vector<Member>& members = state.membership().members;
  const auto voters_before =
      std::count_if(members.begin(), members.end(), [&](const Member& member) {
        return member.role == MemberRole::kVoter && member.disk < state.disk;
      });
  const Duration slot =
      state.settings.election_timeout / kCampaignSlotsPerTimeout;
  this->timeout_at = state.now + slot * (1 + voters_before);
}

void Election::Stop() {
  this->current_phase = Phase::kNone;
  this->granted_by.clear();
}

void Election::StartPhase(ReplicaState& state, Phase new_phase) {
  // An election that nobody has won is repeated sooner than the first wait, so
  // that a new leader is elected within four election timeouts of the loss of
  // the last one. Where saving a vote takes longer than that wait, every
  // election would end before its votes are counted. The wait therefore grows
  // after several elections.
  const std::uint32_t doublings =
      this->elections_since_leader > kElectionsBeforeBackoff
          ? this->elections_since_leader - kElectionsBeforeBackoff
          : 0;
  const Duration min_wait = state.settings.election_timeout / 2 *
                            (1 << std::min(doublings, kMaxBackoffDoublings));
  this->timeout_at = state.now + RandomDuration(state, min_wait, min_wait);
  this->current_phase = new_phase;
  this->phase_start = state.now;
  this->granted_by.clear();
}

void Election::StartPreVote(ReplicaState& state) {
  this->StartPhase(state, Phase::kPreVote);
  this->granted_by.insert(state.disk);
  const LogPosition last_position = state.log.last_position();
  for (const Member& member : state.membership().members) {
    if (member.role == MemberRole::kVoter && member.disk != state.disk) {
      state.Send(member.disk,
                 PreVoteRequest{Next(state.hard_state.term),
                                last_position.index, last_position.term});
    }
  }
}

void Election::StartVote(ReplicaState& state) {
  this->StartPhase(state, Phase::kVote);
  ++this->elections_since_leader;
  state.AdoptTerm(Next(state.hard_state.term));
  state.VoteFor(state.disk);
  const LogPosition last_position = state.log.last_position();
  for (const Member& member : state.membership().members) {
    if (member.role == MemberRole::kVoter && member.disk != state.disk) {
      state.Send(member.disk,
                 VoteRequest{last_position.index, last_position.term});
    }
  }
}

void Election::OnPreVoteReply(const ReplicaState& state,
                              const ReplicaMessage& message,
                              const PreVoteReply& reply) {
  if (this->current_phase == Phase::kPreVote && reply.granted &&
      reply.next_term == Next(state.hard_state.term)) {
    this->granted_by.insert(message.from);
  }
}

void Election::OnVoteReply(const ReplicaState& state,
                           const ReplicaMessage& message,
                           const VoteReply& reply) {
  if (this->current_phase == Phase::kVote && reply.granted &&
      message.term == state.hard_state.term &&
      reply.candidate_nonce == state.boot.nonce) {
    this->granted_by.insert(message.from);
  }
}

void Election::OnOwnVoteSaved(const ReplicaState& state) {
  if (this->current_phase == Phase::kVote) {
    this->granted_by.insert(state.disk);
  }
}

bool Election::is_won(const ReplicaState& state) const {
  const auto votes = std::count_if(
      this->granted_by.begin(), this->granted_by.end(),
      [&](const DiskId& disk) { return state.membership().IsVoter(disk); });
  return this->current_phase != Phase::kNone &&
         static_cast<std::size_t>(votes) >= state.membership().QuorumSize();
}

}  // namespace marigold::detail
