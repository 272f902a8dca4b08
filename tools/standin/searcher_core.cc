#include "tools/standin/searcher_core.h"

#include <algorithm>
#include <utility>

namespace marigold {

namespace {

// A leaving server may get work for this long after the first sign.
constexpr Duration kLeavingBound = std::chrono::seconds(3);

AttemptId AttemptOf(const std::variant<SubRequest, BackendAction>& request) {
  return std::visit([](const auto& typed) { return typed.attempt; }, request);
}

Duration DeadlineOf(const std::variant<SubRequest, BackendAction>& request) {
  return std::visit([](const auto& typed) { return typed.deadline; }, request);
}

const SnapshotCut* FindCut(const std::vector<SnapshotCut>& held,
                           SnapshotId snapshot) {
  const auto found = std::find_if(
      held.begin(), held.end(),
      [snapshot](const SnapshotCut& cut) { return cut.snapshot == snapshot; });
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
      current(initial_behaviour),
      random(seed),
      queue(searcher_place.shape.slots, current.queue_limit),
      history(searcher_place.shape.slots + current.queue_limit) {}

void SearcherCore::Start(MonotonicTime now) {
  this->up = true;
  this->started = now;
  this->sign.reset();
  this->NoteLoad(now);
}

SearcherCore::Steps SearcherCore::Stop(MonotonicTime now) {
  Steps steps;
  for (const auto& [id, work] : this->works) {
    steps.emplace_back(StopWork{id});
  }
  this->works.clear();
  this->queue.Clear();
  this->up = false;
  this->NoteLoad(now);
  return steps;
}

SearcherCore::Steps SearcherCore::OnSearch(MonotonicTime now,
                                           SessionId connection,
                                           const SubRequest& request,
                                           const Held& held) {
  ++this->counts.searches;
  this->CountArrival(now, this->counts.late_work);
  return this->Take(now, connection, request, held);
}

SearcherCore::Steps SearcherCore::OnAction(MonotonicTime now,
                                           SessionId connection,
                                           const BackendAction& action,
                                           const Held& held) {
  ++this->counts.actions;
  this->CountArrival(now, this->counts.late_work);
  return this->Take(now, connection, action, held);
}

SearcherCore::Steps SearcherCore::OnWorkDone(MonotonicTime now,
                                             WorkId work,
                                             const Held& held) {
  Steps steps;
  const auto position = this->works.find(work);
  if (position == this->works.end()) {
    return steps;
  }
  const Work done = std::move(position->second);
  this->works.erase(position);
  this->queue.Remove(work);
  this->Reply(now, done, held, steps);
  this->BeginQueued(now, steps);
  this->NoteLoad(now);
  return steps;
}

SearcherCore::Steps SearcherCore::OnCancel(MonotonicTime now,
                                           AttemptId attempt) {
  ++this->counts.cancels;
  Steps steps;
  // Attempt ids are unique only within one entry process, so an id that two
  // requests have is not enough to cancel either.
  std::vector<std::map<WorkId, Work>::iterator> found;
  for (auto item = this->works.begin(); item != this->works.end(); ++item) {
    if (item->second.attempt() == attempt) {
      found.push_back(item);
    }
  }
  if (found.size() == 1) {
    this->StopEarly(now, found.front(), true, steps);
    this->BeginQueued(now, steps);
  }
  return steps;
}

SearcherCore::Steps SearcherCore::OnConnectionClosed(MonotonicTime now,
                                                     SessionId connection) {
  Steps steps;
  for (auto item = this->works.begin(); item != this->works.end();) {
    const auto next = std::next(item);
    if (item->second.connection == connection) {
      this->StopEarly(now, item, false, steps);
    }
    item = next;
  }
  this->BeginQueued(now, steps);
  return steps;
}

StatusReport SearcherCore::OnStatus(MonotonicTime now, const Held& held) {
  ++this->counts.statuses;
  this->CountArrival(now, this->counts.late_statuses);
  if (this->current.draining) {
    this->OnLeavingSign(now);
  }
  StatusReport report;
  report.load = this->Report(now, held);
  report.slots = this->place().shape.slots;
  report.connection_limit = this->place().shape.connection_limit;
  for (const SnapshotCut& cut : held) {
    ManifestReport manifest;
    manifest.snapshot = cut.snapshot;
    manifest.all_shards = ShardsOfInstance(0, 1, cut.shards);
    manifest.shards = ShardsOfInstance(
        this->place().instance, this->place().shape.instances, cut.shards);
    report.snapshots.push_back(std::move(manifest));
  }
  return report;
}

void SearcherCore::OnLeavingSign(MonotonicTime now) {
  if (!this->sign) {
    this->sign = now;
  }
}

void SearcherCore::SetBehaviour(const SearcherBehaviour& new_behaviour) {
  if (this->current.draining && !new_behaviour.draining) {
    this->sign.reset();
  }
  this->current = new_behaviour;
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

SearcherCore::Steps SearcherCore::Take(MonotonicTime now,
                                       SessionId connection,
                                       Request request,
                                       const Held& held) {
  Steps steps;
  const AttemptId attempt = AttemptOf(request);
  if (const auto failure = this->WhyRefuse(now, request, held)) {
    this->Refuse(connection, attempt, *failure, steps);
    if (*failure == AttemptFailure::kDraining) {
      this->OnLeavingSign(now);
    }
    return steps;
  }
  const WorkId id = Next(this->last_work);
  const WorkQueue::Place taken = this->queue.Offer(id);
  if (taken == WorkQueue::Place::kRefused) {
    this->Refuse(connection, attempt, AttemptFailure::kShed, steps);
    return steps;
  }
  this->last_work = id;
  const MonotonicTime deadline = now + DeadlineOf(request);
  Work work{connection, std::move(request), deadline, {}, 0};
  if (const auto* search = std::get_if<SubRequest>(&work.request)) {
    work.cut = *FindCut(held, search->snapshot);
  }
  this->works.emplace(id, std::move(work));
  if (taken == WorkQueue::Place::kRunning) {
    this->Begin(now, id, steps);
  }
  this->NoteLoad(now);
  return steps;
}

std::optional<AttemptFailure> SearcherCore::WhyRefuse(MonotonicTime now,
                                                      const Request& request,
                                                      const Held& held) {
  const bool is_shed =
      this->random.NextDouble() < this->current.shed_share.value();
  if (now - this->started < this->current.start_time) {
    return AttemptFailure::kStarting;
  }
  if (this->current.draining) {
    return AttemptFailure::kDraining;
  }
  if (const auto* search = std::get_if<SubRequest>(&request)) {
    const SnapshotCut* cut = FindCut(held, search->snapshot);
    if (cut == nullptr) {
      return AttemptFailure::kUnknownSnapshot;
    }
    if (!this->Carries(*cut, search->shard)) {
      return AttemptFailure::kUnknownShard;
    }
  }
  if (is_shed) {
    return AttemptFailure::kShed;
  }
  return std::nullopt;
}

bool SearcherCore::Carries(const SnapshotCut& cut, ShardId shard) const {
  return shard.value() < cut.shards &&
         shard.value() % this->place().shape.instances ==
             this->place().instance;
}

// Runs work until it is done or its deadline passes.
void SearcherCore::Begin(MonotonicTime now, WorkId work, Steps& steps) {
  Work& begun = this->works.at(work);
  if (const auto* action = std::get_if<BackendAction>(&begun.request)) {
    begun.run = ++this->counts.actions_run;
    steps.emplace_back(RunAction{work, action->key, this->current.action_time});
    return;
  }
  const Duration time = this->current.added_delay +
                        DrawServiceTime(this->current.service_time,
                                        now - this->started, this->random);
  steps.emplace_back(RunWork{work, std::min(time, begun.deadline - now)});
}

void SearcherCore::BeginQueued(MonotonicTime now, Steps& steps) {
  while (const auto next = this->queue.StartNext()) {
    const Work& work = this->works.at(*next);
    if (now < work.deadline) {
      this->Begin(now, *next, steps);
      continue;
    }
    ++this->counts.expired;
    this->Refuse(work.connection, work.attempt(), AttemptFailure::kShed, steps);
    this->works.erase(*next);
    this->queue.Remove(*next);
  }
  this->NoteLoad(now);
}

void SearcherCore::Refuse(SessionId connection,
                          AttemptId attempt,
                          AttemptFailure failure,
                          Steps& steps) {
  ++this->counts.refusals;
  AddReply(connection, SubRefusal{attempt, failure}, steps);
}

// An action that runs goes on: its effect can't be taken back.
void SearcherCore::StopEarly(MonotonicTime now,
                             std::map<WorkId, Work>::iterator position,
                             bool reply,
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
  if (reply) {
    AddReply(work.connection, WorkStopped{work.attempt(), "cancelled"}, steps);
  }
  this->queue.Remove(id);
  this->works.erase(position);
  this->NoteLoad(now);
}

void SearcherCore::NoteLoad(MonotonicTime now) {
  this->history.Note(now, this->queue.load(), this->current.report.lag);
}

void SearcherCore::CountArrival(MonotonicTime now, std::uint64_t& late) {
  if (this->sign && now - *this->sign > kLeavingBound) {
    ++late;
  }
}

}  // namespace marigold
