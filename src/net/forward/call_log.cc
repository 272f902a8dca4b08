#include "src/net/forward/call_log.h"

#include <fmt/format.h>

#include <iterator>

#include "src/core/log.h"

namespace marigold {

namespace {

constexpr std::size_t kMostNamedFailures = 8;

}  // namespace

void CallLog::NoteFailure(const ListedServer& server,
                          SendFailure failure,
                          Duration after) {
  if (++this->count > kMostNamedFailures) {
    return;
  }
  fmt::format_to(std::back_inserter(this->failures), "{}{}/{}:{}@{:.0f}ms",
                 this->failures.empty() ? "" : ",", server.service.value(),
                 server.server.value(), ToString(failure),
                 ToMilliseconds(after));
}

void CallLog::Write(const CallSummary& summary) const {
  const ForwardDeadlines& times = summary.plan.deadlines;
  LogEvent(
      LogLevel::kInfo, "request_finished",
      {{"request", summary.request},
       {"route", summary.plan.route.value()},
       {"routes_version", summary.routes_version.value()},
       {"state", summary.state},
       {"targets", summary.plan.targets.size()},
       {"answered", summary.answered},
       {"sends", summary.sends},
       {"failures", this->count == 0 ? "none" : this->failures},
       {"took_ms", ToMilliseconds(summary.took)},
       {"answer_by_ms", ToMilliseconds(times.answer_by - times.started_at)},
       {"limit_ms", ToMilliseconds(times.give_up_at - times.started_at)}});
}

}  // namespace marigold
