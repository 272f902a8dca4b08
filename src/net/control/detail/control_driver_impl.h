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
#include "src/replication/file_storage.h"
#include "src/replication/group_formation.h"
#include "src/replication/replica.h"

namespace marigold {

namespace detail {

// What waits for the next batch.
struct HelloInput {
  Hello hello;
  std::function<void(HelloReply)> reply;
};

struct HelloReplyInput {
  Endpoint peer;
  HelloReply reply;
};

struct CommandInput {
  std::string payload;
  std::function<void(SubmitAnswer)> done;
};

struct MembersInput {
  MembershipChange change;
  std::function<void(MembersAnswer)> done;
};

struct ReadInput {
  std::function<void(ReadAnswer)> done;
};

struct DrainInput {
  std::function<void()> on_drained;
};

using DriverInput = std::variant<PeerMessage,
                                 HelloInput,
                                 HelloReplyInput,
                                 CommandInput,
                                 MembersInput,
                                 ReadInput,
                                 DrainInput>;

}  // namespace detail

// Inputs wait in a queue without the driver's lock, so that no worker blocks
// while another one syncs. One worker at a time runs a batch.
struct ControlDriver::Impl : std::enable_shared_from_this<Impl> {
  using Storage = CountedStorage<FileStorage>;
  using DriverReplica = Replica<Storage, SeededRandom>;

  Impl(WorkerPool& worker_pool,
       ControlTable& control_table,
       ControlDriverSettings driver_settings,
       FileStorage file_storage,
       std::function<void()> lists_handler);

  // Called once before any batch.
  Result<void> Prepare();

  void Post(detail::DriverInput input);
  // Makes sure that a batch begins after this.
  void Wake();
  void ScheduleBatch();
  void RunBatch();
  void OnLinkBody(const Endpoint& peer, const std::string& body);
  Endpoint AddressOf(const Member& member) const;

  // The following are called with the lock held.

  Result<void> OpenReplica(Membership first);
  std::vector<detail::DriverInput> TakeInputs();
  void Handle(MonotonicTime now, detail::DriverInput& input);
  void On(MonotonicTime now, PeerMessage& peer);
  void On(MonotonicTime now, detail::HelloInput& input);
  void On(MonotonicTime now, detail::HelloReplyInput& input);
  void On(MonotonicTime now, detail::CommandInput& input);
  void ProposeHeld(MonotonicTime now);
  void Propose(MonotonicTime now, detail::CommandInput& input);
  void On(MonotonicTime now, detail::MembersInput& input);
  void On(MonotonicTime now, detail::ReadInput& input);
  void On(MonotonicTime now, detail::DrainInput& input);
  void NoteGoneDisks(MonotonicTime now, const Member& introduced);
  void AdmitMember(MonotonicTime now, const Member& member);
  void RunReplica(MonotonicTime now);
  // Writes what is pending and reports syncs that hold up elections.
  void FlushReplica();
  void LogIfSlow(std::string_view what, Duration took);
  void Introduce(MonotonicTime now);
  void LearnIntroductionTarget(const Endpoint& endpoint);
  bool HasToIntroduce() const;
  void SendMessages();
  void ApplyCommitted();
  void ApplyEntry(const LogEntry& entry);
  void RestoreSnapshot(const StateSnapshot& image);
  void AnswerReads();
  // Reports once a failed disk takes writes again.
  void TryFailedStorage(MonotonicTime now);
  void FailLostEntries();
  void CompactIfDue();
  std::uint64_t DrawCompactDelay();
  void Publish();
  void ReportListsChanged();
  // Calls `call` after the lock is released.
  void Deliver(std::function<void()> call);
  std::optional<Endpoint> LeaderAddress() const;
  Refusal RefusalOf(ProposeStatus status) const;
  Member OwnMember() const;
  Membership CurrentMembership() const;
  MonotonicTime NextDue() const;
  void ArmTimer(MonotonicTime due);

  WorkerPool& pool;
  ControlTable& table;
  const ControlDriverSettings settings;
  const std::function<void()> on_lists_changed;
  SystemClock clock;
  ControlCounters counters;
  std::unique_ptr<PeerLinks> links;

  oneapi::tbb::concurrent_queue<detail::DriverInput> inputs;
  // Calls of `Wake` that no finished batch has seen; above 0 while a batch is
  // scheduled or runs.
  std::atomic<std::uint64_t> wakes = 0;
  std::atomic<bool> is_stopping = false;

  RankedMutex<LockRank::kControlDriver> mutex;
  Storage storage;
  DiskId disk;
  SeededRandom random;
  // Entries beyond the setting before the next snapshot; differs by member.
  std::uint64_t compact_delay;
  // Absent until the first membership is known.
  std::optional<DriverReplica> replica;
  std::optional<GroupFormation> formation;
  // Where members that this one has heard from listen.
  std::map<DiskId, Endpoint> heard_addresses;
  PendingEntries pending;
  // Commands that wait for the entries on their way, and since when.
  std::vector<detail::CommandInput> held;
  MonotonicTime held_since;
  std::vector<std::function<void(ReadAnswer)>> reads;
  std::vector<std::function<void()>> deliveries;
  std::function<void()> on_drained;
  LogIndex applied;
  LogIndex reported_lists;
  bool has_quorum = false;
  bool reported_quorum = false;
  // Payload bytes applied since the last snapshot, and that snapshot's size.
  std::uint64_t applied_bytes = 0;
  std::uint64_t snapshot_bytes = 0;
  std::function<void()> on_storage_usable;
  MonotonicTime storage_try_at;
  MonotonicTime introduce_at;
  std::set<Endpoint> introduction_targets;

  // Used only by the worker that runs a batch.
  TimerHandle timer;
  MonotonicTime timer_due;
};

}  // namespace marigold

#endif  // SRC_NET_CONTROL_DETAIL_CONTROL_DRIVER_IMPL_H_
