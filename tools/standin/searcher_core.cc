#include "tools/standin/searcher_core.h"

#include <algorithm>
#include <utility>

namespace marigold {

namespace {

// A leaving server may still receive work for this long after a client first
// learned that it leaves.
constexpr Duration kLeavingGracePeriod = std::chrono::seconds(3);

AttemptId AttemptOf(const std::variant<SubRequest, BackendAction>& request) {
  return std::visit([](const auto& typed) { return typed.attempt; }, request);
}

Duration DeadlineOf(const std::variant<SubRequest, BackendAction>& request) {
  return std::visit([](const auto& typed) { return typed.deadline; }, request);
}

const SnapshotLayout* FindLayout(const std::vector<SnapshotLayout>& held,
                                 SnapshotId snapshot) {
  const auto found = std::find_if(held.begin(), held.end(),
                                  [snapshot](const SnapshotLayout& layout) {
                                    return layout.snapshot == snapshot;
                                  });
  return found == held.end() ? nullptr : &*found;
}

}  // namespace

AttemptId SearcherCore::Work::attempt() const {
  return AttemptOf(this->request);
}

SearcherCore::SearcherCore(SearcherPlace new_place,
                           const SearcherBehaviour& initial_behaviour,
                           std::uint64_t seed)
    : searcher_place(std::move(new_place)),
      current_behaviour(initial_behaviour),
      random(seed),
      queue(searcher_place.shape.slots, current_behaviour.queue_limit),
      history(searcher_place.shape.slots + current_behaviour.queue_limit) {}

void SearcherCore::Start(MonotonicTime now) {
  this->up = true;
  this->started = now;
  this->first_leaving_notice.reset();
  this->RecordLoad(now);
}

SearcherCore::Steps SearcherCore::Stop(MonotonicTime now) {
  Steps steps;
  for (const auto& [id, work] : this->work_by_id) {
    steps.emplace_back(StopWork{id});
  }
  this->work_by_id.clear();
  this->queue.Clear();
  this->up = false;
  this->RecordLoad(now);
  return steps;
}

SearcherCore::Steps SearcherCore::OnSearch(MonotonicTime now,
                                           SessionId connection,
                                           const SubRequest& request,
                                           const HeldSnapshots& held) {
  ++this->counts.searches;
  this->CountArrival(now, this->counts.late_work);
  return this->AcceptRequest(now, connection, request, held);
}

SearcherCore::Steps SearcherCore::OnAction(MonotonicTime now,
                                           SessionId connection,
                                           const BackendAction& action,
                                           const HeldSnapshots& held) {
  ++this->counts.actions;
  this->CountArrival(now, this->counts.late_work);
  return this->AcceptRequest(now, connection, action, held);
}

SearcherCore::Steps SearcherCore::OnWorkDone(MonotonicTime now,
                                             WorkId work,
                                             const HeldSnapshots& held) {
  Steps steps;
  const auto position = this->work_by_id.find(work);
  if (position == this->work_by_id.end()) {
    return steps;
  }
  const Work done = std::move(position->second);
  this->work_by_id.erase(position);
  this->queue.Remove(work);
  this->Reply(now, done, held, steps);
  this->StartQueuedWork(now, steps);
  this->RecordLoad(now);
  return steps;
}

SearcherCore::Steps SearcherCore::OnCancel(MonotonicTime now,
                                           AttemptId attempt) {
  ++this->counts.cancels;
  Steps steps;
  // Attempt ids are unique only within one entry process. If two requests have
  // the same id, the cancellation is ambiguous and neither is cancelled.
  std::vector<std::map<WorkId, Work>::iterator> found;
  for (auto item = this->work_by_id.begin(); item != this->work_by_id.end();
       ++item) {
    if (item->second.attempt() == attempt) {
      found.push_back(item);
    }
  }
  if (found.size() == 1) {
    this->AbandonWork(now, found.front(), true, steps);
    this->StartQueuedWork(now, steps);
  }
  return steps;
}

SearcherCore::Steps SearcherCore::OnConnectionClosed(MonotonicTime now,
                                                     SessionId connection) {
  Steps steps;
  for (auto item = this->work_by_id.begin(); item != this->work_by_id.end();) {
    const auto next = std::next(item);
    if (item->second.connection == connection) {
      this->AbandonWork(now, item, false, steps);
    }
    item = next;
  }
  this->StartQueuedWork(now, steps);
  return steps;
}

StatusReport SearcherCore::OnStatus(MonotonicTime now,
                                    const HeldSnapshots& held) {
  ++this->counts.statuses;
  this->CountArrival(now, this->counts.late_statuses);
  if (this->current_behaviour.draining) {
    this->OnLeavingNotice(now);
  }
  StatusReport report;
  report.load = this->Report(now, held);
  report.slots = this->place().shape.slots;
  report.connection_limit = this->place().shape.connection_limit;
  for (const SnapshotLayout& layout : held) {
    ManifestReport manifest;
    manifest.snapshot = layout.snapshot;
    manifest.all_shards = ShardsOfInstance(0, 1, layout.shards);
    manifest.shards = ShardsOfInstance(
        this->place().instance, this->place().shape.instances, layout.shards);
    report.snapshots.push_back(std::move(manifest));
  }
  return report;
}

void SearcherCore::OnLeavingNotice(MonotonicTime now) {
  if (!this->first_leaving_notice) {
    this->first_leaving_notice = now;
  }
}

void SearcherCore::SetBehaviour(const SearcherBehaviour& new_behaviour) {
  if (this->current_behaviour.draining && !new_behaviour.draining) {
    this->first_leaving_notice.reset();
  }
  this->current_behaviour = new_behaviour;
}

void SearcherCore::CountOpenConnections(std::size_t open, bool refused) {
  if (refused) {
    ++this->counts.connections_over_limit;
    return;
  }
  ++this->counts.connections;
  this->counts.most_open_connections =
      std::max<std::uint64_t>(this->counts.most_open_connections, open);
}

SearcherCore::Steps SearcherCore::AcceptRequest(MonotonicTime now,
                                                SessionId connection,
                                                Request request,
                                                const HeldSnapshots& held) {
  Steps steps;
  const AttemptId attempt = AttemptOf(request);
  if (const auto failure = this->FindRefusal(now, request, held)) {
    this->Refuse(connection, attempt, *failure, steps);
    if (*failure == AttemptFailure::kDraining) {
      this->OnLeavingNotice(now);
    }
    return steps;
  }
  const WorkId id = Next(this->last_work);
  const WorkQueue::Placement placement = this->queue.Offer(id);
  if (placement == WorkQueue::Placement::kRefused) {
    this->Refuse(connection, attempt, AttemptFailure::kShed, steps);
    return steps;
  }
  this->last_work = id;
  const MonotonicTime deadline = now + DeadlineOf(request);
  Work work{connection, std::move(request), deadline, {}, 0};
  if (const auto* search = std::get_if<SubRequest>(&work.request)) {
    work.layout = *FindLayout(held, search->snapshot);
  }
  this->work_by_id.emplace(id, std::move(work));
  if (placement == WorkQueue::Placement::kRunning) {
    this->StartWork(now, id, steps);
  }
  this->RecordLoad(now);
  return steps;
}

std::optional<AttemptFailure> SearcherCore::FindRefusal(
    MonotonicTime now,
    const Request& request,
    const HeldSnapshots& held) {
  const bool is_shed =
      this->random.NextDouble() < this->current_behaviour.shed_share.value();
  if (now - this->started < this->current_behaviour.start_time) {
    return AttemptFailure::kStarting;
  }
  if (this->current_behaviour.draining) {
    return AttemptFailure::kDraining;
  }
  if (const auto* search = std::get_if<SubRequest>(&request)) {
    const SnapshotLayout* layout = FindLayout(held, search->snapshot);
    if (layout == nullptr) {
      return AttemptFailure::kUnknownSnapshot;
    }
    if (!this->HoldsShard(*layout, search->shard)) {
      return AttemptFailure::kUnknownShard;
    }
  }
  if (is_shed) {
    return AttemptFailure::kShed;
  }
  return std::nullopt;
}

bool SearcherCore::HoldsShard(const SnapshotLayout& layout,
                              ShardId shard) const {
  return shard.value() < layout.shards &&
         shard.value() % this->place().shape.instances ==
             this->place().instance;
}

// Starts work that has a slot. A search runs for its service time or until its
// deadline, an action for the action time.
void SearcherCore::StartWork(MonotonicTime now, WorkId work, Steps& steps) {
  Work& started_work = this->work_by_id.at(work);
  if (const auto* action = std::get_if<BackendAction>(&started_work.request)) {
    started_work.execution_number = ++this->counts.actions_run;
    steps.emplace_back(
        RunAction{work, action->key, this->current_behaviour.action_time});
    return;
  }
  const Duration time = this->current_behaviour.added_delay +
                        DrawServiceTime(this->current_behaviour.service_time,
                                        now - this->started, this->random);
  steps.emplace_back(
      RunWork{work, std::min(time, started_work.deadline - now)});
}

void SearcherCore::StartQueuedWork(MonotonicTime now, Steps& steps) {
  while (const auto next = this->queue.StartNext()) {
    const Work& work = this->work_by_id.at(*next);
    if (now < work.deadline) {
      this->StartWork(now, *next, steps);
      continue;
    }
    ++this->counts.expired;
    this->Refuse(work.connection, work.attempt(), AttemptFailure::kShed, steps);
    this->work_by_id.erase(*next);
    this->queue.Remove(*next);
  }
  this->RecordLoad(now);
}

void SearcherCore::Refuse(SessionId connection,
                          AttemptId attempt,
                          AttemptFailure failure,
                          Steps& steps) {
  ++this->counts.refusals;
  AddReply(connection, SubRefusal{attempt, failure}, steps);
}

// A running action continues, because its effect can't be undone.
void SearcherCore::AbandonWork(MonotonicTime now,
                               std::map<WorkId, Work>::iterator position,
                               bool send_reply,
                               Steps& steps) {
  const auto& [id, work] = *position;
  const bool is_running = this->queue.IsRunning(id);
  if (is_running && std::holds_alternative<BackendAction>(work.request)) {
    return;
  }
  ++this->counts.stopped;
  if (is_running) {
    steps.emplace_back(StopWork{id});
  }
  if (send_reply) {
    AddReply(work.connection, WorkStopped{work.attempt(), "cancelled"}, steps);
  }
  this->queue.Remove(id);
  this->work_by_id.erase(position);
  this->RecordLoad(now);
}

void SearcherCore::RecordLoad(MonotonicTime now) {
  this->history.Record(now, this->queue.load(),
                       this->current_behaviour.report.lag);
}

void SearcherCore::CountArrival(MonotonicTime now, std::uint64_t& late) {
  if (this->first_leaving_notice &&
      now - *this->first_leaving_notice > kLeavingGracePeriod) {
    ++late;
  }
}

}  // namespace marigold
