#include "src/net/callers/caller_api.h"

#include <fmt/format.h>

#include <unordered_map>
#include <utility>

#include "src/queries/collect_state.h"
#include "src/wire/caller_json.h"
#include "src/wire/state_json.h"

namespace marigold {

namespace {

constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kUnavailable = 503;

HttpResponse MakeError(int status, const std::string& detail) {
  HttpResponse response;
  response.status = status;
  response.body = EncodeRefusal(
      RequestId(), {Execution::kDidNotRun, Reason::kBadRequest, detail, {}});
  return response;
}

}  // namespace

CallerApi::CallerApi(const EntryComponents& entry_components)
    : components(entry_components), request_handler(entry_components) {}

void CallerApi::Handle(const HttpRequest& request, HttpResponder respond) {
  static constexpr Route kRoutes[] = {
      {HttpMethod::kPost, "/v1/search", &CallerApi::HandleSearch},
      {HttpMethod::kPost, "/v1/actions", &CallerApi::HandleAction},
      {HttpMethod::kGet, "/health", &CallerApi::HandleHealth},
      {HttpMethod::kGet, "/metrics", &CallerApi::HandleMetrics},
      {HttpMethod::kGet, "/state", &CallerApi::HandleState},
  };
  for (const Route& route : kRoutes) {
    if (route.path != request.path) {
      continue;
    }
    if (route.method == request.method) {
      (this->*route.handler)(request, std::move(respond));
    } else {
      respond(MakeError(kMethodNotAllowed, "wrong method for " + request.path));
    }
    return;
  }
  respond(MakeError(kNotFound, "no such resource: " + request.path));
}

void CallerApi::HandleSearch(const HttpRequest& request,
                             HttpResponder respond) {
  this->request_handler.HandleSearch(request, std::move(respond));
}

void CallerApi::HandleAction(const HttpRequest& request,
                             HttpResponder respond) {
  this->request_handler.HandleAction(request, std::move(respond));
}

void CallerApi::HandleHealth(const HttpRequest& /*request*/,
                             HttpResponder respond) {
  const ProcessPhase phase = this->components.lifecycle.phase();
  const bool is_starting =
      phase == ProcessPhase::kServing && !this->components.are_lists_known();
  HttpResponse response;
  if (is_starting || phase != ProcessPhase::kServing) {
    response.status = kUnavailable;
  }
  response.body = fmt::format(R"({{"state":"{}"}})",
                              is_starting ? "starting" : ToString(phase));
  respond(std::move(response));
}

void CallerApi::HandleMetrics(const HttpRequest& /*request*/,
                              HttpResponder respond) {
  HttpResponse response;
  response.content_type = "text/plain; version=0.0.4";
  response.body = this->components.metrics.Render(this->BuildEntryState());
  respond(std::move(response));
}

void CallerApi::HandleState(const HttpRequest& /*request*/,
                            HttpResponder respond) {
  HttpResponse response;
  response.body = EncodeEntryState(this->BuildEntryState());
  respond(std::move(response));
}

EntryState CallerApi::BuildEntryState() const {
  EntryState state = CollectTableState(
      this->components.clock.Now(), this->components.lifecycle,
      this->components.lists, this->components.servers, this->components.notes);
  state.vm = this->components.settings.actions.vm;
  state.are_lists_known = this->components.are_lists_known();
  state.lists_confirmed_age = this->components.lists_confirmed_age();
  state.caller_connections = this->components.caller_connections();
  state.admission_running = this->components.gate.running();
  state.admission_waiting = this->components.gate.waiting();
  std::unordered_map<ServerIndex, ConnectionPoolCounts> counts;
  for (const PoolSummary& pool : this->components.client.PoolSummaries()) {
    counts.emplace(pool.server, pool.counts);
  }
  for (ServerSummary& server : state.servers) {
    server.connections = counts[server.view.index];
  }
  return state;
}

}  // namespace marigold
