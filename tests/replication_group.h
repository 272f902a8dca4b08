#ifndef TESTS_REPLICATION_GROUP_H_
#define TESTS_REPLICATION_GROUP_H_

#include <criterion/criterion.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/core/invariant.h"
#include "src/core/log.h"
#include "src/core/random.h"
#include "src/replication/admission.h"
#include "src/replication/replica.h"
#include "tests/memory_storage.h"
#include "tests/row_indices.h"

namespace marigold {

// A group of replicas in one thread under virtual time, which advances in steps
// of one millisecond. A message arrives one step after it was sent. Messages
// keep their order, and are lost on cut links.
class TestGroup {
 public:
  using TestReplica = Replica<MemoryStorage, SeededRandom>;

  struct TestMember {
    explicit TestMember(const DiskId& disk)
        : storage(disk), random(Seed(disk)) {}
    static std::uint64_t Seed(const DiskId& disk) {
      return std::hash<std::string>()(disk.value());
    }

    MemoryStorage storage;
    SeededRandom random;
    std::optional<TestReplica> replica;
    // The end of the sync that stalls the process.
    MonotonicTime stalled_until;
    // The state of the state machine: the payloads of the committed commands.
    std::vector<std::string> applied_payloads;
    LogIndex applied_index;
  };

  // Starts `voters` members, which are named "a", "b" and so on. Members that
  // the settings already contain are not started.
  explicit TestGroup(std::size_t voters, ReplicaSettings replica_settings = {})
      : settings(std::move(replica_settings)) {
    SetViolationReaction(ViolationReaction::kAbort);
    SetLogLevel(LogLevel::kError);
    for (std::size_t i = 0; i < voters; ++i) {
      this->settings.initial_membership.members.push_back(
          MakeMember(Name(i), MemberRole::kVoter));
    }
    for (std::size_t i = 0; i < voters; ++i) {
      this->Start(Name(i));
    }
  }

  static std::string Name(std::size_t i) {
    return std::string(1, static_cast<char>('a' + i));
  }
  static Member MakeMember(const std::string& name, MemberRole role) {
    return {DiskId(name), VmId("vm-" + name), {"127.0.0.1", 1}, role};
  }

  TestMember& TestMemberOf(const std::string& name) {
    const DiskId disk(name);
    return *this->test_members
                .try_emplace(disk, std::make_unique<TestMember>(disk))
                .first->second;
  }
  TestReplica& ReplicaOf(const std::string& name) {
    return *this->TestMemberOf(name).replica;
  }

  void Start(const std::string& name) {
    TestMember& test_member = this->TestMemberOf(name);
    test_member.applied_payloads.clear();
    test_member.applied_index = LogIndex();
    auto replica = TestReplica::Open(this->settings, test_member.storage,
                                     test_member.random, this->now);
    cr_assert(static_cast<bool>(replica), "replica %s failed to open",
              name.c_str());
    test_member.replica.emplace(std::move(replica.value()));
  }
  // Restarts the process with an older state of its disk.
  void RestoreDisk(const std::string& name, const StoredState& copy) {
    this->Crash(name);
    this->TestMemberOf(name).storage.durable = copy;
    this->Start(name);
  }
  void Crash(const std::string& name) {
    this->TestMemberOf(name).replica.reset();
  }

  // Cuts the link from `from` to `to`, but not the opposite one.
  void CutLink(const std::string& from, const std::string& to) {
    this->cut_links.insert({DiskId(from), DiskId(to)});
  }
  void Isolate(const std::string& name) {
    for (const auto& [disk, test_member] : this->test_members) {
      this->CutLink(name, disk.value());
      this->CutLink(disk.value(), name);
    }
  }
  void RestoreLinks() { this->cut_links.clear(); }

  // Suspends the process until `Thaw`. Messages to it wait meanwhile.
  void Freeze(const std::string& name) { this->frozen.insert(DiskId(name)); }
  void Thaw(const std::string& name) { this->frozen.erase(DiskId(name)); }

  void Run(Duration duration) {
    this->RunUntil([] { return false; }, duration);
  }

  // Returns whether `done` became true within `limit`.
  bool RunUntil(const std::function<bool()>& done, Duration limit) {
    const MonotonicTime end = this->now + limit;
    while (this->now < end) {
      if (done()) {
        return true;
      }
      this->now += std::chrono::milliseconds(1);
      this->StepAll();
    }
    return done();
  }

  // Returns the member that leads with a lease, or an empty name.
  std::string Leader() {
    for (const auto& [disk, test_member] : this->test_members) {
      if (test_member->replica && !this->frozen.contains(disk) &&
          test_member->replica->ReadIndex(this->now)) {
        return disk.value();
      }
    }
    return "";
  }
  std::string AwaitLeader() {
    this->RunUntil([this] { return !this->Leader().empty(); },
                   std::chrono::seconds(20));
    const std::string leader = this->Leader();
    cr_assert(!leader.empty(), "no leader within 20 s");
    return leader;
  }
  // Returns an initial voter that does not lead, or an empty name.
  std::string Follower(std::size_t index = 0) {
    const std::string leader = this->Leader();
    for (const Member& member : this->settings.initial_membership.members) {
      if (member.role == MemberRole::kVoter && member.disk.value() != leader &&
          index-- == 0) {
        return member.disk.value();
      }
    }
    return "";
  }

  Proposal Propose(const std::string& name, const std::string& payload) {
    return this->ReplicaOf(name).Propose(this->now, WallTime(), payload);
  }
  // Proposes a change of one member on the leader and runs for 300 ms.
  ProposeStatus ChangeMember(MembershipChange::Kind kind,
                             const std::string& name,
                             MemberRole role) {
    const ProposeStatus status =
        this->ReplicaOf(this->Leader())
            .ProposeMembership(this->now, WallTime(),
                               {kind, MakeMember(name, role)})
            .status;
    this->Run(std::chrono::milliseconds(300));
    return status;
  }
  // Lets the leader propose the next change that admits the member, as it does
  // each time the member asks to join.
  void Admit(const Member& newcomer) {
    TestReplica& leader = this->ReplicaOf(this->AwaitLeader());
    const auto change = PlanAdmission(leader.membership(), newcomer,
                                      leader.SilentSpares(this->now));
    if (change) {
      leader.ProposeMembership(this->now, WallTime(), *change);
    }
  }
  // Proposes on the leader. Returns whether the leader has applied the payload
  // within `limit`.
  bool Commit(const std::string& payload,
              Duration limit = std::chrono::seconds(5)) {
    const std::string leader = this->Leader();
    if (leader.empty() ||
        this->Propose(leader, payload).status != ProposeStatus::kProposed) {
      return false;
    }
    return this->RunUntil([&] { return this->HasApplied(leader, payload); },
                          limit);
  }
  void CommitMany(std::size_t count) {
    const std::string leader = this->Leader();
    for (std::size_t i = 0; i < count; ++i) {
      this->Propose(leader, "entry " + std::to_string(i));
    }
    this->Run(std::chrono::milliseconds(300));
  }
  // Compacts everything that the member has applied.
  void Compact(const std::string& name) {
    TestMember& test_member = this->TestMemberOf(name);
    std::string data;
    for (const std::string& payload : test_member.applied_payloads) {
      data += payload + "\n";
    }
    test_member.replica->Compact(test_member.applied_index, data);
  }
  bool HasApplied(const std::string& name, const std::string& payload) {
    const auto& applied_payloads = this->TestMemberOf(name).applied_payloads;
    return std::find(applied_payloads.begin(), applied_payloads.end(),
                     payload) != applied_payloads.end();
  }

  // Delivers the messages that are due, then ticks and flushes every replica
  // and collects its output.
  void StepAll() {
    std::deque<ReplicaMessage> arriving;
    arriving.swap(this->in_flight_messages);
    for (ReplicaMessage& message : arriving) {
      if (this->cut_links.contains({message.from, message.to})) {
        continue;
      }
      if (this->IsStalled(message.to)) {
        this->in_flight_messages.push_back(std::move(message));
        continue;
      }
      const auto test_member = this->test_members.find(message.to);
      if (test_member != this->test_members.end() &&
          test_member->second->replica) {
        test_member->second->replica->Step(this->now, message);
      }
    }
    for (auto& [disk, test_member] : this->test_members) {
      if (test_member->replica && !this->IsStalled(disk)) {
        this->TickAndFlush(*test_member);
      }
    }
  }

  ReplicaSettings settings;
  // How long each sync of a disk takes. Its process does nothing meanwhile.
  Duration sync_duration{};
  MonotonicTime now{std::chrono::seconds(1000)};
  std::map<DiskId, std::unique_ptr<TestMember>> test_members;
  std::deque<ReplicaMessage> in_flight_messages;
  // The number of messages sent, by sender.
  std::map<DiskId, std::size_t> messages_sent;

 private:
  bool IsStalled(const DiskId& disk) const {
    const auto test_member = this->test_members.find(disk);
    return this->frozen.contains(disk) ||
           (test_member != this->test_members.end() &&
            this->now < test_member->second->stalled_until);
  }
  void TickAndFlush(TestMember& test_member) {
    TestReplica& replica = *test_member.replica;
    if (replica.NextTick() <= this->now) {
      replica.Tick(this->now);
    }
    this->CollectMessages(test_member);
    const std::size_t syncs_before = test_member.storage.sync_count;
    replica.Flush(this->now);
    if (this->sync_duration > Duration() &&
        test_member.storage.sync_count != syncs_before) {
      test_member.stalled_until = this->now + this->sync_duration;
      replica.RecordSyncDuration(this->sync_duration);
      return;
    }
    this->CollectMessages(test_member);
    for (CommittedItem& item : replica.TakeCommitted()) {
      this->Apply(test_member, item);
    }
  }
  void CollectMessages(TestMember& test_member) {
    for (ReplicaMessage& message : test_member.replica->TakeMessages()) {
      ++this->messages_sent[message.from];
      this->in_flight_messages.push_back(std::move(message));
    }
  }
  // A snapshot of the state machine contains one payload per line.
  void Apply(TestMember& test_member, const CommittedItem& item) {
    if (item.snapshot) {
      test_member.applied_payloads.clear();
      std::string line;
      for (const char c : item.snapshot->data) {
        if (c == '\n') {
          test_member.applied_payloads.push_back(std::exchange(line, ""));
        } else {
          line += c;
        }
      }
      test_member.applied_index = item.snapshot->index;
      return;
    }
    cr_assert_eq(item.entry->index.value(),
                 test_member.applied_index.value() + 1,
                 "committed entries have a gap");
    test_member.applied_index = item.entry->index;
    if (item.entry->kind == EntryKind::kCommand) {
      test_member.applied_payloads.push_back(item.entry->payload);
    }
  }

  std::set<std::pair<DiskId, DiskId>> cut_links;
  std::set<DiskId> frozen;
};

}  // namespace marigold

#endif  // TESTS_REPLICATION_GROUP_H_
