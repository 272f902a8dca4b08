// QUOTA: a tenant gets more than its quota while the core is away.
//
// One tenant sends 7.5 times its usual (`hot_tenant`), and all machines of the
// core lose power at that moment and are back two seconds later, with their
// disks. Its usual is four fifths of its quota.

#include "system.h"

namespace {

using namespace review2;

constexpr int kEntries = 17;
constexpr int kControls = 4;
constexpr int kSearchers = 4;
constexpr int kWorkersPerEntry = 8;
constexpr double kWorkS = 0.01;

constexpr double kRatePerS = 60;
constexpr double kBurst = 10;
constexpr double kUsualPerS = 48;
constexpr double kHotFactor = 7.5;

constexpr double kUsualS = 22;
constexpr double kHotS = 6.5;
constexpr double kAfterS = 6;
constexpr double kCoreAwayS = 0.9;

// The bounds of the rule (demands/LATER.md).
constexpr double kWindowS = 5;
constexpr double kOverage = 0.1;
constexpr double kSlack = 20;

std::string Config() {
  return Text(
      R"({"Version":7,"Routes":[{"Name":"r-pull","Host":"a.example",)"
      R"("PathPrefix":"/pull/","RouteType":"idempotent","TimeoutMs":2000,)"
      R"("TargetLatencyMs":800,"Priority":2,"Backend":"pull","Attempts":2}],)"
      R"("Backends":[{"Name":"pull","HealthPath":"/health",)"
      R"("MaxConnections":845,"Protocol":"h1","Tls":false}],"Tenants":[)"
      R"({"Name":"t-hot","ApiKeys":["k-hot"],"Priority":1,"RatePerS":%g,)"
      R"("Burst":%g},{"Name":"t-other","ApiKeys":["k-other"],"Priority":1}],)"
      R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,)"
      R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})",
      kRatePerS, kBurst);
}

}  // namespace

int main(int argc, char** argv) {
  const Options options = ParseOptions(argc, argv);
  System system(options.work, kEntries, kControls);
  system.bounds.budget_min_retries = 316;
  PlatformList list;
  Arrivals arrivals;
  std::vector<std::unique_ptr<Searcher>> searchers;
  std::vector<std::string> listed;
  for (int i = 1; i <= kSearchers; ++i) {
    searchers.push_back(std::make_unique<Searcher>(Text("i-pull-%d", i), "pull",
                                                   system.SearcherPlace(i),
                                                   kWorkS, arrivals));
    searchers.back()->Start();
    listed.push_back(searchers.back()->Entry());
  }
  list.Set(listed);
  list.Start(system.list_place);
  system.StartAll();
  system.PutConfig(Config(), 20);
  system.AwaitReady(20);
  // ConfigApplyMs after the acknowledgement.
  Sleep(4);

  Say("traffic begins");
  const double begin = Seconds();
  const double hot_at = begin + kUsualS;
  const double end = hot_at + kHotS + kAfterS;
  std::mutex mutex;
  std::map<std::string, double> sent_at;
  std::map<int, int> statuses;
  std::vector<std::thread> workers;
  constexpr int kWorkers = kEntries * kWorkersPerEntry;
  for (int i = 0; i < kWorkers; ++i) {
    workers.emplace_back([&, i] {
      std::mt19937 random(static_cast<unsigned>(i) + 1);
      Client client;
      double next = begin;
      for (int n = 0;; ++n) {
        const bool is_hot = next >= hot_at && next < hot_at + kHotS;
        const double rate = kUsualPerS * (is_hot ? kHotFactor : 1) / kWorkers;
        const double gap = std::exponential_distribution<double>(rate)(random);
        // A gap that began before the surge ends with it.
        next = next < hot_at && next + gap > hot_at
                   ? hot_at + std::exponential_distribution<double>(
                                  kUsualPerS * kHotFactor / kWorkers)(random)
                   : next + gap;
        if (next > end) {
          return;
        }
        SleepUntil(next);
        const std::string id = Text("%04x%08x", i + 1, n);
        {
          const std::lock_guard lock(mutex);
          sent_at[id] = Seconds();
        }
        Http answer;
        const bool is_answered = client.Exchange(
            system.entries[static_cast<std::size_t>(i % kEntries)],
            Text("GET /pull/%d HTTP/1.1\r\nHost: a.example\r\n"
                 "X-Request-Id: %s\r\nX-Api-Key: k-hot\r\n"
                 "X-Deadline-Ms: 2000\r\n\r\n",
                 n, id.c_str()),
            2, answer);
        const int status = is_answered ? answer.status() : 0;
        Note(Text("client gets %d for request %s", status, id.c_str()));
        const std::lock_guard lock(mutex);
        ++statuses[status];
      }
    });
  }
  SleepUntil(hot_at);
  Say("the tenant sends 7.5 times its usual");
  if (HasTrouble()) {
    for (std::size_t i = 0; i < kControls; ++i) {
      system.KillControl(i);
    }
    Say("all machines of the core are without power");
    Sleep(kCoreAwayS);
    for (std::size_t i = 0; i < kControls; ++i) {
      system.StartControl(i, false);
    }
    Say("they are back");
  }
  for (std::thread& worker : workers) {
    worker.join();
  }
  Sleep(0.5);

  struct Run {
    double sent;
    double arrived;
  };
  std::vector<Run> runs;
  for (const Arrival& arrival : arrivals.All()) {
    if (arrival.has_run && arrival.tenant == "t-hot") {
      runs.push_back({sent_at[arrival.request], arrival.at});
    }
  }
  std::sort(runs.begin(), runs.end(),
            [](const Run& a, const Run& b) { return a.sent < b.sent; });
  std::size_t most = 0;
  double most_from = 0;
  for (std::size_t i = 0; i < runs.size(); ++i) {
    const double from = runs[i].sent;
    const auto count = static_cast<std::size_t>(std::count_if(
        runs.begin() + static_cast<std::ptrdiff_t>(i), runs.end(),
        [&](const Run& run) { return run.arrived <= from + kWindowS; }));
    if (count > most) {
      most = count;
      most_from = from;
    }
  }
  std::string answers;
  for (const auto& [status, count] : statuses) {
    answers += Text(" %d: %d", status, count);
  }
  const double allowed =
      (kRatePerS * kWindowS + kBurst) * (1 + kOverage) + kSlack;
  if (runs.size() < 500) {
    CannotRun(Text("only %zu requests were run", runs.size()));
  }
  Finish(system, static_cast<double>(most) > allowed,
         Text("%zu requests of the tenant were sent and run in the 5 s from "
              "%.3f (surge at %.3f); allowed are %.0f; answers:%s",
              most, most_from, hot_at, allowed, answers.c_str()));
}
