#include "tools/standin/platform_server.h"

#include <fmt/format.h>

#include <string>
#include <utility>
#include <variant>

#include "src/core/clock.h"
#include "src/core/log.h"
#include "src/wire/platform_list_json.h"
#include "tools/standin/admin_commands.h"
#include "tools/standin/standin_json.h"
#include "tools/standin/standin_queries.h"

namespace marigold {

namespace {

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;

HttpResponse MakeResponse(std::string body, int status = 200) {
  HttpResponse response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

std::string Describe(const AnyError& error) {
  if (const auto* parse = std::get_if<ParseError>(&error)) {
    return ToString(*parse);
  }
  if (const auto* io = std::get_if<IoError>(&error)) {
    return ToString(*io);
  }
  return "internal";
}

HttpResponse HandleAdminCommand(const std::string& body,
                                StandinSystem& system) {
  const auto changed = Capture<std::size_t>([&]() -> Result<std::size_t> {
    BOOST_LEAF_AUTO(command, DecodeAdminCommand(body));
    return RunAdminCommand(command, system);
  });
  if (const auto* error = std::get_if<AnyError>(&changed)) {
    LogEvent(LogLevel::kWarning, "admin_refused",
             {{"body", body}, {"error", Describe(*error)}});
    return MakeResponse(EncodeError(Describe(*error)), kBadRequest);
  }
  const std::size_t count = std::get<std::size_t>(changed);
  LogEvent(LogLevel::kInfo, "admin", {{"body", body}, {"changed", count}});
  return MakeResponse(fmt::format(R"({{"changed":{}}})", count));
}

HttpResponse HandleVmList(MonotonicTime now, StandinSystem& system) {
  const PlatformVmList list = ReadVms(now, system);
  OnListRead(list, system);
  return MakeResponse(EncodePlatformList(list));
}

HttpResponse Handle(const HttpRequest& request, StandinSystem& system) {
  const MonotonicTime now = SystemClock().Now();
  const bool is_get = request.method == HttpMethod::kGet;
  if (!is_get && request.path == "/v1/admin") {
    return HandleAdminCommand(request.body, system);
  }
  if (is_get && request.path == "/v1/vms") {
    return HandleVmList(now, system);
  }
  if (is_get && request.path == "/v1/actions") {
    return MakeResponse(ReadActions(system));
  }
  if (is_get && request.path == "/v1/servers") {
    return MakeResponse(ReadServers(now, system));
  }
  if (is_get && request.path == "/v1/counters") {
    return MakeResponse(ReadCounters(system));
  }
  if (is_get && request.path == "/v1/snapshots") {
    return MakeResponse(ReadSnapshots(system));
  }
  if (is_get && request.path == "/health") {
    return MakeResponse(R"({"state":"serving"})");
  }
  return MakeResponse(EncodeError("no such resource: " + request.path),
                      kNotFound);
}

}  // namespace

Result<std::unique_ptr<HttpServer>> ListenPlatform(WorkerPool& pool,
                                                   const Endpoint& endpoint,
                                                   StandinSystem& system) {
  return HttpServer::Listen(
      pool, endpoint, {},
      [&system](const HttpRequest& request, const HttpResponder& respond) {
        respond(Handle(request, system));
      });
}

}  // namespace marigold
