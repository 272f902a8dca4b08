// Case 5: machines of the core are replaced one after the other, each by an
// empty one at a new address, and each has CatchUpS before the next. The
// operator then reads the configuration back.

#include "harness.h"

using namespace review;

namespace {

constexpr int kCore = 4;  // as in the site
constexpr int kReplacements = 12;
constexpr double kAckS = 5.0;      // AckMs
constexpr double kAbsentS = 1.0;   // replace_core: x s (1) later
constexpr double kCatchUpS = 4.0;  // CatchUpS
constexpr double kReadBackS = 16;  // RecoveryS (12) + ContactWindowMs (4)

std::string Config(int version) {
  return Format(
      R"({"Version":%d,"Routes":[
 {"Name":"fetch","Host":"obnova.example","PathPrefix":"/fetch/","RouteType":"idempotent","TimeoutMs":3000,"TargetLatencyMs":500,"Priority":2,"Backend":"obnova","Attempts":2}],
 "Backends":[{"Name":"obnova","HealthPath":"/health","MaxConnections":234,"Protocol":"h1","Tls":false}],
 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})",
      version);
}

}  // namespace

int main(int argc, char** argv) {
  const Options options = Begin(argc, argv);
  Deployment deployment(options.work, kCore, 1, kReplacements);
  PlatformList list;
  list.Start(deployment.List());
  for (int i = 1; i <= kCore; ++i) {
    deployment.StartControl(i, true);
  }
  deployment.StartEntry(1);
  int version = 3;
  if (!deployment.PutConfig(Config(version), 15)) {
    End(deployment, kCannotRun);
  }
  SleepMs(4000);
  int acknowledged = version;
  for (int i = 0; i < kReplacements; ++i) {
    // The oldest machine goes. Without trouble it starts again, with its disk.
    const int gone = options.has_trouble ? 1 + i : 1 + i % kCore;
    const int added = options.has_trouble ? kCore + 1 + i : gone;
    Deployment::Kill(deployment.control_pids[gone]);
    deployment.control_pids.erase(gone);
    TheRecord().Say(Format("core machine %d is gone", gone));
    if (options.has_trouble) {
      std::erase(deployment.operator_list, gone);
      deployment.operator_list.push_back(added);
      // The settings name three machines that serve control.
      deployment.seed_numbers.assign(deployment.operator_list.end() - 4,
                                     deployment.operator_list.end() - 1);
    }
    SleepMs(kAbsentS * 1000);
    deployment.StartControl(added, false);
    SleepMs(kCatchUpS * 1000);
    version += 3;
    if (deployment.PutConfig(Config(version), kAckS)) {
      acknowledged = version;
    } else {
      TheRecord().Say(
          Format("version %d is not acknowledged within AckMs "
                 "(%.0f s) after %d replacements",
                 version, kAckS, i + 1));
    }
  }
  TheRecord().Say(Format("all %d core machines run", kCore));
  TheRecord().Say(
      Format("newest acknowledged version: %d; the operator reads "
             "it back for %.0f s",
             acknowledged, kReadBackS));
  std::string config;
  const double end = Now() + kReadBackS;
  bool has_come = false;
  while (Now() < end && !has_come) {
    has_come = deployment.ReadConfig(1.0, config);
  }
  const std::size_t at = config.find("\"Version\":");
  const int read_version =
      at == std::string::npos ? 0 : std::atoi(config.c_str() + at + 10);
  TheRecord().Say(has_come
                      ? Format("the operator reads version %d", read_version)
                      : std::string("no read was answered with 200"));
  End(deployment, has_come && read_version >= acknowledged ? kHeld : kBroken);
}
