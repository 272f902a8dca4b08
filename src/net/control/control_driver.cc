#include "src/net/control/control_driver.h"

#include <algorithm>
#include <utility>

#include "src/commands/check_command.h"
#include "src/core/log.h"
#include "src/net/control/detail/control_driver_impl.h"

namespace marigold {

namespace {

// Maximum number of inputs in one batch. Further inputs wait for the next
// batch.
constexpr std::size_t kMaxBatchInputs = 4'096;

// Every command must fit into one append message, even if the state machine
// would accept a larger one.
constexpr std::size_t kMaxCommandBytes = 1024 * 1024;

// A connection to a peer is replaced if nothing arrives on it for this number
// of heartbeat intervals.
constexpr int kSilentHeartbeatIntervals = 6;

}  // namespace

ControlDriver::Impl::Impl(WorkerPool& worker_pool,
                          ControlTable& control_table,
                          ControlDriverSettings driver_settings,
                          std::function<void()> lists_changed_handler)
    : pool(worker_pool),
      table(control_table),
      settings(std::move(driver_settings)),
      on_lists_changed(std::move(lists_changed_handler)),
      random(SystemSeed()),
      compaction(settings.compaction, SystemSeed()) {}

Result<void> ControlDriver::Impl::Prepare() {
  this->links = std::make_unique<PeerLinks>(
      this->pool,
      this->settings.replica.heartbeat_interval * kSilentHeartbeatIntervals,
      [weak = this->weak_from_this()](const Endpoint& peer, std::string body) {
        if (const auto self = weak.lock()) {
          self->OnPeerReply(peer, body);
        }
      });
  const RankedLock lock(this->mutex);
  for (const Endpoint& peer : this->settings.peers) {
    this->AddHelloTarget(peer);
  }
  BOOST_LEAF_CHECK(this->OpenStorageAtStart());
  this->PublishStatus();
  return {};
}

void ControlDriver::Impl::Post(detail::DriverInput input) {
  this->inputs.push(std::move(input));
  this->RequestBatch();
}

void ControlDriver::Impl::RequestBatch() {
  if (this->batch_requests.fetch_add(1) == 0) {
    this->ScheduleBatch();
  }
}

void ControlDriver::Impl::ScheduleBatch() {
  this->pool.Post([weak = this->weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->RunBatch();
    }
  });
}

void ControlDriver::Impl::RunBatch() {
  if (this->is_stopping) {
    return;
  }
  const std::uint64_t handled_requests = this->batch_requests;
  std::vector<std::function<void()>> calls;
  MonotonicTime next_batch_at;
  {
    const RankedLock lock(this->mutex);
    ++this->counters.batches;
    std::vector<detail::DriverInput> batch = this->TakeInputs();
    const MonotonicTime now = this->clock.Now();
    for (detail::DriverInput& input : batch) {
      this->Handle(now, input);
    }
    this->ProposeDeferred(now);
    this->JoinOrFormGroup(now);
    if (this->replica) {
      this->RunReplica(now);
    }
    this->AnswerPendingReads();
    this->RecoverStorage(now);
    this->PublishStatus();
    this->ReportListsChanged();
    if (this->on_drained && this->pending.size() == 0 &&
        this->deferred_commands.empty()) {
      this->RunAfterUnlock(std::exchange(this->on_drained, nullptr));
    }
    if (!this->deferred_commands.empty() && this->pending.size() == 0) {
      this->RequestBatch();
    }
    next_batch_at = this->NextBatchTime();
    calls.swap(this->calls_after_unlock);
  }
  for (const std::function<void()>& call : calls) {
    call();
  }
  this->ArmTimer(next_batch_at);
  if (this->batch_requests.fetch_sub(handled_requests) > handled_requests) {
    this->ScheduleBatch();
  }
}

std::vector<detail::DriverInput> ControlDriver::Impl::TakeInputs() {
  std::vector<detail::DriverInput> batch;
  detail::DriverInput input;
  while (batch.size() < kMaxBatchInputs && this->inputs.try_pop(input)) {
    batch.push_back(std::move(input));
  }
  if (!this->inputs.empty()) {
    this->RequestBatch();
  }
  return batch;
}

void ControlDriver::Impl::RunReplica(MonotonicTime now) {
  if (now >= this->replica->NextTick()) {
    this->replica->Tick(now);
  }
  // Messages that do not depend on the pending writes are sent before the sync,
  // so that they do not wait for it.
  this->SendMessages();
  this->FlushReplica();
  this->SendMessages();
  this->ApplyCommitted();
  this->FailStaleTermEntries();
  this->CompactIfDue();
}

void ControlDriver::Impl::FlushReplica() {
  const std::uint64_t syncs = this->counters.storage.syncs;
  const MonotonicTime began_at = this->clock.Now();
  this->replica->Flush(began_at);
  if (this->counters.storage.syncs == syncs) {
    return;
  }
  const Duration duration = this->clock.Now() - began_at;
  this->replica->RecordSyncDuration(duration);
  this->LogIfSlowSync("log", duration);
}

void ControlDriver::Impl::LogIfSlowSync(std::string_view operation,
                                        Duration duration) {
  if (duration <= this->settings.replica.election_timeout) {
    return;
  }
  LogEvent(
      LogLevel::kWarning, "slow_sync",
      {{"disk", this->disk.value()},
       {"what", operation},
       {"ms", std::chrono::duration_cast<std::chrono::milliseconds>(duration)
                  .count()}});
}

void ControlDriver::Impl::ArmTimer(MonotonicTime next_batch_at) {
  const MonotonicTime now = this->clock.Now();
  const bool is_armed = this->timer_due > now;
  if ((is_armed && next_batch_at >= this->timer_due) || this->is_stopping) {
    return;
  }
  this->timer_due = next_batch_at;
  this->timer =
      this->pool.After(std::max(next_batch_at - now, Duration::zero()),
                       [weak = this->weak_from_this()] {
                         if (const auto self = weak.lock()) {
                           self->RequestBatch();
                         }
                       });
}

Result<std::unique_ptr<ControlDriver>> ControlDriver::Open(
    WorkerPool& pool,
    ControlTable& table,
    ControlDriverSettings settings,
    std::function<void()> on_lists_changed) {
  auto impl = std::make_shared<Impl>(pool, table, std::move(settings),
                                     std::move(on_lists_changed));
  BOOST_LEAF_CHECK(impl->Prepare());
  return std::unique_ptr<ControlDriver>(new ControlDriver(std::move(impl)));
}

ControlDriver::ControlDriver(std::shared_ptr<Impl> driver_impl)
    : impl(std::move(driver_impl)) {}

ControlDriver::~ControlDriver() {
  this->impl->is_stopping = true;
}

void ControlDriver::Start() {
  this->impl->RequestBatch();
}

void ControlDriver::OnPeerMessage(PeerMessage message) {
  ++this->impl->counters.peer_messages_received;
  this->impl->Post(std::move(message));
}

void ControlDriver::AddPeers(std::vector<Endpoint> peers) {
  this->impl->Post(detail::AddPeersInput{std::move(peers)});
}

void ControlDriver::OnHello(Hello hello,
                            std::function<void(HelloReply)> reply) {
  this->impl->Post(detail::HelloInput{std::move(hello), std::move(reply)});
}

void ControlDriver::Submit(const ControlCommand& command,
                           std::function<void(SubmitAnswer)> done) {
  auto refusal = CheckCommand(command);
  std::string payload = EncodeCommand(command);
  if (!refusal && payload.size() > kMaxCommandBytes) {
    refusal =
        Refusal{Execution::kDidNotRun,
                Reason::kTooLarge,
                fmt::format("a command of at most {} bytes", kMaxCommandBytes),
                {}};
  }
  if (refusal) {
    ++this->impl->counters.refused_did_not_run;
    done({*refusal, {}});
    return;
  }
  this->impl->Post(detail::CommandInput{std::move(payload), std::move(done)});
}

void ControlDriver::ChangeMembers(
    MembershipChange change,
    std::function<void(ChangeMembersAnswer)> done) {
  this->impl->Post(
      detail::ChangeMembersInput{std::move(change), std::move(done)});
}

void ControlDriver::ConfirmRead(std::function<void(ConfirmReadAnswer)> done) {
  this->impl->Post(detail::ConfirmReadInput{std::move(done)});
}

void ControlDriver::Broadcast(const ControlMessage& message) {
  const std::string body = EncodeControlMessage(message);
  for (const Member& member : this->impl->table.Status().membership.members) {
    if (member.address != this->impl->settings.address) {
      this->impl->links->Send(member.address, body);
    }
  }
}

void ControlDriver::SendToLeader(const ControlMessage& message) {
  const ControlStatus status = this->impl->table.Status();
  const Member* leader =
      status.leader ? status.membership.Find(*status.leader) : nullptr;
  if (leader != nullptr && leader->address != this->impl->settings.address) {
    this->impl->links->Send(leader->address, EncodeControlMessage(message));
  }
}

void ControlDriver::Drain(std::function<void()> on_drained) {
  this->impl->Post(detail::DrainInput{std::move(on_drained)});
}

const ControlCounters& ControlDriver::counters() const {
  return this->impl->counters;
}

}  // namespace marigold
