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

// States why a control VM returned no outcome for a submitted command.
struct SubmitRefusal {
  // False if the command was certainly not appended on this VM.
  bool may_commit = false;
  // The VM of the leader as far as this VM knows. Empty if it knows of none.
  std::optional<VmId> leader;
};

using SubmitAnswer = std::variant<ControlOutcome, SubmitRefusal>;

// The objects that all actors of a run share. They outlive the actors.
struct SimulationContext {
  EventQueue& events;
  VirtualNetwork& network;
  SeededRandom& random;
  InvariantChecker& checker;
  PlantedBug planted_bug = PlantedBug::kNone;
};

// A control VM that runs the production replica and state machine on a fake
// disk. It can be crashed and frozen, and its disk can be lost or restored.
class ControlVm {
 public:
  using Send = std::function<void(const ReplicaMessage&)>;

  ControlVm(SimulationContext context,
            VmId vm_id,
            DiskId disk,
            Membership initial);

  // Commands.

  // Sets the function that sends messages to other control VMs. Must be called
  // before `Start`.
  void SetSend(Send send_message) { this->send = std::move(send_message); }

  void Start();
  // Ends the process immediately. Unsynced writes may be lost.
  void Crash();
  // Makes the process crash after `writes` further writes and start again
  // `downtime` after the crash.
  void CrashAfterWrites(std::uint64_t writes, Duration downtime);
  void DisarmCrash() { this->disk->DisarmCrash(); }
  // Delays all inputs that arrive before `until` to that time.
  void Freeze(MonotonicTime until);
  void JumpWallClock(Duration jump) { this->wall_clock_offset += jump; }
  // Ends the process and replaces its disk by an empty one.
  void LoseDisk(const DiskId& replacement);
  void SaveDiskCopy();
  // Ends the process and restores its disk to the saved copy, if there is one.
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
  // Returns the update that brings a list table from `known_index` to the state
  // of this VM. Empty if the table is up to date or this VM is not running.
  std::optional<ListUpdate> ListUpdateAfter(LogIndex known_index) const;
  LogIndex lists_index() const;
  // True if this VM runs and knows of a leader.
  bool KnowsLeader() const;

 private:
  using SoakReplica = Replica<FakeDisk, SeededRandom>;

  struct PendingSubmit {
    Term term;
    std::function<void(SubmitAnswer)> answer;
  };

  // Runs `input` now, or after the current freeze unless the process has been
  // restarted by then.
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
  std::optional<StoredState> saved_disk;
  std::unique_ptr<SoakReplica> replica;
  std::unique_ptr<ControlState> state;
  std::map<LogIndex, PendingSubmit> pending_submits;
  Send send;
  MonotonicTime frozen_until;
  Duration downtime_after_write_crash{};
  Duration wall_clock_offset{};
  // Incremented at each process start, so that events of an earlier process are
  // dropped.
  std::uint64_t process_generation = 0;
  MonotonicTime tick_at;
  bool flush_scheduled = false;
  std::uint64_t applied_since_snapshot = 0;
};

}  // namespace marigold

#endif  // TOOLS_SOAK_CONTROL_VM_H_
