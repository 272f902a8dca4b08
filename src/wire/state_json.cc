#include "src/wire/state_json.h"

#include <boost/json.hpp>
#include <utility>

namespace marigold {

namespace json = boost::json;

namespace {

json::object ToJson(const ConnectionPoolCounts& counts) {
  return {
      {"connecting", counts.connecting},
      {"idle", counts.idle},
      {"busy", counts.busy},
      {"abandoned", counts.abandoned},
      {"waiting", counts.waiting},
  };
}

json::object ToJson(const ServerSummary& summary) {
  const ServerView& view = summary.view;
  json::object object{
      {"server", summary.record.server.value()},
      {"address", ToString(summary.record.endpoint)},
      {"service", summary.record.service.value()},
      {"data_centre", summary.record.data_centre.value()},
      {"state", ToString(view.state)},
      {"state_age_ms", ToMilliseconds(summary.state_age)},
      {"suspect", view.is_suspect},
      {"slots", view.slots},
      {"in_flight", view.in_flight},
      {"in_flight_limit", view.limit},
      {"reported_load", view.reported_load},
      {"report_age_ms", ToMilliseconds(view.report_age)},
      {"report_trust", view.report_trust.value()},
      {"latency_ms", ToMilliseconds(view.latency_estimate)},
      {"newest_snapshot", summary.newest_snapshot.value()},
      {"connections", ToJson(summary.connections)},
  };
  if (summary.last_failure) {
    object["last_failure"] = ToString(*summary.last_failure);
    object["last_failure_age_ms"] = ToMilliseconds(summary.last_failure_age);
  }
  return object;
}

json::object ToJson(const RequestNote& note) {
  return {
      {"request_id", note.request},
      {"customer", note.customer},
      {"service", note.service},
      {"verdict", note.verdict},
      {"reason", note.reason},
      {"detail", note.detail},
      {"age_ms", ToMilliseconds(note.age)},
  };
}

template <class T>
json::array ToArray(const std::vector<T>& items) {
  json::array array;
  for (const T& item : items) {
    array.push_back(ToJson(item));
  }
  return array;
}

}  // namespace

std::string EncodeEntryState(const EntryState& state) {
  return json::serialize(json::object{
      {"phase", state.phase},
      {"vm", state.vm.value()},
      {"requests_in_flight", state.requests_in_flight},
      {"open_actions", state.open_actions},
      {"caller_connections", state.caller_connections},
      {"admission", json::object{{"running", state.admission_running},
                                 {"waiting", state.admission_waiting}}},
      {"lists", json::object{{"known", state.are_lists_known},
                             {"index", state.lists_index.value()},
                             {"age_ms", ToMilliseconds(state.lists_age)},
                             {"confirmed_age_ms",
                              ToMilliseconds(state.lists_confirmed_age)}}},
      {"servers", ToArray(state.servers)},
      {"recent_refusals_and_gaps", ToArray(state.notes)},
  });
}

}  // namespace marigold
