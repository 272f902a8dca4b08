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
#include "src/replication/replica.h"
#include "tests/memory_storage.h"
#include "tests/row_indices.h"

namespace marigold {

// A few replicas in one thread under virtual time. Messages take one step of a
// millisecond, keep their order and get lost on cut links.
class TestGroup {
 public:
  using TestReplica = Replica<MemoryStorage, SeededRandom>;

  struct Node {
    explicit Node(const DiskId& disk) : storage(disk), random(Seed(disk)) {}
    static std::uint64_t Seed(const DiskId& disk) {
      return std::hash<std::string>()(disk.value());
    }

    MemoryStorage storage;
    SeededRandom random;
    std::optional<TestReplica> replica;
    // The end of the sync that holds up the process.
    MonotonicTime busy_until;
    // What the state machine has: the payloads of committed commands.
    std::vector<std::string> applied;
    LogIndex applied_index;
  };

  // `voters` members named "a", "b" and so on, beside those that the settings
  // bring along, which do not start.
  explicit TestGroup(std::size_t voters, ReplicaSettings replica_settings = {})
      : settings(std::move(replica_settings)) {
    SetViolationReaction(ViolationReaction::kAbort);
    SetLogLevel(LogLevel::kError);
    for (std::size_t i = 0; i < voters; ++i) {
      this->settings.initial_membership.members.push_back(
          MemberOf(Name(i), MemberRole::kVoter));
    }
    for (std::size_t i = 0; i < voters; ++i) {
      this->Start(Name(i));
    }
  }

  static std::string Name(std::size_t i) {
    return std::string(1, static_cast<char>('a' + i));
  }
  static Member MemberOf(const std::string& name, MemberRole role) {
    return {DiskId(name), VmId("vm-" + name), {"127.0.0.1", 1}, role};
  }

  Node& At(const std::string& name) {
    const DiskId disk(name);
    return *this->nodes.try_emplace(disk, std::make_unique<Node>(disk))
                .first->second;
  }
  TestReplica& Of(const std::string& name) { return *this->At(name).replica; }

  void Start(const std::string& name) {
    Node& node = this->At(name);
    node.applied.clear();
    node.applied_index = LogIndex();
    auto replica =
        TestReplica::Open(this->settings, node.storage, node.random, this->now);
    cr_assert(static_cast<bool>(replica), "%s does not open", name.c_str());
    node.replica.emplace(std::move(replica.value()));
  }
  // Starts a process over an older state of its disk.
  void Restore(const std::string& name, const StoredState& copy) {
    this->Crash(name);
    this->At(name).storage.durable = copy;
    this->Start(name);
  }
  void Crash(const std::string& name) { this->At(name).replica.reset(); }

  // Cuts or restores the link in one direction.
  void Cut(const std::string& from, const std::string& to) {
    this->cut.insert({DiskId(from), DiskId(to)});
  }
  void Isolate(const std::string& name) {
    for (const auto& [disk, node] : this->nodes) {
      this->Cut(name, disk.value());
      this->Cut(disk.value(), name);
    }
  }
  void Heal() { this->cut.clear(); }

  // Stops a process without a crash; its messages wait.
  void Freeze(const std::string& name) { this->frozen.insert(DiskId(name)); }
  void Thaw(const std::string& name) { this->frozen.erase(DiskId(name)); }

  void Run(Duration duration) {
    this->RunUntil([] { return false; }, duration);
  }

  // Returns whether `done` became true in time.
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

  // The member that leads with a lease, or an empty name.
  std::string Leader() {
    for (const auto& [disk, node] : this->nodes) {
      if (node->replica && !this->frozen.contains(disk) &&
          node->replica->ReadIndex(this->now)) {
        return disk.value();
      }
    }
    return "";
  }
  std::string Elect() {
    this->RunUntil([this] { return !this->Leader().empty(); },
                   std::chrono::seconds(20));
    const std::string leader = this->Leader();
    cr_assert(!leader.empty(), "no leader within 20 s");
    return leader;
  }
  // A voter of the start that does not lead.
  std::string Follower(std::size_t which = 0) {
    const std::string leader = this->Leader();
    for (const Member& member : this->settings.initial_membership.members) {
      if (member.role == MemberRole::kVoter && member.disk.value() != leader &&
          which-- == 0) {
        return member.disk.value();
      }
    }
    return "";
  }

  Proposal Propose(const std::string& name, const std::string& payload) {
    return this->Of(name).Propose(this->now, WallTime(), payload);
  }
  // Proposes a change of one member on the leader and waits a little.
  ProposeStatus Change(MembershipChange::Kind kind,
                       const std::string& name,
                       MemberRole role) {
    const ProposeStatus status =
        this->Of(this->Leader())
            .ProposeMembership(this->now, WallTime(),
                               {kind, MemberOf(name, role)})
            .status;
    this->Run(std::chrono::milliseconds(300));
    return status;
  }
  // Proposes on the leader and waits until it has applied the payload.
  bool Commit(const std::string& payload,
              Duration limit = std::chrono::seconds(5)) {
    const std::string leader = this->Leader();
    if (leader.empty() ||
        this->Propose(leader, payload).status != ProposeStatus::kProposed) {
      return false;
    }
    return this->RunUntil([&] { return this->Has(leader, payload); }, limit);
  }
  void CommitMany(std::size_t count) {
    const std::string leader = this->Leader();
    for (std::size_t i = 0; i < count; ++i) {
      this->Propose(leader, "entry " + std::to_string(i));
    }
    this->Run(std::chrono::milliseconds(300));
  }
  // Compacts all that the member has applied.
  void Compact(const std::string& name) {
    Node& node = this->At(name);
    std::string data;
    for (const std::string& payload : node.applied) {
      data += payload + "\n";
    }
    node.replica->Compact(node.applied_index, data);
  }
  bool Has(const std::string& name, const std::string& payload) {
    const auto& applied = this->At(name).applied;
    return std::find(applied.begin(), applied.end(), payload) != applied.end();
  }

  // Delivers what is due, then ticks, flushes and collects.
  void StepAll() {
    std::deque<ReplicaMessage> arriving;
    arriving.swap(this->network);
    for (ReplicaMessage& message : arriving) {
      if (this->cut.contains({message.from, message.to})) {
        continue;
      }
      if (this->IsHeldUp(message.to)) {
        this->network.push_back(std::move(message));
        continue;
      }
      const auto node = this->nodes.find(message.to);
      if (node != this->nodes.end() && node->second->replica) {
        node->second->replica->Step(this->now, message);
      }
    }
    for (auto& [disk, node] : this->nodes) {
      if (node->replica && !this->IsHeldUp(disk)) {
        this->Drive(*node);
      }
    }
  }

  ReplicaSettings settings;
  // How long each sync of a disk takes; its process does nothing meanwhile.
  Duration sync_time{};
  MonotonicTime now{std::chrono::seconds(1000)};
  std::map<DiskId, std::unique_ptr<Node>> nodes;
  std::deque<ReplicaMessage> network;
  // Messages given out, by the sender.
  std::map<DiskId, std::size_t> sent;

 private:
  bool IsHeldUp(const DiskId& disk) const {
    const auto node = this->nodes.find(disk);
    return this->frozen.contains(disk) ||
           (node != this->nodes.end() && this->now < node->second->busy_until);
  }
  void Drive(Node& node) {
    TestReplica& replica = *node.replica;
    if (replica.NextTick() <= this->now) {
      replica.Tick(this->now);
    }
    this->Collect(node);
    const std::size_t syncs = node.storage.syncs;
    replica.Flush(this->now);
    if (this->sync_time > Duration() && node.storage.syncs != syncs) {
      node.busy_until = this->now + this->sync_time;
      replica.OnSyncTook(this->sync_time);
      return;
    }
    this->Collect(node);
    for (Committed& item : replica.TakeCommitted()) {
      this->Apply(node, item);
    }
  }
  void Collect(Node& node) {
    for (ReplicaMessage& message : node.replica->TakeMessages()) {
      ++this->sent[message.from];
      this->network.push_back(std::move(message));
    }
  }
  // The image of the state machine is its payloads, one a line.
  void Apply(Node& node, const Committed& item) {
    if (item.snapshot) {
      node.applied.clear();
      std::string line;
      for (const char c : item.snapshot->data) {
        if (c == '\n') {
          node.applied.push_back(std::exchange(line, ""));
        } else {
          line += c;
        }
      }
      node.applied_index = item.snapshot->index;
      return;
    }
    cr_assert_eq(item.entry->index.value(), node.applied_index.value() + 1,
                 "committed entries have a gap");
    node.applied_index = item.entry->index;
    if (item.entry->kind == EntryKind::kCommand) {
      node.applied.push_back(item.entry->payload);
    }
  }

  std::set<std::pair<DiskId, DiskId>> cut;
  std::set<DiskId> frozen;
};

}  // namespace marigold

#endif  // TESTS_REPLICATION_GROUP_H_
