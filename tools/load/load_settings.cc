#include "tools/load/load_settings.h"

#include <utility>

namespace marigold {

namespace {

constexpr double kMaxSeconds = 86'400;

// A request counts as timed out this long after its deadline.
constexpr Duration kTimeoutMargin = std::chrono::seconds(2);

// Combined with the seed of the requests by XOR, so that the arrivals have
// another seed.
constexpr std::uint64_t kArrivalSeed = 0x6c62272e07bb0142;

void AddTargets(LoadSettings& settings, SettingsTable& table) {
  table.AddEndpoints("entry", settings.entries,
                     "Entry VMs; requests go to those that are healthy.");
  table.AddEndpoint("standin", settings.standin,
                    "The stand-in's platform address, for extra load.");
  table.AddText("entry-pids", settings.entry_pids, "PID[,PID...]",
                "Entry processes whose processor time is measured.");
  table.AddNumber("connections", settings.connections, 1, 100'000,
                  "connections", "Connections to each entry VM.");
  table.AddMilliseconds("health-interval-ms", settings.health_interval, 10,
                        60'000, "Time between health checks of an entry VM.");
  table.AddNumber("workers", settings.workers, 1, 64, "threads",
                  "Threads that run handlers.");
}

void AddRequests(LoadSettings& settings, SettingsTable& table) {
  table.AddChoice("kind", settings.kind, {"search", "action"},
                  "What is sent; actions need the stand-in's address.");
  table.AddNumber("action-sends", settings.action_sends, 1, 100, "requests",
                  "Requests with the same key for each action.");
  table.AddDecimal("rate", settings.rate, 0.001, 1e6, "requests/s",
                   "Mean rate of the Poisson arrivals.");
  table.AddDecimal("duration-s", settings.duration_s, 0.001, kMaxSeconds,
                   "seconds", "Time during which requests are sent.");
  table.AddDecimal("warmup-s", settings.warmup_s, 0, kMaxSeconds, "seconds",
                   "Time at the start that is checked and not measured.");
  table.AddText("service", settings.service, "name",
                "Service of the requests.");
  table.AddText("customers", settings.customers, "NAME[:WEIGHT][,...]",
                "Customers and their parts of the requests.");
  table.AddMilliseconds("deadline-ms", settings.deadline, 1, 60'000,
                        "Deadline of every request.");
  table.AddDecimal("minimum-coverage", settings.minimum_coverage, 0, 1, "share",
                   "Coverage below which an answer is to be refused.");
  table.AddNumber("seed", settings.seed, 0, 1'000'000'000, "number",
                  "Seed of the arrivals and requests.");
}

void AddResults(LoadSettings& settings, SettingsTable& table) {
  table.AddText("csv", settings.csv, "path", "File for the figures as CSV.");
  table.AddText("json", settings.json, "path", "File for the figures as JSON.");
  table.AddText("expect", settings.expect, "NAME<=NUMBER[,NAME>=NUMBER...]",
                "Bounds; the exit code is 1 if one does not hold.");
  table.AddSwitch("compare", settings.compare,
                  "Compare two CSV files, given as arguments, and exit.");
}

std::optional<std::vector<std::int64_t>> ParsePids(std::string_view text) {
  std::vector<std::int64_t> pids;
  for (const std::string& part : Split(text, ',')) {
    const auto pid = ParseWholeNumber(part);
    if (!pid || *pid < 1) {
      return std::nullopt;
    }
    pids.push_back(*pid);
  }
  return pids;
}

}  // namespace

SettingsTable MakeLoadTable(LoadSettings& settings) {
  SettingsTable table("marigold-load",
                      "Sends an open-loop load to entry VMs and checks every "
                      "answer. Exits with 1 after a violation.");
  AddTargets(settings, table);
  AddRequests(settings, table);
  AddResults(settings, table);
  return table;
}

Result<LoadRunSettings> ToRunSettings(const LoadSettings& settings) {
  LoadRunSettings run;
  auto customers = ParseCustomers(settings.customers);
  if (!customers) {
    return boost::leaf::new_error(
        ParseError{"customers", {}, "NAME[:WEIGHT][,NAME[:WEIGHT]...]"});
  }
  const auto pids = ParsePids(settings.entry_pids);
  if (!pids) {
    return boost::leaf::new_error(ParseError{"entry-pids", {}, "PID[,PID...]"});
  }
  if (settings.kind == "action" && settings.standin.port == 0) {
    return boost::leaf::new_error(
        ParseError{"standin", {}, "an address, as kind is action"});
  }
  if (settings.warmup_s >= settings.duration_s) {
    return boost::leaf::new_error(
        ParseError{"warmup-s", {}, "less than duration-s"});
  }
  run.balancer = {settings.entries,
                  static_cast<std::size_t>(settings.connections),
                  settings.health_interval};
  run.requests = {std::move(*customers), ServiceId(settings.service),
                  settings.deadline, Fraction(settings.minimum_coverage),
                  static_cast<std::uint64_t>(settings.seed)};
  run.pace.rate = RatePerSecond(settings.rate);
  run.pace.duration = FromSeconds(settings.duration_s);
  run.pace.warmup = FromSeconds(settings.warmup_s);
  run.pace.timeout = settings.deadline + kTimeoutMargin;
  run.pace.seed = run.requests.seed ^ kArrivalSeed;
  run.action_sends = static_cast<std::uint32_t>(settings.action_sends);
  if (settings.standin.port != 0) {
    run.targets.standin = settings.standin;
  }
  run.targets.service = settings.service;
  run.targets.entries = settings.entries;
  run.targets.entry_pids = *pids;
  return run;
}

Result<std::vector<Bound>> ToBounds(const LoadSettings& settings) {
  std::vector<Bound> bounds;
  for (const std::string& part : Split(settings.expect, ',')) {
    const auto bound = ParseBound(part);
    if (!bound) {
      return boost::leaf::new_error(
          ParseError{"expect", {}, "NAME<=NUMBER[,NAME>=NUMBER...]"});
    }
    bounds.push_back(*bound);
  }
  return bounds;
}

}  // namespace marigold
