#ifndef SRC_NET_CONTROL_CONTROL_DRIVER_H_
#define SRC_NET_CONTROL_CONTROL_DRIVER_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "src/commands/control_commands.h"
#include "src/core/result.h"
#include "src/core/settings_values.h"
#include "src/net/control/counted_storage.h"
#include "src/net/worker_pool.h"
#include "src/policy/compaction_schedule.h"
#include "src/replication/replica_types.h"
#include "src/tables/control_table.h"
#include "src/wire/control_messages.h"

namespace marigold {

struct ControlDriverSettings {
  VmId vm;
  DataCentreId data_centre;
  // The address at which other control VMs reach this one.
  Endpoint address;
  // The other control VMs. This one sends them a `Hello` until the group lists
  // its disk.
  std::vector<Endpoint> peers;
  std::string data_folder;
  // If true, a VM with an empty disk forms a new group with the peers. If
  // false, it joins an existing group.
  bool init = false;
  // The role in which an empty disk joins a group.
  MemberRole join_as = MemberRole::kSpare;
  ReplicaSettings replica;
  CompactionSettings compaction;
};

// Counts since the process started.
struct ControlCounters {
  StorageCounters storage;
  std::atomic<std::uint64_t> batches = 0;
  std::atomic<std::uint64_t> commands_proposed = 0;
  std::atomic<std::uint64_t> commands_applied = 0;
  std::atomic<std::uint64_t> refused_did_not_run = 0;
  std::atomic<std::uint64_t> refused_may_have_run = 0;
  std::atomic<std::uint64_t> peer_messages_sent = 0;
  std::atomic<std::uint64_t> peer_messages_received = 0;
  // Size of the last snapshot in bytes. Not a count.
  std::atomic<std::uint64_t> snapshot_bytes = 0;
  // Failures of the disk, and how often it was taken into use again after one.
  std::atomic<std::uint64_t> storage_failures = 0;
  std::atomic<std::uint64_t> storage_recoveries = 0;
};

// The outcome of a command.
struct SubmitAnswer {
  std::variant<ControlOutcome, Refusal> outcome;
  // For a refusal: the leader's address, if it is known.
  std::optional<Endpoint> leader;
};

struct ChangeMembersAnswer {
  // Absent if the change has been committed.
  std::optional<Refusal> refusal;
  std::optional<Endpoint> leader;
};

struct ConfirmReadAnswer {
  // True if the table holds every change that was accepted before the read.
  bool is_confirmed = false;
  std::optional<Endpoint> leader;
};

// Runs the replica of one control VM. It queues incoming messages and requests
// and handles them in batches with one disk sync each, sends messages to the
// other members, applies committed entries to the table and answers the callers
// that wait for them. The callback of a request runs exactly once, on any
// thread, unless the driver is destroyed first.
class ControlDriver {
 public:
  // Opens the data folder. Fails with `ParseError` if its files are damaged,
  // and with `IoError` if it can't be opened for a reason that does not pass.
  // If the disk is full or fails, the driver starts without it and tries it
  // again, as it does after a failure later on. `on_lists_changed` is called
  // whenever the table's lists or `ControlStatus::has_quorum` have changed.
  static Result<std::unique_ptr<ControlDriver>> Open(
      WorkerPool& pool,
      ControlTable& table,
      ControlDriverSettings settings,
      std::function<void()> on_lists_changed);
  ~ControlDriver();

  ControlDriver(const ControlDriver&) = delete;
  ControlDriver& operator=(const ControlDriver&) = delete;

  // Commands.

  void Start();
  void OnPeerMessage(PeerMessage message);
  // Adds control VMs that the settings name now. A VM whose disk belongs to no
  // group asks them to add it.
  void AddPeers(std::vector<Endpoint> peers);
  void OnHello(Hello hello, std::function<void(HelloReply)> reply);
  // Proposes a command if this VM is the leader. A refusal states did-not-run
  // only if the command will never be committed.
  void Submit(const ControlCommand& command,
              std::function<void(SubmitAnswer)> done);
  void ChangeMembers(MembershipChange change,
                     std::function<void(ChangeMembersAnswer)> done);
  // Checks whether the table holds every accepted change, and calls `done` with
  // the result.
  void ConfirmRead(std::function<void(ConfirmReadAnswer)> done);
  // Sends a message to all other members. It is dropped for those that are
  // unreachable.
  void Broadcast(const ControlMessage& message);
  // Sends a message to the leader. It is dropped if the leader is unknown,
  // unreachable or this VM.
  void SendToLeader(const ControlMessage& message);
  // Refuses new commands, and calls `on_drained` once every command accepted
  // before has been answered.
  void Drain(std::function<void()> on_drained);

  // Queries.

  const ControlCounters& counters() const;

  struct Impl;

 private:
  explicit ControlDriver(std::shared_ptr<Impl> driver_impl);

  std::shared_ptr<Impl> impl;
};

}  // namespace marigold

#endif  // SRC_NET_CONTROL_CONTROL_DRIVER_H_
