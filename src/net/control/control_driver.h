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
#include "src/replication/replica_types.h"
#include "src/tables/control_table.h"
#include "src/wire/control_messages.h"

namespace marigold {

struct ControlDriverSettings {
  VmId vm;
  DataCentreId data_centre;
  // Where other control VMs reach this one.
  Endpoint address;
  // The other control VMs that it introduces itself to.
  std::vector<Endpoint> peers;
  std::string data_folder;
  // Form a new group with the peers if the disk is empty.
  bool init = false;
  // The role in which an empty disk joins a group.
  MemberRole join_as = MemberRole::kSpare;
  ReplicaSettings replica;
  // Applied entries after which a snapshot is due.
  std::uint64_t compact_entries = 8'192;
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
  std::atomic<std::uint64_t> snapshot_bytes = 0;
};

// The outcome of a command, and where the leader is if this VM is not it.
struct SubmitAnswer {
  std::variant<ControlOutcome, Refusal> outcome;
  std::optional<Endpoint> leader;
};

struct MembersAnswer {
  // Nothing if the change is committed.
  std::optional<Refusal> refusal;
  std::optional<Endpoint> leader;
};

struct ReadAnswer {
  // The table holds everything that was accepted before the read.
  bool is_confirmed = false;
  std::optional<Endpoint> leader;
};

// Runs one control VM's replica: collects what arrives, applies it in batches
// with one sync each, sends to the other members, applies committed entries to
// the table and answers the callers that wait for them. Callbacks run on any
// worker, exactly once.
class ControlDriver {
 public:
  // Opens the data folder; fails with `IoError` and `ParseError`.
  // `on_lists_changed` is called after the table's lists or the contact with a
  // quorum have changed.
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
  void OnHello(Hello hello, std::function<void(HelloReply)> reply);
  // A refusal says did-not-run only if the command did not enter the log.
  void Submit(const ControlCommand& command,
              std::function<void(SubmitAnswer)> done);
  void ChangeMembers(MembershipChange change,
                     std::function<void(MembersAnswer)> done);
  // `on_usable` is called once the disk takes writes again after a failure. The
  // replica stays stopped: only a new start knows what is on the disk. To be
  // set before `Start`.
  void SetStorageUsableHandler(std::function<void()> on_usable);
  // Finds out whether the table is up to date, and then calls `done`.
  void ConfirmRead(std::function<void(ReadAnswer)> done);
  // Sends a message to all other members that are reachable.
  void Broadcast(const ControlMessage& message);
  // Refuses new commands, and calls `on_drained` once none is in the log
  // without an answer.
  void Drain(std::function<void()> on_drained);

  // Queries.

  const ControlCounters& counters() const;
  const DiskId& disk() const;

  struct Impl;

 private:
  explicit ControlDriver(std::shared_ptr<Impl> driver_impl);

  std::shared_ptr<Impl> impl;
};

}  // namespace marigold

#endif  // SRC_NET_CONTROL_CONTROL_DRIVER_H_
