// A TCP relay that cuts, silences or delays its links on command, to simulate
// network faults.

#include <fmt/format.h>

#include <memory>
#include <string>
#include <utility>
#include <variant>

#include "src/core/log.h"
#include "src/core/settings.h"
#include "src/net/http/http_server.h"
#include "src/net/worker_pool.h"
#include "tools/relay/relay_control.h"

namespace marigold {

namespace {

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;

struct RelaySettings {
  Endpoint control{"127.0.0.1", 9100};
  std::string links;
  std::int64_t workers = 2;
};

SettingsTable MakeTable(RelaySettings& settings) {
  SettingsTable table("marigold-relay",
                      "Relays TCP connections and cuts, silences or delays "
                      "them on command.");
  table.AddEndpoint("control", settings.control,
                    "Address for POST and GET /v1/links.");
  table.AddText("links", settings.links, "NAME=IP:PORT>IP:PORT[,...]",
                "Addresses to listen on, each with its target.");
  table.AddNumber("workers", settings.workers, 1, 64, "threads",
                  "Threads that run handlers.");
  return table;
}

std::string Describe(const AnyError& error) {
  if (const auto* io = std::get_if<IoError>(&error)) {
    return ToString(*io);
  }
  const auto* parse = std::get_if<ParseError>(&error);
  return parse == nullptr ? "internal error" : ToString(*parse);
}

HttpResponse MakeResponse(int status, std::string body) {
  HttpResponse response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

HttpResponse HandleChange(const std::string& body, const RelayLinks& links) {
  const auto changed = Capture<std::size_t>([&]() -> Result<std::size_t> {
    BOOST_LEAF_AUTO(command, DecodeRelayCommand(body));
    return RunRelayCommand(command, links);
  });
  if (const auto* error = std::get_if<AnyError>(&changed)) {
    return MakeResponse(kBadRequest, Describe(*error) + "\n");
  }
  const std::size_t count = std::get<std::size_t>(changed);
  LogEvent(LogLevel::kInfo, "links_changed",
           {{"body", body}, {"changed", count}});
  return MakeResponse(200, fmt::format(R"({{"changed":{}}})", count));
}

HttpResponse Handle(const HttpRequest& request, const RelayLinks& links) {
  if (request.path == "/health") {
    return MakeResponse(200, R"({"state":"serving"})");
  }
  if (request.path != "/v1/links") {
    return MakeResponse(kNotFound, "no such resource\n");
  }
  if (request.method == HttpMethod::kPost) {
    return HandleChange(request.body, links);
  }
  return MakeResponse(200, ReadLinks(links));
}

Result<std::unique_ptr<HttpServer>> Start(WorkerPool& pool,
                                          const RelaySettings& settings,
                                          RelayLinks& links) {
  const auto parsed = ParseRelayLinks(settings.links);
  if (!parsed) {
    return boost::leaf::new_error(
        ParseError{"links", {}, "NAME=IP:PORT>IP:PORT[,...]"});
  }
  for (const RelayLinkSettings& link : *parsed) {
    links.push_back(std::make_shared<RelayLink>(pool, link));
    BOOST_LEAF_CHECK(links.back()->Open());
  }
  return HttpServer::Listen(
      pool, settings.control, {},
      [&links](const HttpRequest& request, const HttpResponder& respond) {
        respond(Handle(request, links));
      });
}

int Run(const RelaySettings& settings) {
  WorkerPool pool(settings.workers);
  RelayLinks links;
  const auto started = Capture<std::unique_ptr<HttpServer>>(
      [&] { return Start(pool, settings, links); });
  if (const auto* error = std::get_if<AnyError>(&started)) {
    LogEvent(LogLevel::kError, "start_failed", {{"error", Describe(*error)}});
    return 1;
  }
  pool.SetSignalHandler([&pool](int) { pool.Finish(); });
  LogEvent(LogLevel::kInfo, "listening",
           {{"control", ToString(settings.control)}, {"links", links.size()}});
  pool.WaitUntilFinished();
  return 0;
}

}  // namespace

}  // namespace marigold

int main(int argc, char** argv) {
  marigold::RelaySettings settings;
  marigold::SettingsTable table = marigold::MakeTable(settings);
  const auto outcome = marigold::ParseSettings(table, argc, argv);
  if (const auto code = marigold::ReportSettings(table, outcome)) {
    return *code;
  }
  return marigold::Run(settings);
}
