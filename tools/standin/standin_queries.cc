#include "tools/standin/standin_queries.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <utility>

#include "tools/standin/standin_json.h"

namespace marigold {

namespace json = boost::json;

namespace {

struct CounterRow {
  std::string_view name;
  std::uint64_t SearcherCounters::*field;
};

constexpr auto kCounterRows = std::to_array<CounterRow>({
    {"searches", &SearcherCounters::searches},
    {"actions", &SearcherCounters::actions},
    {"statuses", &SearcherCounters::statuses},
    {"cancels", &SearcherCounters::cancels},
    {"replies", &SearcherCounters::replies},
    {"refusals", &SearcherCounters::refusals},
    {"stopped", &SearcherCounters::stopped},
    {"expired", &SearcherCounters::expired},
    {"actions_run", &SearcherCounters::actions_run},
    {"connections", &SearcherCounters::connections},
    {"connections_over_limit", &SearcherCounters::connections_over_limit},
    {"late_work", &SearcherCounters::late_work},
    {"late_statuses", &SearcherCounters::late_statuses},
});

void AddCounters(const SearcherCounters& counters, json::object& object) {
  for (const CounterRow& row : kCounterRows) {
    json::value& sum = object[row.name];
    sum = (sum.is_null() ? 0 : sum.to_number<std::uint64_t>()) +
          counters.*row.field;
  }
  // This counter is the maximum of all servers, because the connection limit
  // applies to each server and a sum would hide a violation.
  json::value& most = object["most_open_connections"];
  most = std::max(most.is_null() ? 0 : most.to_number<std::uint64_t>(),
                  counters.most_open_connections);
}

json::object EncodeServer(MonotonicTime now, const SearcherView& view) {
  json::object object{
      {"server", view.place.record.server.value()},
      {"endpoint", ToString(view.place.record.endpoint)},
      {"service", view.place.record.service.value()},
      {"data_centre", view.place.record.data_centre.value()},
      {"instance", view.place.instance},
      {"up", view.is_up},
      {"draining", view.behaviour.draining},
      {"open_connections", view.open_connections},
  };
  if (view.leaving_since) {
    object["leaving_for_ms"] = (now - *view.leaving_since).count() / 1000;
  }
  AddCounters(view.counters, object);
  return object;
}

}  // namespace

PlatformVmList ReadVms(MonotonicTime now, const StandinSystem& system) {
  return system.platform->ListAt(now);
}

std::string ReadActions(const StandinSystem& system) {
  return EncodeActions(system.record->Executions());
}

std::string ReadServers(MonotonicTime now, const StandinSystem& system) {
  json::array servers;
  for (const auto& searcher : system.searchers) {
    servers.push_back(EncodeServer(now, searcher->View()));
  }
  return json::serialize(json::object{{"servers", std::move(servers)}});
}

std::string ReadCounters(const StandinSystem& system) {
  json::object all;
  json::object services;
  for (const auto& searcher : system.searchers) {
    const SearcherView view = searcher->View();
    AddCounters(view.counters, all);
    json::value& service = services[view.place.record.service.value()];
    if (service.is_null()) {
      service.emplace_object();
    }
    AddCounters(view.counters, service.get_object());
  }
  return json::serialize(
      json::object{{"all", std::move(all)}, {"services", std::move(services)}});
}

std::string ReadSnapshots(const StandinSystem& system) {
  return EncodeSnapshots(system.platform->NewestSnapshots());
}

}  // namespace marigold
