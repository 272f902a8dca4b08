#ifndef TOOLS_SOAK_CONTROL_VM_H_
#define TOOLS_SOAK_CONTROL_VM_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "src/replication/replica.h"
#include "src/tables/control_state.h"
#include "src/tables/list_table.h"
#include "tools/soak/event_queue.h"
#include "tools/soak/fake_disk.h"
#include "tools/soak/invariant_checker.h"
#include "tools/soak/virtual_network.h"

namespace marigold {

// Why a control VM gave no outcome to a submitted command.
struct SubmitRefusal {
  // False if the command was surely not appended here.
  bool may_commit = false;
  // Where the leader is, as far as this VM knows.
  std::optional<VmId> leader;
};

using SubmitAnswer = std::variant<ControlOutcome, SubmitRefusal>;

// What a run shares among its actors.
struct SimulationContext {
  EventQueue& events;
  VirtualNetwork& network;
  SeededRandom& random;
  InvariantChecker& checker;
  PlantedBug planted_bug = PlantedBug::kNone;
};

// A control VM: the production replica and state machine over a fake disk, with
// crashes, freezes and lost disks.
class ControlVm {
 public:
  using Send = std::function<void(const ReplicaMessage&)>;

  ControlVm(SimulationContext context,
            VmId vm_id,
            DiskId disk,
            Membership initial);

  // Commands.

  // Where messages to other control VMs go; to be set before `Start`.
  void SetSend(Send send_message) { this->send = std::move(send_message); }

  void Start();
  // Ends the process at once. Unsynced writes may be lost.
  void Crash();
  // Lets the `writes`-th write from now end the process, which starts again
  // `downtime` after that.
  void CrashAfterWrites(std::uint64_t writes, Duration downtime);
  void DisarmCrash() { this->disk->DisarmCrash(); }
  // Inputs wait until `until` and are then handled late.
  void Freeze(MonotonicTime until);
  void JumpWallClock(Duration jump) { this->wall_clock_offset += jump; }
  // The process ends and its disk is replaced by an empty one.
  void LoseDisk(const DiskId& replacement);
  void SaveDiskCopy();
  // The process ends and its disk goes back to the remembered copy.
  void RestoreDiskCopy();

  void Receive(const ReplicaMessage& message);
  void Submit(const ControlCommand& command,
              std::function<void(SubmitAnswer)> answer);
  void ProposeMember(const MembershipChange& change);

  // Queries.

  const VmId& id() const { return this->vm; }
  const DiskId& disk_id() const { return this->disk->id(); }
  bool is_running() const { return this->replica != nullptr; }
  bool is_frozen() const {
    return this->context.events.now() < this->frozen_until;
  }
  bool IsLeader() const;
  Term term() const;
  LogIndex commit_index() const;
  LogIndex last_index() const;
  bool is_boot_unconfirmed() const;
  const Membership* membership() const;
  // The update that takes a list table from `known_index` to this VM's state.
  std::optional<ListUpdate> ListUpdateAfter(LogIndex known_index) const;
  LogIndex lists_index() const;
  // True if this VM hears from a leader or a quorum.
  bool HasQuorumContact() const;

 private:
  using SoakReplica = Replica<FakeDisk, SeededRandom>;

  struct PendingSubmit {
    Term term;
    std::function<void(SubmitAnswer)> answer;
  };

  // Runs `input` now, or after a freeze, if the process is the same by then.
  void HandleInput(std::function<void()> input);
  WallTime WallNow() const;
  void ScheduleTick();
  void ScheduleFlush();
  void Flush();
  void CrashThenRestart();
  void SendMessages();
  void ApplyCommitted();
  void ApplyEntry(const LogEntry& entry);
  void Answer(LogIndex index, Term term, const ControlOutcome& outcome);
  void FailPendingSubmits();
  void Compact();
  std::optional<VmId> LeaderVm() const;

  SimulationContext context;
  VmId vm;
  Membership initial_membership;
  std::unique_ptr<FakeDisk> disk;
  std::optional<StoredState> disk_copy;
  std::unique_ptr<SoakReplica> replica;
  std::unique_ptr<ControlState> state;
  std::map<LogIndex, PendingSubmit> pending_submits;
  Send send;
  MonotonicTime frozen_until;
  Duration downtime_after_write_crash{};
  Duration wall_clock_offset{};
  // Counts process starts, so that events of an ended process are dropped.
  std::uint64_t process_generation = 0;
  MonotonicTime tick_at;
  bool flush_scheduled = false;
  std::uint64_t applied_since_snapshot = 0;
};

}  // namespace marigold

#endif  // TOOLS_SOAK_CONTROL_VM_H_
