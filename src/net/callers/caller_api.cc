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
constexpr int kWrongMethod = 405;
constexpr int kUnavailable = 503;

HttpResponse MakeError(int status, const std::string& detail) {
  HttpResponse response;
  response.status = status;
  response.body = EncodeRefusal(
      RequestId(), {Execution::kDidNotRun, Reason::kBadRequest, detail, {}});
  return response;
}

}  // namespace

CallerApi::CallerApi(const EntryParts& entry_parts)
    : parts(entry_parts), requests(entry_parts) {}

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
      respond(MakeError(kWrongMethod, "wrong method for " + request.path));
    }
    return;
  }
  respond(MakeError(kNotFound, "no such resource: " + request.path));
}

void CallerApi::HandleSearch(const HttpRequest& request,
                             HttpResponder respond) {
  this->requests.HandleSearch(request, std::move(respond));
}

void CallerApi::HandleAction(const HttpRequest& request,
                             HttpResponder respond) {
  this->requests.HandleAction(request, std::move(respond));
}

void CallerApi::HandleHealth(const HttpRequest& /*request*/,
                             HttpResponder respond) {
  const ProcessPhase phase = this->parts.lifecycle.phase();
  const bool is_starting =
      phase == ProcessPhase::kServing && !this->parts.lists_known();
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
  response.body = this->parts.metrics.Render(this->State());
  respond(std::move(response));
}

void CallerApi::HandleState(const HttpRequest& /*request*/,
                            HttpResponder respond) {
  HttpResponse response;
  response.body = EncodeEntryState(this->State());
  respond(std::move(response));
}

EntryState CallerApi::State() const {
  EntryState state = CollectEntryState(this->parts.clock.Now(),
                                       this->parts.lifecycle, this->parts.lists,
                                       this->parts.servers, this->parts.notes);
  state.vm = this->parts.settings.actions.vm;
  state.lists_known = this->parts.lists_known();
  state.caller_connections = this->parts.caller_connections();
  state.admission_running = this->parts.gate.running();
  state.admission_waiting = this->parts.gate.waiting();
  std::unordered_map<ServerIndex, ConnectionPoolCounts> counts;
  for (const PoolSummary& pool : this->parts.client.Pools()) {
    counts.emplace(pool.server, pool.counts);
  }
  for (ServerSummary& server : state.servers) {
    server.connections = counts[server.view.index];
  }
  return state;
}

}  // namespace marigold
