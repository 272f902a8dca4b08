#include "tools/standin/searcher.h"

#include <utility>
#include <variant>

#include "src/core/log.h"
#include "tools/standin/standin_json.h"

namespace marigold {

Searcher::Searcher(WorkerPool& worker_pool,
                   PlatformTable& platform_table,
                   ActionRecord& run_record,
                   SearcherPlace place,
                   SearcherBehaviour behaviour,
                   std::uint64_t seed)
    : pool(worker_pool),
      platform(platform_table),
      action_record(run_record),
      searcher_place(place),
      snapshot_delay(behaviour.snapshot_delay),
      core(std::move(place), behaviour, seed) {}

Result<void> Searcher::Start() {
  {
    const RankedLock lock(this->mutex);
    if (this->core.is_up()) {
      return {};
    }
    // The core starts first, because requests may arrive as soon as the address
    // is open.
    this->core.Start(this->clock.Now());
    this->frozen = false;
  }
  BOOST_LEAF_AUTO(opened,
                  TcpListener::Listen(this->pool, this->record().endpoint,
                                      [weak = this->weak_from_this()](
                                          std::shared_ptr<TcpStream> stream) {
                                        if (const auto self = weak.lock()) {
                                          self->OnAccept(std::move(stream));
                                        }
                                      }));
  const RankedLock lock(this->mutex);
  this->listener = std::move(opened);
  return {};
}

void Searcher::Kill() {
  std::unique_ptr<TcpListener> closed;
  std::map<SessionId, SessionPtr> dropped;
  std::unordered_map<WorkId, TimerHandle> stopped;
  {
    const RankedLock lock(this->mutex);
    this->core.Stop(this->clock.Now());
    closed.swap(this->listener);
    dropped.swap(this->sessions);
    stopped.swap(this->timers);
  }
  closed.reset();
  for (const auto& [id, session] : dropped) {
    session->Reset();
  }
}

void Searcher::SilenceConnections() {
  for (const SessionPtr& session : this->OpenSessions()) {
    session->Silence();
  }
}

void Searcher::Freeze() {
  {
    const RankedLock lock(this->mutex);
    this->frozen = true;
  }
  this->SilenceConnections();
}

void Searcher::Thaw() {
  const RankedLock lock(this->mutex);
  this->frozen = false;
}

void Searcher::ResetConnections() {
  for (const SessionPtr& session : this->OpenSessions()) {
    session->Reset();
  }
}

void Searcher::ChangeBehaviour(
    const std::function<void(SearcherBehaviour&)>& change) {
  const RankedLock lock(this->mutex);
  SearcherBehaviour behaviour = this->core.behaviour();
  change(behaviour);
  this->core.SetBehaviour(behaviour);
  this->snapshot_delay = behaviour.snapshot_delay;
}

void Searcher::OnShownAsLeaving() {
  const RankedLock lock(this->mutex);
  this->core.OnLeavingNotice(this->clock.Now());
}

void Searcher::OnLeavingCancelled() {
  const RankedLock lock(this->mutex);
  this->core.ClearLeavingNotice();
}

SearcherView Searcher::View() const {
  const RankedLock lock(this->mutex);
  return {this->core.place(),    this->core.behaviour(),
          this->core.counters(), this->sessions.size(),
          this->core.is_up(),    this->core.leaving_since()};
}

void Searcher::OnAccept(std::shared_ptr<TcpStream> stream) {
  auto session = std::make_shared<BackendSession>(this->pool, stream);
  SessionId id;
  bool over_limit = false;
  bool silent = false;
  {
    const RankedLock lock(this->mutex);
    id = this->last_connection = Next(this->last_connection);
    over_limit =
        !this->core.is_up() ||
        this->sessions.size() >= this->searcher_place.shape.connection_limit;
    if (!over_limit) {
      this->sessions.emplace(id, session);
    }
    this->core.CountOpenConnections(this->sessions.size(), over_limit);
    silent = this->frozen;
  }
  if (over_limit) {
    stream->Reset();
    return;
  }
  if (silent) {
    session->Silence();
  }
  session->Start(
      this->searcher_place.shape.connect_time,
      {[weak = this->weak_from_this(), id](const TextRequest& request) {
         if (const auto self = weak.lock()) {
           self->OnRequest(id, request);
         }
       },
       [weak = this->weak_from_this(), id] {
         if (const auto self = weak.lock()) {
           self->OnClosed(id);
         }
       }});
}

void Searcher::OnRequest(SessionId connection, const TextRequest& request) {
  if (request.path == "/v1/status") {
    this->OnStatus(connection);
    return;
  }
  if (request.path == "/v1/cancel") {
    this->OnCancel(connection, request);
    return;
  }
  auto decoded = DecodeWork(request.path, request.body);
  if (const auto* search = std::get_if<SubRequest>(&decoded)) {
    this->ApplyEvent(
        [&](MonotonicTime now, const SearcherCore::HeldSnapshots& held) {
          return this->core.OnSearch(now, connection, *search, held);
        });
  } else if (const auto* action = std::get_if<BackendAction>(&decoded)) {
    this->ApplyEvent(
        [&](MonotonicTime now, const SearcherCore::HeldSnapshots& held) {
          return this->core.OnAction(now, connection, *action, held);
        });
  } else {
    const auto& error = std::get<std::string>(decoded);
    LogEvent(LogLevel::kWarning, "request_invalid",
             {{"server", this->record().server.value()},
              {"path", request.path},
              {"error", error}});
    this->SendResponse(connection, 400, EncodeError(error));
  }
}

void Searcher::OnClosed(SessionId connection) {
  this->ApplyEvent(
      [&](MonotonicTime now, const SearcherCore::HeldSnapshots& /*held*/) {
        this->sessions.erase(connection);
        return this->core.OnConnectionClosed(now, connection);
      });
}

void Searcher::OnStatus(SessionId connection) {
  StatusReport report;
  const MonotonicTime now = this->clock.Now();
  const auto held = this->HeldSnapshots(now);
  {
    const RankedLock lock(this->mutex);
    report = this->core.OnStatus(now, held);
  }
  this->SendResponse(connection, 200,
                     EncodeStatus(this->record().server, report));
}

void Searcher::OnCancel(SessionId connection, const TextRequest& request) {
  const auto decoded =
      Capture<AttemptId>([&] { return DecodeCancel(request.body); });
  const auto* attempt = std::get_if<AttemptId>(&decoded);
  if (attempt == nullptr) {
    this->SendResponse(connection, 400, EncodeError("expected attempt_id"));
    return;
  }
  this->ApplyEvent(
      [&](MonotonicTime now, const SearcherCore::HeldSnapshots& /*held*/) {
        return this->core.OnCancel(now, *attempt);
      });
  this->SendResponse(connection, 200, "{}");
}

void Searcher::OnWorkDone(WorkId work) {
  this->ApplyEvent(
      [&](MonotonicTime now, const SearcherCore::HeldSnapshots& held) {
        this->timers.erase(work);
        return this->core.OnWorkDone(now, work, held);
      });
}

void Searcher::SendResponse(SessionId connection,
                            int status,
                            std::string body) {
  SessionPtr session;
  {
    const RankedLock lock(this->mutex);
    const auto position = this->sessions.find(connection);
    if (position == this->sessions.end()) {
      return;
    }
    session = position->second;
  }
  session->Respond(status, std::move(body), ReplyFault::kNone, {});
}

template <class Event>
void Searcher::ApplyEvent(Event event) {
  const MonotonicTime now = this->clock.Now();
  const auto held = this->HeldSnapshots(now);
  DeferredSteps deferred;
  {
    const RankedLock lock(this->mutex);
    this->ApplySteps(event(now, held), deferred);
  }
  for (const RunAction& action : deferred.actions) {
    this->RecordAndRun(action);
  }
  for (const Delivery& delivery : deferred.deliveries) {
    this->Deliver(delivery);
  }
}

void Searcher::ApplySteps(SearcherCore::Steps steps, DeferredSteps& deferred) {
  for (SearcherStep& step : steps) {
    if (const auto* run = std::get_if<RunWork>(&step)) {
      this->SetWorkTimer(run->work, run->duration);
    } else if (const auto* stop = std::get_if<StopWork>(&step)) {
      this->timers.erase(stop->work);
    } else if (auto* action = std::get_if<RunAction>(&step)) {
      deferred.actions.push_back(std::move(*action));
    } else {
      auto& reply = std::get<SendReply>(step);
      const auto session = this->sessions.find(reply.connection);
      if (session != this->sessions.end()) {
        deferred.deliveries.push_back({session->second, std::move(reply)});
      }
    }
  }
}

// Called under the lock, so that the timer is stored before its handler can
// look for it.
void Searcher::SetWorkTimer(WorkId work, Duration time) {
  this->timers[work] =
      this->pool.After(time, [weak = this->weak_from_this(), work] {
        if (const auto self = weak.lock()) {
          self->OnWorkDone(work);
        }
      });
}

void Searcher::RecordAndRun(const RunAction& action) {
  this->action_record.Add(
      {action.key, this->record().server, this->clock.WallNow()});
  const RankedLock lock(this->mutex);
  this->SetWorkTimer(action.work, action.duration);
}

void Searcher::Deliver(const Delivery& delivery) {
  auto [status, body] = EncodeReply(delivery.reply.body);
  delivery.session->Respond(status, std::move(body), delivery.reply.fault,
                            delivery.reply.delay);
}

std::vector<SnapshotLayout> Searcher::HeldSnapshots(MonotonicTime now) const {
  return this->platform.HeldSnapshots(now, this->record().service,
                                      this->snapshot_delay);
}

std::vector<Searcher::SessionPtr> Searcher::OpenSessions() const {
  const RankedLock lock(this->mutex);
  std::vector<SessionPtr> open;
  for (const auto& [id, session] : this->sessions) {
    open.push_back(session);
  }
  return open;
}

}  // namespace marigold
