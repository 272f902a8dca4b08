// Simulates the backend servers of a deployment and the platform's VM list in
// one process.

#include <memory>
#include <variant>

#include "src/core/log.h"
#include "src/core/settings.h"
#include "src/net/http/http_server.h"
#include "src/net/worker_pool.h"
#include "tools/standin/churn.h"
#include "tools/standin/platform_server.h"
#include "tools/standin/standin_settings.h"
#include "tools/standin/standin_system.h"

namespace marigold {

namespace {

// The members are destroyed in reverse order, after the threads of the pool
// have ended.
struct Running {
  StandinSystem system;
  std::unique_ptr<HttpServer> platform;
};

Result<Running> Start(WorkerPool& pool, const StandinSettings& settings) {
  Running running;
  BOOST_LEAF_AUTO(system_settings, ToSystemSettings(settings));
  BOOST_LEAF_ASSIGN(running.system, StartStandinSystem(pool, system_settings));
  return running;
}

int Fail(const AnyError& error) {
  std::string detail = "internal";
  if (const auto* io = std::get_if<IoError>(&error)) {
    detail = ToString(*io);
  } else if (const auto* parse = std::get_if<ParseError>(&error)) {
    detail = ToString(*parse);
  }
  LogEvent(LogLevel::kError, "start_failed", {{"error", detail}});
  return 1;
}

int Run(const StandinSettings& settings) {
  WorkerPool pool(settings.workers);
  auto started = Capture<Running>([&] { return Start(pool, settings); });
  if (const auto* error = std::get_if<AnyError>(&started)) {
    return Fail(*error);
  }
  auto& running = std::get<Running>(started);
  auto listening = Capture<std::unique_ptr<HttpServer>>(
      [&] { return ListenPlatform(pool, settings.platform, running.system); });
  if (const auto* error = std::get_if<AnyError>(&listening)) {
    return Fail(*error);
  }
  ChurnSettings churn_settings = settings.churn;
  churn_settings.seed = static_cast<std::uint64_t>(settings.seed);
  Churn churn(pool, running.system, churn_settings);
  churn.Start();
  pool.SetSignalHandler([&pool](int) { pool.Finish(); });
  LogEvent(LogLevel::kInfo, "listening",
           {{"platform", ToString(settings.platform)},
            {"deployment", settings.deployment},
            {"searchers", running.system.searchers.size()}});
  pool.WaitUntilFinished();
  return 0;
}

}  // namespace

}  // namespace marigold

int main(int argc, char** argv) {
  marigold::StandinSettings settings;
  marigold::SettingsTable table = marigold::MakeStandinTable(settings);
  const auto outcome = marigold::ParseSettings(table, argc, argv);
  if (const auto code = marigold::ReportSettings(table, outcome)) {
    return *code;
  }
  return marigold::Run(settings);
}
