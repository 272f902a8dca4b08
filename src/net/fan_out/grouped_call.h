#ifndef SRC_NET_FAN_OUT_GROUPED_CALL_H_
#define SRC_NET_FAN_OUT_GROUPED_CALL_H_

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "src/core/invariant.h"
#include "src/net/fan_out/aggregator_links.h"
#include "src/net/fan_out/group_call.h"
#include "src/net/forward/call_end.h"
#include "src/policy/fan_out/grouped_search.h"
#include "src/tables/aggregator_table.h"

namespace marigold {

// The objects that the fan-outs of one strand share.
struct FanOutContext {
  AggregatorTable& aggregators;
  std::shared_ptr<AggregatorLinks> links;
};

// One request of a caller that is answered with the help of aggregators. Used
// only on its strand.
template <ForwardMessageCodec MessageCodec>
class GroupedCall
    : public std::enable_shared_from_this<GroupedCall<MessageCodec>> {
 public:
  GroupedCall(CallContext& call_context,
              FanOutContext& fan_out_context,
              CallerSide caller_side,
              EncodedRequest encoded_request,
              ForwardPlan plan,
              std::size_t top_records)
      : context(call_context),
        fan_out(fan_out_context),
        caller(std::move(caller_side)),
        encoded(std::move(encoded_request)),
        max_records(top_records),
        search(std::move(plan),
               call_context.backends,
               fan_out_context.aggregators),
        timer(call_context.strand) {}

  void Start() { this->RunSteps(this->search.Start(this->Now())); }

  // Answers the caller at `end` at the latest.
  void EndBy(MonotonicTime end) {
    this->RunSteps(this->search.EndBy(this->Now(), end));
  }

  // Called when the caller has closed its connection. Nothing is answered, and
  // the work of the aggregators is cancelled.
  void OnCallerDisconnected() {
    this->caller.is_disconnected = true;
    this->RunSteps(this->search.Abandon());
  }

 private:
  using Search = GroupedSearch<BackendTable, AggregatorTable>;
  using LocalCall = std::shared_ptr<GroupCall<MessageCodec>>;
  using RunningQuery = std::variant<AggregatorLinks::Ticket, LocalCall>;

  // A query and its last report each take about this long on their way. The
  // aggregator has that much less time than the root.
  static constexpr Duration kTransitTime = std::chrono::milliseconds(2);

  MonotonicTime Now() const { return this->context.strand->Now(); }

  void RunSteps(const typename Search::Steps& steps) {
    const auto self = this->shared_from_this();
    for (const GroupedStep& step : steps) {
      std::visit([this](const auto& typed) { this->RunStep(typed); }, step);
    }
    if (this->search.state() != ForwardState::kRunning && !this->is_finished) {
      this->Finish();
    }
  }

  void RunStep(const SetForwardTimer& step) {
    this->timer.Set(step.at, [weak = this->weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->RunSteps(self->search.OnTimer(self->Now()));
      }
    });
  }

  // Records a query that was not answered in time or whose link was lost.
  void LogQueryFailure(AggregatorIndex aggregator, std::string_view failure) {
    this->context.metrics.OnGroupQuery(failure);
    const VmId vm =
        this->fan_out.aggregators.Access([&](AggregatorDirectory& directory) {
          return directory.At(aggregator).vm;
        });
    this->call_log.AddQueryFailure(
        vm, failure,
        this->Now() - this->search.request_plan().deadlines.started_at);
  }

  void RunStep(const StartQuery& step) {
    this->running.resize(
        std::max<std::size_t>(this->running.size(), step.query.value() + 1));
    this->context.metrics.OnGroupQuery(step.aggregator ? "sent" : "run_here");
    if (step.aggregator) {
      this->BeginRemote(step);
    } else {
      this->BeginLocal(step);
    }
  }

  void RunStep(const CancelQuery& step) {
    auto& query = this->running[step.query.value()];
    if (!query) {
      return;
    }
    if (const auto* ticket = std::get_if<AggregatorLinks::Ticket>(&*query)) {
      if (step.is_silent) {
        this->LogQueryFailure(*step.aggregator, "silent");
      }
      this->fan_out.links->Cancel(*ticket, step.is_answered);
    } else {
      std::get<LocalCall>(*query)->Cancel(step.is_answered);
    }
    query.reset();
  }

  void BeginRemote(const StartQuery& step) {
    const Endpoint endpoint =
        this->fan_out.aggregators.Access([&](AggregatorDirectory& directory) {
          return directory.At(*step.aggregator).endpoint;
        });
    GroupQueryHandlers handlers;
    handlers.on_report = this->MakeReportHandler(step.query);
    handlers.on_lost = [weak = this->weak_from_this(), query = step.query,
                        aggregator = *step.aggregator](QueryLoss loss) {
      if (const auto self = weak.lock()) {
        self->LogQueryFailure(aggregator, loss == QueryLoss::kNotDelivered
                                              ? "not_delivered"
                                              : "lost");
        self->running[query.value()].reset();
        self->RunSteps(self->search.OnLost(self->Now(), query, loss));
      }
    };
    this->running[step.query.value()] = this->fan_out.links->Begin(
        endpoint, this->MakeQuery(step, kTransitTime), std::move(handlers));
  }

  void BeginLocal(const StartQuery& step) {
    auto call = std::make_shared<GroupCall<MessageCodec>>(
        this->context, this->MakeQuery(step, Duration::zero()),
        // Posted, because the call may report while a step is carried out.
        [strand = this->context.strand,
         handler = this->MakeReportHandler(step.query)](GroupReport report) {
          strand->Post([handler, report = std::move(report)]() mutable {
            handler(std::move(report));
          });
        });
    this->running[step.query.value()] = call;
    call->Start();
  }

  std::function<void(GroupReport)> MakeReportHandler(QueryIndex query) {
    return [weak = this->weak_from_this(), query](GroupReport report) {
      if (const auto self = weak.lock()) {
        if (report.is_final) {
          self->running[query.value()].reset();
        }
        self->RunSteps(
            self->search.OnReport(self->Now(), query, std::move(report)));
      }
    };
  }

  GroupQuery MakeQuery(const StartQuery& step, Duration transit_time) const {
    const ForwardPlan& plan = this->search.request_plan();
    const MonotonicTime now = this->Now();
    GroupQuery query;
    query.request = this->encoded.request;
    query.route = plan.route;
    query.request_prefix = this->encoded.send_template.prefix;
    query.request_suffix = this->encoded.send_template.suffix;
    if (const auto& body = this->encoded.send_template.body) {
      query.request_suffix += *body;
    }
    query.is_head = this->encoded.is_head;
    query.is_repeated = step.is_repeated;
    query.max_attempts = step.max_attempts;
    query.time_left = std::max(plan.deadlines.give_up_at - now - transit_time,
                               Duration(std::chrono::milliseconds(1)));
    query.answer_in = std::max(
        plan.deadlines.answer_by - now - 2 * transit_time, Duration::zero());
    query.max_records = this->max_records;
    for (std::size_t i = 0; i < step.shards.size(); ++i) {
      query.shards.push_back({plan.targets[step.shards[i]], step.excluded[i]});
    }
    return query;
  }

  void Finish() {
    this->is_finished = true;
    this->timer.Stop();
    const ForwardPlan& plan = this->search.request_plan();
    const ForwardState state = this->search.state();
    CallSummary summary{
        {},
        plan,
        {},
        {},
        this->search.parts().answered_count(),
        this->search.send_count(),
        this->Now() - plan.deadlines.started_at,
        DecideCongestion(this->search.congestion(), plan.targets.size())};
    FinishCall(this->context.metrics, this->caller, this->call_log, summary,
               state, [this, state](bool closes_connection) {
                 return state == ForwardState::kAnswered
                            ? this->EncodeMergedAnswer(closes_connection)
                            : this->EncodeFailedAnswer(state,
                                                       closes_connection);
               });
  }

  std::string EncodeFailedAnswer(ForwardState state, bool closes_connection) {
    return EncodeFailure<MessageCodec>(
        state,
        [this] {
          return CurrentRetryDelay(this->context, this->search.request_plan());
        },
        closes_connection);
  }

  std::string EncodeMergedAnswer(bool closes_connection) {
    const PartSet& parts = this->search.parts();
    std::vector<std::string_view> stamps = parts.Stamps();
    std::sort(stamps.begin(), stamps.end());
    CheckInvariant(
        Invariant::kTrueCoverage,
        std::adjacent_find(stamps.begin(), stamps.end()) == stamps.end() &&
            stamps.size() == parts.answered_count(),
        "an answer names each of its parts once");
    if (parts.answered_count() < parts.shard_count()) {
      this->context.metrics.OnPartialAnswer();
    }
    const std::string body = parts.MergeRecords(this->max_records);
    return MessageCodec::WriteMerged(
        {stamps, parts.shard_count() - parts.answered_count(), body},
        closes_connection);
  }

  CallContext& context;
  FanOutContext& fan_out;
  CallerSide caller;
  EncodedRequest encoded;
  std::size_t max_records;
  Search search;
  // By query; empty once a query has ended.
  std::vector<std::optional<RunningQuery>> running;
  CallLog call_log;
  StrandTimer timer;
  bool is_finished = false;
};

}  // namespace marigold

#endif  // SRC_NET_FAN_OUT_GROUPED_CALL_H_
