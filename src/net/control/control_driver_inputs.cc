#include <algorithm>
#include <utility>

#include "src/core/log.h"
#include "src/net/control/detail/control_driver_impl.h"

namespace marigold {

namespace {

// The design sets aside at most this number of VMs for control.
constexpr std::size_t kMostMembers = 13;

constexpr std::size_t kMostPending = 16'384;

// Longer than most commits on a fast disk; a slower group is not waited for.
constexpr Duration kLongestHold = std::chrono::milliseconds(2);

constexpr Duration kFormingInterval = std::chrono::milliseconds(100);
constexpr Duration kJoiningInterval = std::chrono::milliseconds(100);

constexpr Duration kRetryAfter = std::chrono::milliseconds(200);

Refusal RefuseNow(Reason reason, std::string detail) {
  return {Execution::kDidNotRun, reason, std::move(detail), kRetryAfter};
}

}  // namespace

void ControlDriver::Impl::OnLinkBody(const Endpoint& peer,
                                     const std::string& body) {
  auto decoded =
      Capture<ControlMessage>([&] { return DecodeControlMessage(body); });
  auto* message = std::get_if<ControlMessage>(&decoded);
  if (message == nullptr) {
    return;
  }
  // Other answers only show that the connection works.
  if (auto* reply = std::get_if<HelloReply>(message)) {
    this->Post(detail::HelloReplyInput{peer, std::move(*reply)});
  }
}

void ControlDriver::Impl::Handle(MonotonicTime now,
                                 detail::DriverInput& input) {
  std::visit([&](auto& typed) { this->On(now, typed); }, input);
}

void ControlDriver::Impl::On(MonotonicTime now, PeerMessage& peer) {
  if (!this->replica) {
    return;
  }
  const DiskId& from = peer.message.from;
  const bool is_known = this->replica->membership().Find(from) != nullptr;
  if (is_known || this->heard_addresses.size() < kMostMembers) {
    this->heard_addresses[from] = peer.reply_to;
    this->links->OnHeard(peer.reply_to);
  }
  this->replica->Step(now, peer.message);
}

void ControlDriver::Impl::On(MonotonicTime now, detail::HelloInput& input) {
  HelloReply reply{this->OwnMember(), this->formation.has_value(),
                   this->CurrentMembership()};
  this->Deliver([reply = std::move(reply), send = std::move(input.reply)] {
    send(reply);
  });
  if (this->replica && !input.hello.is_forming) {
    this->NoteGoneDisks(now, input.hello.self);
    this->AdmitMember(now, input.hello.self);
  }
}

// The disks that were listed at the address of a VM that has another one now.
void ControlDriver::Impl::NoteGoneDisks(MonotonicTime now,
                                        const Member& introduced) {
  const Membership membership = this->replica->membership();
  for (const Member& member : membership.members) {
    if (member.address == introduced.address &&
        member.disk != introduced.disk) {
      this->replica->OnDiskLost(now, member.disk);
    }
  }
}

// Adds a new disk to the group. A disk that listened at the same address before
// has been replaced; it is removed first, unless it is still a voter.
void ControlDriver::Impl::AdmitMember(MonotonicTime now, const Member& member) {
  if (this->replica->role() != ReplicaRole::kLeader) {
    return;
  }
  const Membership& membership = this->replica->membership();
  const auto replaced = std::find_if(
      membership.members.begin(), membership.members.end(),
      [&](const Member& old) {
        return old.address == member.address && old.disk != member.disk &&
               old.role != MemberRole::kVoter;
      });
  MembershipChange change;
  if (replaced != membership.members.end()) {
    change = {MembershipChange::Kind::kRemove, *replaced};
  } else if (membership.Find(member.disk) == nullptr &&
             membership.members.size() < kMostMembers) {
    change = {MembershipChange::Kind::kAdd, member};
    if (change.member.role == MemberRole::kVoter) {
      change.member.role = MemberRole::kSpare;
    }
  } else {
    return;
  }
  this->replica->ProposeMembership(now, this->clock.WallNow(), change);
}

void ControlDriver::Impl::On(MonotonicTime /*now*/,
                             detail::HelloReplyInput& input) {
  for (const Member& member : input.reply.membership.members) {
    this->LearnIntroductionTarget(member.address);
  }
  if (!this->formation) {
    return;
  }
  this->formation->OnIntroduction(
      input.peer, {std::move(input.reply.self), input.reply.is_forming,
                   std::move(input.reply.membership)});
}

void ControlDriver::Impl::On(MonotonicTime now, detail::CommandInput& input) {
  if (this->held.empty()) {
    this->held_since = now;
  }
  this->held.push_back(std::move(input));
}

// While entries are on their way, further commands are collected, so that they
// share a sync on every member.
void ControlDriver::Impl::ProposeHeld(MonotonicTime now) {
  if (this->held.empty() ||
      (this->pending.size() > 0 && now < this->held_since + kLongestHold)) {
    return;
  }
  for (detail::CommandInput& input : std::exchange(this->held, {})) {
    this->Propose(now, input);
  }
}

void ControlDriver::Impl::Propose(MonotonicTime now,
                                  detail::CommandInput& input) {
  std::optional<Refusal> refusal;
  Proposal proposal;
  if (this->on_drained) {
    refusal = RefuseNow(Reason::kStopping, "the control VM is stopping");
  } else if (!this->replica) {
    refusal = RefuseNow(Reason::kNoQuorum, "the group is not formed yet");
  } else if (this->pending.size() >= kMostPending) {
    refusal = RefuseNow(Reason::kOverloaded, "too many commands wait");
  } else {
    proposal = this->replica->Propose(now, this->clock.WallNow(),
                                      std::move(input.payload));
    if (proposal.status != ProposeStatus::kProposed) {
      refusal = this->RefusalOf(proposal.status);
    }
  }
  if (refusal) {
    ++this->counters.refused_did_not_run;
    this->Deliver(
        [answer = SubmitAnswer{std::move(*refusal), this->LeaderAddress()},
         done = std::move(input.done)] { done(answer); });
    return;
  }
  ++this->counters.commands_proposed;
  this->pending.Add(proposal.index, proposal.term,
                    [done = std::move(input.done)](EntryOutcome outcome) {
                      if (auto* known = std::get_if<ControlOutcome>(&outcome)) {
                        done({std::move(*known), {}});
                      } else {
                        done({std::move(std::get<Refusal>(outcome)), {}});
                      }
                    });
}

void ControlDriver::Impl::On(MonotonicTime now, detail::MembersInput& input) {
  Proposal proposal;
  if (this->replica) {
    proposal = this->replica->ProposeMembership(now, this->clock.WallNow(),
                                                input.change);
  }
  if (proposal.status != ProposeStatus::kProposed) {
    this->Deliver([answer = MembersAnswer{this->RefusalOf(proposal.status),
                                          this->LeaderAddress()},
                   done = std::move(input.done)] { done(answer); });
    return;
  }
  this->pending.Add(proposal.index, proposal.term,
                    [done = std::move(input.done)](EntryOutcome outcome) {
                      MembersAnswer answer;
                      if (auto* refusal = std::get_if<Refusal>(&outcome)) {
                        answer.refusal = std::move(*refusal);
                      }
                      done(answer);
                    });
}

void ControlDriver::Impl::On(MonotonicTime /*now*/, detail::ReadInput& input) {
  this->reads.push_back(std::move(input.done));
}

void ControlDriver::Impl::On(MonotonicTime /*now*/, detail::DrainInput& input) {
  this->on_drained = std::move(input.on_drained);
}

void ControlDriver::Impl::Introduce(MonotonicTime now) {
  if (this->formation) {
    if (auto first = this->formation->InitialMembership()) {
      auto opened = Capture<bool>([&]() -> Result<bool> {
        BOOST_LEAF_CHECK(this->OpenReplica(std::move(*first)));
        return true;
      });
      if (std::holds_alternative<AnyError>(opened)) {
        LogEvent(LogLevel::kError, "open_failed",
                 {{"folder", this->settings.data_folder}});
        std::abort();
      }
    }
  }
  if (!this->HasToIntroduce() || now < this->introduce_at) {
    return;
  }
  const bool is_forming = this->formation.has_value();
  this->introduce_at = now + (is_forming ? kFormingInterval : kJoiningInterval);
  const std::string body =
      EncodeControlMessage(Hello{this->OwnMember(), is_forming});
  for (const Endpoint& peer : this->introduction_targets) {
    this->links->Send(peer, body);
  }
}

// All members have to hear that another disk is at this address now, and the
// settings name only some.
void ControlDriver::Impl::LearnIntroductionTarget(const Endpoint& endpoint) {
  if (endpoint != this->settings.address &&
      this->introduction_targets.insert(endpoint).second) {
    this->introduce_at = MonotonicTime();
  }
}

// True while this disk is in no group, or another disk is still listed at this
// address.
bool ControlDriver::Impl::HasToIntroduce() const {
  if (this->formation) {
    return true;
  }
  const Membership& membership = this->replica->membership();
  const bool is_listed_twice =
      std::any_of(membership.members.begin(), membership.members.end(),
                  [this](const Member& member) {
                    return member.address == this->settings.address &&
                           member.disk != this->disk;
                  });
  return membership.Find(this->disk) == nullptr || is_listed_twice;
}

MonotonicTime ControlDriver::Impl::NextDue() const {
  MonotonicTime due = MonotonicTime::max();
  if (this->replica) {
    due = this->replica->NextTick();
  }
  if (this->HasToIntroduce()) {
    due = std::min(due, this->introduce_at);
  }
  if (this->replica && this->replica->storage_failed() &&
      this->on_storage_usable) {
    due = std::min(due, this->storage_try_at);
  }
  if (!this->held.empty()) {
    due = std::min(due, this->held_since + kLongestHold);
  }
  return due;
}

}  // namespace marigold
