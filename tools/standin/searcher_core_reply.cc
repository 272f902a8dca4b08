#include <fmt/format.h>

#include <utility>

#include "tools/standin/match_content.h"
#include "tools/standin/searcher_core.h"

namespace marigold {

void SearcherCore::AddReply(SessionId connection,
                            ReplyBody body,
                            Steps& steps,
                            ReplyFault fault,
                            Duration delay) {
  SendReply reply{connection, std::move(body), fault, delay};
  steps.emplace_back(std::move(reply));
}

void SearcherCore::Reply(MonotonicTime now,
                         const Work& work,
                         const HeldSnapshots& held,
                         Steps& steps) {
  const bool is_search = std::holds_alternative<SubRequest>(work.request);
  if (is_search && now >= work.deadline) {
    ++this->counts.expired;
    AddReply(work.connection, WorkStopped{work.attempt(), "deadline"}, steps);
    return;
  }
  ++this->counts.replies;
  const ReplyFault fault =
      DrawReplyFault(this->current_behaviour.faults, this->random);
  ++this->counts.faults[static_cast<std::size_t>(fault)];
  const Duration delay = fault == ReplyFault::kLate
                             ? this->current_behaviour.faults.late_by
                             : Duration::zero();
  AddReply(work.connection, this->MakeReply(now, work, fault, held), steps,
           fault, delay);
  this->last_attempt = work.attempt();
}

ReplyBody SearcherCore::MakeReply(MonotonicTime now,
                                  const Work& work,
                                  ReplyFault fault,
                                  const HeldSnapshots& held) const {
  AttemptId attempt = work.attempt();
  if (fault == ReplyFault::kForeign) {
    attempt =
        this->last_attempt == attempt ? Next(attempt) : this->last_attempt;
  }
  const LoadReport load = this->Report(now, held);
  if (const auto* action = std::get_if<BackendAction>(&work.request)) {
    return BackendActionReply{
        attempt,
        fmt::format("receipt {} {} {}", this->place().record.server.value(),
                    work.execution_number, action->key.value()),
        load};
  }
  const auto& search = std::get<SubRequest>(work.request);
  SubResponse response;
  response.reply = {attempt, search.snapshot, search.shard, {}};
  response.reply.matches = MatchesFor(this->place().record.service,
                                      search.query, work.layout, search.shard);
  response.load = load;
  return response;
}

LoadReport SearcherCore::Report(MonotonicTime now,
                                const HeldSnapshots& held) const {
  LoadReport report;
  report.state = ServerState::kServing;
  if (this->current_behaviour.draining) {
    report.state = ServerState::kDraining;
  } else if (now - this->started < this->current_behaviour.start_time) {
    report.state = ServerState::kStarting;
  }
  report.load = this->history.Report(now, this->current_behaviour.report);
  report.newest_snapshot = held.back().snapshot;
  return report;
}

}  // namespace marigold
