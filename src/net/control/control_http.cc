#include "src/net/control/control_http.h"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <string_view>

#include "src/wire/control_json.h"

namespace marigold {

namespace {

constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

HttpResponse HealthResponse(const ControlStatus& status) {
  HttpResponse response;
  std::string_view state = "serving";
  if (status.storage_failed) {
    state = "storage_failed";
  } else if (!status.has_quorum) {
    state = "no_quorum";
  }
  if (state != "serving") {
    response.status = kUnavailable;
  }
  response.body = fmt::format(R"({{"state":"{}"}})", state);
  return response;
}

HttpResponse NotFoundResponse() {
  HttpResponse response;
  response.status = kNotFound;
  response.body = R"({"error":"no such resource"})";
  return response;
}

}  // namespace

HttpResponse AnswerControlHttp(const HttpRequest& request,
                               const ControlDriver& driver,
                               const SubscriberHub& hub,
                               const ControlTable& table,
                               const QuotaCoordinationTable& quotas) {
  if (request.method != HttpMethod::kGet) {
    return NotFoundResponse();
  }
  ControlStatus status = table.Status();
  status.subscribers = hub.Subscribers();
  if (request.path == "/health") {
    return HealthResponse(status);
  }
  HttpResponse response;
  if (request.path == "/state") {
    boost::json::object state = ToJson(status);
    state["limited_customers"] = ToJson(quotas.Limited());
    response.body = boost::json::serialize(state);
    return response;
  }
  if (request.path == "/metrics") {
    response.content_type = "text/plain; version=0.0.4";
    response.body =
        ControlMetricsText(driver.counters(), status, quotas.Limited());
    return response;
  }
  return NotFoundResponse();
}

}  // namespace marigold
