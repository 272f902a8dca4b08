#include "src/replication/detail/election.h"

#include <algorithm>

namespace marigold::detail {

namespace {

constexpr std::uint32_t kShortBallots = 3;
constexpr std::uint32_t kMaxDoublings = 4;

// The part of an election timeout in which the other voters learn that they may
// vote, and in which a ballot ends.
constexpr int kStandSlotParts = 16;

// A time from `low` up to `low` and `span`.
Duration Spread(NodeState& state, Duration low, Duration span) {
  const auto width = std::max<std::int64_t>(span.count(), 1);
  const std::uint64_t extra =
      state.random.Below(static_cast<std::uint64_t>(width));
  return low + Duration(static_cast<std::int64_t>(extra));
}

}  // namespace

void Election::Rearm(NodeState& state) {
  const Duration timeout = state.settings.election_timeout;
  this->due = state.now + Spread(state, timeout, timeout);
}

void Election::StandSoon(NodeState& state) {
  const std::vector<Member>& members = state.membership().members;
  const auto before =
      std::count_if(members.begin(), members.end(), [&](const Member& member) {
        return member.role == MemberRole::kVoter && member.disk < state.disk;
      });
  const Duration slot = state.settings.election_timeout / kStandSlotParts;
  this->due = state.now + slot * (1 + before);
}

void Election::Stop() {
  this->step = Phase::kNone;
  this->granted.clear();
}

void Election::Begin(NodeState& state, Phase new_phase) {
  // A ballot that nobody won is repeated sooner than the first wait, so that a
  // leader is in place within four election timeouts of the loss of the last.
  // Where a vote takes longer to save than that, each ballot would end before
  // it is counted, so that the wait grows after some.
  const std::uint32_t extra = this->lost_ballots > kShortBallots
                                  ? this->lost_ballots - kShortBallots
                                  : 0;
  const Duration half = state.settings.election_timeout / 2 *
                        (1 << std::min(extra, kMaxDoublings));
  this->due = state.now + Spread(state, half, half);
  this->step = new_phase;
  this->start = state.now;
  this->granted.clear();
}

void Election::StartPreVote(NodeState& state) {
  this->Begin(state, Phase::kPreVote);
  this->granted.insert(state.disk);
  const LogPosition last = state.log.last_position();
  for (const Member& member : state.membership().members) {
    if (member.role == MemberRole::kVoter && member.disk != state.disk) {
      state.Send(member.disk,
                 PreVoteRequest{Next(state.hard.term), last.index, last.term});
    }
  }
}

void Election::StartVote(NodeState& state) {
  this->Begin(state, Phase::kVote);
  ++this->lost_ballots;
  state.AdoptTerm(Next(state.hard.term));
  state.VoteFor(state.disk);
  const LogPosition last = state.log.last_position();
  for (const Member& member : state.membership().members) {
    if (member.role == MemberRole::kVoter && member.disk != state.disk) {
      state.Send(member.disk, VoteRequest{last.index, last.term});
    }
  }
}

void Election::OnPreVoteReply(const NodeState& state,
                              const ReplicaMessage& message,
                              const PreVoteReply& reply) {
  if (this->step == Phase::kPreVote && reply.granted &&
      reply.next_term == Next(state.hard.term)) {
    this->granted.insert(message.from);
  }
}

void Election::OnVoteReply(const NodeState& state,
                           const ReplicaMessage& message,
                           const VoteReply& reply) {
  if (this->step == Phase::kVote && reply.granted &&
      message.term == state.hard.term &&
      reply.candidate_nonce == state.boot.nonce) {
    this->granted.insert(message.from);
  }
}

void Election::OnOwnVoteSaved(const NodeState& state) {
  if (this->step == Phase::kVote) {
    this->granted.insert(state.disk);
  }
}

bool Election::is_won(const NodeState& state) const {
  const auto votes = std::count_if(
      this->granted.begin(), this->granted.end(),
      [&](const DiskId& disk) { return state.membership().IsVoter(disk); });
  return this->step != Phase::kNone &&
         static_cast<std::size_t>(votes) >= state.membership().QuorumSize();
}

}  // namespace marigold::detail
