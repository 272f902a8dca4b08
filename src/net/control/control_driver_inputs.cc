#include <algorithm>
#include <utility>

#include "src/core/log.h"
#include "src/net/control/detail/control_driver_impl.h"
#include "src/replication/admission.h"

namespace marigold {

namespace {

constexpr std::size_t kMaxPendingEntries = 16'384;

// Commands are deferred for at most this time, which is longer than most
// commits take on a fast disk. The driver does not wait for a group that is
// slower.
constexpr Duration kMaxDeferral = std::chrono::milliseconds(2);

constexpr Duration kFormingHelloInterval = std::chrono::milliseconds(100);
constexpr Duration kJoiningHelloInterval = std::chrono::milliseconds(100);

constexpr Duration kRetryAfter = std::chrono::milliseconds(200);

Refusal RefuseWithRetryAfter(Reason reason, std::string detail) {
  return {Execution::kDidNotRun, reason, std::move(detail), kRetryAfter};
}

}  // namespace

void ControlDriver::Impl::OnPeerReply(const Endpoint& peer,
                                      const std::string& body) {
  auto decoded =
      Capture<ControlMessage>([&] { return DecodeControlMessage(body); });
  auto* message = std::get_if<ControlMessage>(&decoded);
  if (message == nullptr) {
    return;
  }
  // Replies of other types only show that the connection works.
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
  const bool is_member = this->replica->membership().Find(from) != nullptr;
  if (is_member || this->learned_addresses.size() < kMaxMembers) {
    this->learned_addresses[from] = peer.reply_to;
    this->links->OnPeerReachable(peer.reply_to);
  }
  this->replica->Step(now, peer.message);
}

void ControlDriver::Impl::On(MonotonicTime now, detail::HelloInput& input) {
  HelloReply reply{this->OwnMember(), this->formation.has_value(),
                   this->CurrentMembership()};
  this->RunAfterUnlock([reply = std::move(reply),
                        send = std::move(input.reply)] { send(reply); });
  if (this->replica && !input.hello.is_forming) {
    this->ReportReplacedDisks(now, input.hello.self);
    this->AdmitMember(now, input.hello.self);
  }
}

// Reports as lost every disk that the membership lists at the address of
// `introduced` under another disk id. The VM at this address now has a new
// disk.
void ControlDriver::Impl::ReportReplacedDisks(MonotonicTime now,
                                              const Member& introduced) {
  const Membership membership = this->replica->membership();
  for (const Member& member : membership.members) {
    if (member.address == introduced.address &&
        member.disk != introduced.disk) {
      this->replica->OnDiskLost(now, member.disk);
    }
  }
}

// Proposes the next change that adds a new disk to the group, if this VM is the
// leader. The other VM repeats its request until the group lists the disk.
void ControlDriver::Impl::AdmitMember(MonotonicTime now, const Member& member) {
  if (this->replica->role() != ReplicaRole::kLeader) {
    return;
  }
  const auto change = PlanAdmission(this->replica->membership(), member,
                                    this->replica->SilentSpares(now));
  if (change) {
    this->replica->ProposeMembership(now, this->clock.WallNow(), *change);
  }
}

void ControlDriver::Impl::On(MonotonicTime /*now*/,
                             detail::HelloReplyInput& input) {
  for (const Member& member : input.reply.membership.members) {
    this->AddHelloTarget(member.address);
  }
  if (!this->formation) {
    return;
  }
  this->formation->OnIntroduction(
      input.peer, {std::move(input.reply.self), input.reply.is_forming,
                   std::move(input.reply.membership)});
}

void ControlDriver::Impl::On(MonotonicTime /*now*/,
                             detail::AddPeersInput& input) {
  for (const Endpoint& peer : input.peers) {
    this->AddHelloTarget(peer);
  }
}

void ControlDriver::Impl::On(MonotonicTime now, detail::CommandInput& input) {
  if (this->deferred_commands.empty()) {
    this->deferred_since = now;
  }
  this->deferred_commands.push_back(std::move(input));
}

// Proposes the deferred commands. While earlier entries are uncommitted,
// commands are collected for up to `kMaxDeferral`, so that they share one sync
// on every member.
void ControlDriver::Impl::ProposeDeferred(MonotonicTime now) {
  if (this->deferred_commands.empty() ||
      (this->pending.size() > 0 && now < this->deferred_since + kMaxDeferral)) {
    return;
  }
  for (detail::CommandInput& input :
       std::exchange(this->deferred_commands, {})) {
    this->Propose(now, input);
  }
}

void ControlDriver::Impl::Propose(MonotonicTime now,
                                  detail::CommandInput& input) {
  std::optional<Refusal> refusal;
  Proposal proposal;
  if (this->on_drained) {
    refusal =
        RefuseWithRetryAfter(Reason::kStopping, "the control VM is stopping");
  } else if (!this->replica) {
    refusal =
        RefuseWithRetryAfter(Reason::kNoQuorum, "the group is not formed yet");
  } else if (this->pending.size() >= kMaxPendingEntries) {
    refusal =
        RefuseWithRetryAfter(Reason::kOverloaded, "too many commands wait");
  } else {
    proposal = this->replica->Propose(now, this->clock.WallNow(),
                                      std::move(input.payload));
    if (proposal.status != ProposeStatus::kProposed) {
      refusal = this->RefusalOf(proposal.status);
    }
  }
  if (refusal) {
    ++this->counters.refused_did_not_run;
    this->RunAfterUnlock(
        [answer = SubmitAnswer{std::move(*refusal), this->LeaderAddress()},
         done = std::move(input.done)] { done(answer); });
    return;
  }
  ++this->counters.commands_proposed;
  this->pending.Add(
      proposal.index, proposal.term,
      [done = std::move(input.done)](EntryOutcome outcome) {
        if (auto* control_outcome = std::get_if<ControlOutcome>(&outcome)) {
          done({std::move(*control_outcome), {}});
        } else {
          done({std::move(std::get<Refusal>(outcome)), {}});
        }
      });
}

void ControlDriver::Impl::On(MonotonicTime now,
                             detail::ChangeMembersInput& input) {
  Proposal proposal;
  if (this->replica) {
    proposal = this->replica->ProposeMembership(now, this->clock.WallNow(),
                                                input.change);
  }
  if (proposal.status != ProposeStatus::kProposed) {
    this->RunAfterUnlock(
        [answer = ChangeMembersAnswer{this->RefusalOf(proposal.status),
                                      this->LeaderAddress()},
         done = std::move(input.done)] { done(answer); });
    return;
  }
  this->pending.Add(proposal.index, proposal.term,
                    [done = std::move(input.done)](EntryOutcome outcome) {
                      ChangeMembersAnswer answer;
                      if (auto* refusal = std::get_if<Refusal>(&outcome)) {
                        answer.refusal = std::move(*refusal);
                      }
                      done(answer);
                    });
}

void ControlDriver::Impl::On(MonotonicTime /*now*/,
                             detail::ConfirmReadInput& input) {
  this->pending_reads.push_back(std::move(input.done));
}

void ControlDriver::Impl::On(MonotonicTime /*now*/, detail::DrainInput& input) {
  this->on_drained = std::move(input.on_drained);
}

void ControlDriver::Impl::JoinOrFormGroup(MonotonicTime now) {
  if (this->formation && !this->storage_retry.is_pending()) {
    if (auto first_membership = this->formation->InitialMembership()) {
      auto opened = Capture<bool>([&]() -> Result<bool> {
        BOOST_LEAF_CHECK(this->OpenReplica(std::move(*first_membership)));
        return true;
      });
      if (const auto* error = std::get_if<AnyError>(&opened)) {
        this->OnStorageFailed(now, *error);
      }
    }
  }
  if (!this->MustSendHello() || now < this->next_hello_at) {
    return;
  }
  const bool is_forming = this->formation.has_value();
  this->next_hello_at =
      now + (is_forming ? kFormingHelloInterval : kJoiningHelloInterval);
  const std::string body =
      EncodeControlMessage(Hello{this->OwnMember(), is_forming});
  for (const Endpoint& peer : this->hello_targets) {
    this->links->Send(peer, body);
  }
}

// Adds an address to which `Hello` messages are sent. Every member has to learn
// which disk is now at this VM's address, but the settings may name only some
// of the members.
void ControlDriver::Impl::AddHelloTarget(const Endpoint& endpoint) {
  if (endpoint != this->settings.address &&
      this->hello_targets.insert(endpoint).second) {
    this->next_hello_at = MonotonicTime();
  }
}

// True while this disk is not a member of a group, or another disk is still
// listed at this address.
bool ControlDriver::Impl::MustSendHello() const {
  if (this->formation) {
    return true;
  }
  if (!this->replica) {
    return false;
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

MonotonicTime ControlDriver::Impl::NextBatchTime() const {
  MonotonicTime next_batch_at = MonotonicTime::max();
  if (this->replica) {
    next_batch_at = this->replica->NextTick();
  }
  if (this->MustSendHello()) {
    next_batch_at = std::min(next_batch_at, this->next_hello_at);
  }
  if (this->storage_retry.is_pending()) {
    next_batch_at =
        std::min(next_batch_at, this->storage_retry.next_attempt_at());
  }
  if (!this->deferred_commands.empty()) {
    next_batch_at =
        std::min(next_batch_at, this->deferred_since + kMaxDeferral);
  }
  return next_batch_at;
}

}  // namespace marigold
