#ifndef SRC_NET_CONTROL_DETAIL_CONTROL_DRIVER_IMPL_H_
#define SRC_NET_CONTROL_DETAIL_CONTROL_DRIVER_IMPL_H_

#include <oneapi/tbb/concurrent_queue.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <variant>
#include <vector>

#include "src/core/clock.h"
#include "src/core/random.h"
#include "src/core/ranked_mutex.h"
#include "src/net/control/control_driver.h"
#include "src/net/control/peer_links.h"
#include "src/net/control/pending_entries.h"
#include "src/policy/replication_lag.h"
#include "src/policy/storage_retry.h"
#include "src/replication/file_storage.h"
#include "src/replication/group_formation.h"
#include "src/replication/replica.h"

namespace marigold {

namespace detail {

// Inputs that wait for the next batch.

struct HelloInput {
  Hello hello;
  std::function<void(HelloReply)> reply;
};

struct HelloReplyInput {
  Endpoint peer;
  HelloReply reply;
};

struct AddPeersInput {
  std::vector<Endpoint> peers;
};

struct CommandInput {
  std::string payload;
  std::function<void(SubmitAnswer)> done;
};

struct ChangeMembersInput {
  MembershipChange change;
  std::function<void(ChangeMembersAnswer)> done;
};

struct ConfirmReadInput {
  std::function<void(ConfirmReadAnswer)> done;
};

struct DrainInput {
  std::function<void()> on_drained;
};

using DriverInput = std::variant<PeerMessage,
                                 HelloInput,
                                 HelloReplyInput,
                                 AddPeersInput,
                                 CommandInput,
                                 ChangeMembersInput,
                                 ConfirmReadInput,
                                 DrainInput>;

}  // namespace detail

// Inputs are queued without taking the driver's lock, so that no worker blocks
// while another one syncs the disk. Only one worker at a time runs a batch.
struct ControlDriver::Impl : std::enable_shared_from_this<Impl> {
  using Storage = CountedStorage<FileStorage>;
  using DriverReplica = Replica<Storage, SeededRandom>;

  Impl(WorkerPool& worker_pool,
       ControlTable& control_table,
       ControlDriverSettings driver_settings,
       std::function<void()> lists_changed_handler);

  // Prepares the connections to the peers and opens the storage. Must be called
  // once, before the first batch.
  Result<void> Prepare();

  void Post(detail::DriverInput input);
  // Ensures that a batch begins after this call. If one is running, another one
  // follows.
  void RequestBatch();
  void ScheduleBatch();
  void RunBatch();
  void OnPeerReply(const Endpoint& peer, const std::string& body);
  Endpoint AddressOf(const Member& member) const;

  // The following methods must be called with `mutex` held, except `ArmTimer`.

  // Opens the storage for the first time. Fails unless the error may pass.
  Result<void> OpenStorageAtStart();
  // Opens or repairs the storage. Then opens the replica on it, or begins to
  // form a group.
  Result<void> OpenStorage();
  // Returns the error of `OpenStorage`, or nothing if it succeeds.
  std::optional<AnyError> TryOpenStorage();
  Result<void> OpenReplica(Membership first_membership);
  std::vector<detail::DriverInput> TakeInputs();
  void Handle(MonotonicTime now, detail::DriverInput& input);
  void On(MonotonicTime now, PeerMessage& peer);
  void On(MonotonicTime now, detail::HelloInput& input);
  void On(MonotonicTime now, detail::HelloReplyInput& input);
  void On(MonotonicTime now, detail::AddPeersInput& input);
  void On(MonotonicTime now, detail::CommandInput& input);
  void ProposeDeferred(MonotonicTime now);
  void Propose(MonotonicTime now, detail::CommandInput& input);
  void On(MonotonicTime now, detail::ChangeMembersInput& input);
  void On(MonotonicTime now, detail::ConfirmReadInput& input);
  void On(MonotonicTime now, detail::DrainInput& input);
  void ReportReplacedDisks(MonotonicTime now, const Member& introduced);
  void AdmitMember(MonotonicTime now, const Member& member);
  void RunReplica(MonotonicTime now);
  // Writes and syncs pending log entries, tells the replica how long the sync
  // took and logs slow syncs.
  void FlushReplica();
  void LogIfSlowSync(std::string_view operation, Duration duration);
  void JoinOrFormGroup(MonotonicTime now);
  void AddHelloTarget(const Endpoint& endpoint);
  bool MustSendHello() const;
  void SendMessages();
  void ApplyCommitted();
  void ApplyEntry(const LogEntry& entry);
  void RestoreSnapshot(const StateSnapshot& snapshot);
  void AnswerPendingReads();
  // Tries to take a failed disk into use again if an attempt is due.
  void RecoverStorage(MonotonicTime now);
  void OnStorageFailed(MonotonicTime now, const AnyError& error);
  void FailStaleTermEntries();
  void CompactIfDue();
  void PublishStatus();
  bool HasCurrentLists(MonotonicTime now) const;
  void ReportListsChanged();
  // Runs `call` at the end of the current batch, after `mutex` is released.
  void RunAfterUnlock(std::function<void()> call);
  std::optional<Endpoint> LeaderAddress() const;
  Refusal RefusalOf(ProposeStatus status) const;
  Member OwnMember() const;
  Membership CurrentMembership() const;
  MonotonicTime NextBatchTime() const;
  void ArmTimer(MonotonicTime next_batch_at);

  WorkerPool& pool;
  ControlTable& table;
  const ControlDriverSettings settings;
  const std::function<void()> on_lists_changed;
  SystemClock clock;
  ControlCounters counters;
  std::unique_ptr<PeerLinks> links;

  oneapi::tbb::concurrent_queue<detail::DriverInput> inputs;
  // Number of `RequestBatch` calls that no finished batch has handled. Positive
  // while a batch is scheduled or running.
  std::atomic<std::uint64_t> batch_requests = 0;
  std::atomic<bool> is_stopping = false;

  RankedMutex<LockRank::kControlDriver> mutex;
  // Absent until the data folder has been opened.
  std::optional<Storage> storage;
  StorageRetry storage_retry;
  // Empty until the data folder has been opened.
  DiskId disk;
  SeededRandom random;
  CompactionSchedule compaction;
  // Absent until the storage is open and the first membership is known.
  std::optional<DriverReplica> replica;
  std::optional<GroupFormation> formation;
  // The listening addresses of the members that have sent messages to this one.
  std::map<DiskId, Endpoint> learned_addresses;
  PendingEntries pending;
  // Commands that wait until the uncommitted entries are committed, and the
  // time when the first of them arrived.
  std::vector<detail::CommandInput> deferred_commands;
  MonotonicTime deferred_since;
  std::vector<std::function<void(ConfirmReadAnswer)>> pending_reads;
  std::vector<std::function<void()>> calls_after_unlock;
  std::function<void()> on_drained;
  LogIndex applied_index;
  // What the table lacks of what the leader reports as committed.
  ReplicationLag lag{clock.Now()};
  LogIndex reported_lists_index;
  bool has_quorum = false;
  bool reported_has_quorum = false;
  MonotonicTime next_hello_at;
  std::set<Endpoint> hello_targets;

  // Used only by the worker that runs a batch.
  TimerHandle timer;
  MonotonicTime timer_due;
};

}  // namespace marigold

#endif  // SRC_NET_CONTROL_DETAIL_CONTROL_DRIVER_IMPL_H_
