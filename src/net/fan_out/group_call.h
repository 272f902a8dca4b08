#ifndef SRC_NET_FAN_OUT_GROUP_CALL_H_
#define SRC_NET_FAN_OUT_GROUP_CALL_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "src/core/log.h"
#include "src/net/forward/forward_run.h"
#include "src/policy/fan_out/group_progress.h"
#include "src/policy/record_merge.h"
#include "src/wire/fan_out_messages.h"

namespace marigold {

// A group of shards that this process queries, for another entry VM or for a
// request of its own. Reports until the final report or until it is cancelled.
// Used only on its strand.
template <ForwardMessageCodec MessageCodec>
class GroupCall : public std::enable_shared_from_this<GroupCall<MessageCodec>> {
 public:
  using ReportHandler = std::function<void(GroupReport)>;

  GroupCall(CallContext& call_context,
            GroupQuery group_query,
            ReportHandler report_handler)
      : context(call_context),
        query(std::move(group_query)),
        on_report(std::move(report_handler)),
        is_shard_failed(query.shards.size()),
        timer(call_context.strand) {}

  GroupCall(const GroupCall&) = delete;
  GroupCall& operator=(const GroupCall&) = delete;

  void Start() {
    const MonotonicTime now = this->Now();
    ForwardPlan plan = this->MakePlan(now);
    const AttemptTiming timing =
        this->context.backends.Access([&](BackendDirectory& directory) {
          return ComputeAttemptTiming(directory, plan.route, plan.deadlines,
                                      kGroupHedgeQuantile);
        });
    // The run itself goes on until the root gives up. Only the reports follow
    // the time at which the root wants to answer.
    plan.deadlines.answer_by = plan.deadlines.give_up_at;
    this->progress.emplace(now, timing, this->query.max_attempts,
                           this->query.is_repeated);
    RunHandlers handlers;
    handlers.on_answer = [weak = this->weak_from_this()](std::size_t target) {
      if (const auto self = weak.lock()) {
        self->progress->OnAnswer(static_cast<ShardPosition>(target));
      }
    };
    handlers.on_progress = [weak = this->weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->OnProgress();
      }
    };
    this->run = std::make_shared<ForwardRun<MessageCodec>>(
        this->context,
        EncodedRequest{this->query.request,
                       {std::move(this->query.request_prefix),
                        std::move(this->query.request_suffix)},
                       this->query.is_head},
        std::move(plan), std::move(handlers));
    this->UpdateTimer();
    this->run->Start();
  }

  // Ends the call without a further report. If `is_answered` is false, its
  // connections to servers close at once.
  void Cancel(bool is_answered) {
    if (!std::exchange(this->is_finished, true)) {
      this->LogFailures();
    }
    this->timer.Stop();
    this->run->Abandon(is_answered ? ForwardState::kAnswered
                                   : ForwardState::kFailed);
  }

 private:
  MonotonicTime Now() const { return this->context.strand->Now(); }

  ForwardPlan MakePlan(MonotonicTime now) const {
    ForwardPlan plan;
    plan.route = this->query.route;
    plan.is_fan_out = true;
    plan.minimum_coverage = 0;
    plan.is_idempotent = true;
    plan.max_attempts = this->query.max_attempts;
    plan.earns_retries = false;
    plan.deadlines.started_at = now;
    plan.deadlines.give_up_at = now + this->query.time_left;
    plan.deadlines.answer_by = now + this->query.answer_in;
    plan.excluded_servers.resize(this->query.shards.size());
    this->context.backends.Access([&](const BackendDirectory& directory) {
      for (std::size_t i = 0; i < this->query.shards.size(); ++i) {
        const QueriedShard& shard = this->query.shards[i];
        plan.targets.push_back(shard.service);
        const auto server = shard.excluded ? directory.FindServer(
                                                 shard.service, *shard.excluded)
                                           : std::nullopt;
        if (server) {
          plan.excluded_servers[i].push_back(*server);
        }
      }
    });
    return plan;
  }

  void UpdateTimer() {
    const MonotonicTime due_at = this->progress->NextDue();
    if (due_at == MonotonicTime::max()) {
      this->timer.Stop();
      return;
    }
    this->timer.Set(due_at, [weak = this->weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->OnProgress();
      }
    });
  }

  void OnProgress() {
    if (this->is_finished) {
      return;
    }
    const MonotonicTime now = this->Now();
    const bool is_final = this->run->state() != ForwardState::kRunning;
    this->CollectFailures(now, is_final);
    const bool are_answers_due = is_final || this->progress->AreAnswersDue(now);
    const bool are_failures_due =
        are_answers_due || this->progress->AreFailuresDue(now);
    if (are_failures_due) {
      GroupReport report;
      report.failed = this->progress->TakeFailures();
      if (are_answers_due) {
        if (!this->progress->ReportsAtOnce() && !is_final) {
          this->AddLateShards(report);
        }
        this->AddAnswers(report);
      }
      report.is_final = is_final;
      report.sends =
          static_cast<std::uint32_t>(this->run->progress().send_count());
      report.congestion = this->run->progress().congestion();
      this->Report(std::move(report));
    }
    if (!this->is_finished) {
      this->UpdateTimer();
    }
  }

  void Report(GroupReport report) {
    if (report.is_final) {
      this->is_finished = true;
      this->timer.Stop();
      this->LogFailures();
    }
    this->on_report(std::move(report));
  }

  // The root does not know why a send failed, so the cause is logged here. A
  // query without failures leaves no line, because there are many.
  void LogFailures() const {
    if (!this->run->failures().has_failures()) {
      return;
    }
    const auto& state = this->run->progress();
    LogEvent(LogLevel::kInfo, "group_query_failures",
             {{"request", this->query.request.value()},
              {"route", this->query.route.value()},
              {"targets", this->query.shards.size()},
              {"answered", state.answered_targets()},
              {"sends", state.send_count()},
              {"failures", this->run->failures().failures()}});
  }

  // Collects the shards that have become exhausted, and at the end all that
  // have not answered.
  void CollectFailures(MonotonicTime now, bool is_final) {
    const auto& state = this->run->progress();
    for (std::size_t i = 0; i < this->is_shard_failed.size(); ++i) {
      if (this->is_shard_failed[i] || state.IsAnswered(i) ||
          !(is_final || state.IsExhausted(i))) {
        continue;
      }
      this->is_shard_failed[i] = true;
      this->progress->OnFailure(
          now, {static_cast<ShardPosition>(i), state.PossibleRuns(i),
                state.WasDelivered(i)});
    }
  }

  void AddLateShards(GroupReport& report) {
    const auto& state = this->run->progress();
    for (std::size_t i = 0; i < this->is_shard_failed.size(); ++i) {
      const auto server = state.LastServer(i);
      if (state.IsAnswered(i) || this->is_shard_failed[i] || !server) {
        continue;
      }
      const BackendServerId id =
          this->context.backends.Access([&](const BackendDirectory& directory) {
            return directory.ListedServerAt(*server).server;
          });
      report.late.push_back({static_cast<ShardPosition>(i), id});
    }
  }

  // Adds all answers of the first report as one block. Later answers and those
  // of a repeated query are blocks of their own, because another query may have
  // answered the same shard.
  void AddAnswers(GroupReport& report) {
    const bool is_first = !this->progress->ReportsAtOnce();
    const std::vector<ShardPosition> answered = this->progress->TakeAnswers();
    if (is_first && !answered.empty()) {
      report.blocks.push_back(this->MakeBlock(answered));
    }
    for (const ShardPosition shard : answered) {
      if (!is_first) {
        report.blocks.push_back(this->MakeBlock({shard}));
      }
    }
  }

  PartBlock MakeBlock(const std::vector<ShardPosition>& shards) const {
    PartBlock block;
    std::vector<std::string_view> bodies;
    for (const ShardPosition shard : shards) {
      const BackendReply& reply = *this->run->reply(shard);
      block.parts.push_back(
          {shard, std::string(MessageCodec::ReadReply(reply).stamp)});
      bodies.emplace_back(reply.body());
    }
    block.records =
        MergeRecords(bodies, static_cast<std::size_t>(this->query.max_records));
    return block;
  }

  CallContext& context;
  GroupQuery query;
  ReportHandler on_report;
  // By shard: true if its failure has been reported.
  std::vector<bool> is_shard_failed;
  std::optional<GroupProgress> progress;
  std::shared_ptr<ForwardRun<MessageCodec>> run;
  StrandTimer timer;
  bool is_finished = false;
};

}  // namespace marigold

#endif  // SRC_NET_FAN_OUT_GROUP_CALL_H_
