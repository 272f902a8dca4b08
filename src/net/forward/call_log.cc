#include "src/net/forward/call_log.h"

#include <fmt/format.h>

#include <iterator>
#include <optional>

#include "src/core/log.h"

namespace marigold {

namespace {

constexpr std::size_t kMaxNamedFailures = 8;

}  // namespace

void CallLog::AddFailure(const ListedServer& server,
                         SendFailure failure,
                         Duration since_request_began) {
  this->Add(fmt::format("{}/{}", server.service.value(), server.server.value()),
            ToString(failure), since_request_began);
}

void CallLog::AddQueryFailure(const VmId& aggregator,
                              std::string_view failure,
                              Duration since_request_began) {
  this->Add(fmt::format("aggregator/{}", aggregator.value()), failure,
            since_request_began);
}

void CallLog::Add(std::string_view subject,
                  std::string_view failure,
                  Duration since_request_began) {
  if (++this->failure_count > kMaxNamedFailures) {
    return;
  }
  fmt::format_to(std::back_inserter(this->failure_texts), "{}{}:{}@{:.0f}ms",
                 this->failure_texts.empty() ? "" : ",", subject, failure,
                 ToMilliseconds(since_request_began));
}

void CallLog::Write(const CallSummary& summary) const {
  const ForwardDeadlines& times = summary.plan.deadlines;
  const std::optional<CustomerId>& customer = summary.plan.customer;
  LogEvent(
      LogLevel::kInfo, "request_finished",
      {{"request", summary.request},
       {"route", summary.plan.route.value()},
       {"customer", customer ? customer->value() : "none"},
       {"routes_version", summary.routes_version.value()},
       {"state", summary.state},
       {"targets", summary.plan.targets.size()},
       {"answered", summary.answered_targets},
       {"sends", summary.send_count},
       {"failures", this->failures()},
       {"congestion", ToString(summary.congestion)},
       {"took_ms", ToMilliseconds(summary.latency)},
       {"answer_by_ms", ToMilliseconds(times.answer_by - times.started_at)},
       {"limit_ms", ToMilliseconds(times.give_up_at - times.started_at)}});
}

}  // namespace marigold
