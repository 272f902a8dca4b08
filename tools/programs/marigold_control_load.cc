// Measures the performance of a control group: the rate of claims, the rate of
// accepted edits, or the time until an edit is in force on a subscribed client.

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <future>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "src/core/clock.h"
#include "src/core/random.h"
#include "src/core/settings.h"
#include "src/net/control/control_client.h"
#include "src/net/serial_queue.h"
#include "src/net/worker_pool.h"

namespace marigold {

namespace {

constexpr Duration kSubmitTimeout = std::chrono::seconds(10);
constexpr Duration kPollInterval = std::chrono::milliseconds(1);

struct LoadSettings {
  std::vector<Endpoint> controls{{"127.0.0.1", 7100}};
  std::string work = "claims";
  std::int64_t callers = 64;
  std::int64_t commands = 20'000;
};

SettingsTable MakeTable(LoadSettings& settings) {
  SettingsTable table("marigold-control-load",
                      "Sends commands to a control group and reports rates.");
  table.AddEndpoints("controls", settings.controls, "Control VMs.");
  table.AddChoice("work", settings.work, {"claims", "edits", "force"},
                  "claims: new keys. edits: accepted edits, versions foreseen. "
                  "force: time until an edit is in force here.");
  table.AddNumber("callers", settings.callers, 1, 10'000, "callers",
                  "Commands on their way at once.");
  table.AddNumber("commands", settings.commands, 1, 100'000'000, "commands",
                  "Commands in all.");
  return table;
}

// Sends a closed-loop load: each caller sends its next command after the
// outcome of the previous one.
class LoadGenerator {
 public:
  LoadGenerator(WorkerPool& worker_pool, const LoadSettings& load_settings)
      : pool(worker_pool),
        queue(worker_pool),
        settings(load_settings),
        client(worker_pool,
               this->lists,
               this->listing,
               ClientSettings(load_settings)),
        run_id(fmt::format("{:016x}", SystemSeed())) {}

  int Run() {
    const auto started = Capture<bool>([this]() -> Result<bool> {
      BOOST_LEAF_CHECK(this->client.Start());
      return true;
    });
    if (!std::holds_alternative<bool>(started) || !this->WaitForLists()) {
      fmt::print(
          stderr,
          "marigold-control-load: no control VM with a quorum was reached\n");
      return 1;
    }
    this->first_version = this->lists.Copy().usage_version.value();
    const MonotonicTime started_at = this->clock.Now();
    const std::int64_t callers =
        this->settings.work == "force" ? 1 : this->settings.callers;
    for (std::int64_t i = 0; i < callers; ++i) {
      this->queue.Post([this] { this->SendNext(); });
    }
    this->done.get_future().wait();
    this->Report(this->clock.Now() - started_at);
    return this->failed == 0 ? 0 : 1;
  }

 private:
  static ControlClientSettings ClientSettings(const LoadSettings& settings) {
    ControlClientSettings client;
    client.vm = VmId("control-load");
    client.data_centre = DataCentreId("dc1");
    client.controls = settings.controls;
    return client;
  }

  bool WaitForLists() {
    constexpr int kMostPolls = 10'000;
    for (int i = 0; i < kMostPolls && !this->client.is_synchronised(); ++i) {
      std::promise<void> polled;
      const TimerHandle timer =
          this->pool.After(kPollInterval, [&] { polled.set_value(); });
      polled.get_future().wait();
    }
    return this->client.is_synchronised();
  }

  ControlCommand MakeCommand(std::uint64_t number) const {
    const std::string name = fmt::format("{}-{}", this->run_id, number);
    if (this->settings.work == "claims") {
      const auto now_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
          this->clock.WallNow().time_since_epoch());
      return ClaimAction{IdempotencyKey(name), CustomerId("load"),
                         ClaimToken(number),   VmId("control-load"),
                         now_ms.count(),       number};
    }
    PutRows edit;
    edit.list = ListKind::kUsage;
    edit.change = ChangeId(name);
    edit.expected = ListVersion(this->first_version + number);
    edit.usage = {{PlanId("load"),
                   {ServiceId("lookup")},
                   1.0 + static_cast<double>(number % 1000),
                   10,
                   10,
                   1}};
    return edit;
  }

  // Runs on the serial queue, so that edits are sent in the order of their
  // expected versions.
  void SendNext() {
    const std::uint64_t number = this->sent++;
    if (number >= static_cast<std::uint64_t>(this->settings.commands)) {
      return;
    }
    const MonotonicTime sent_at = this->clock.Now();
    this->client.Submit(this->MakeCommand(number), kSubmitTimeout,
                        [this, sent_at](const SubmitOutcome& outcome) {
                          this->OnOutcome(sent_at, outcome);
                        });
  }

  void OnOutcome(MonotonicTime sent_at, const SubmitOutcome& outcome) {
    if (!IsSuccess(outcome)) {
      ++this->failed;
    }
    if (this->settings.work == "force") {
      this->PollUntilInForce(sent_at);
    } else {
      this->RecordLatency(this->clock.Now() - sent_at);
    }
  }

  static bool IsSuccess(const SubmitOutcome& outcome) {
    const auto* known_outcome = std::get_if<ControlOutcome>(&outcome);
    if (known_outcome == nullptr) {
      return false;
    }
    if (const auto* claim = std::get_if<ClaimOutcome>(known_outcome)) {
      return claim->claim_result == ClaimResult::kGranted;
    }
    const auto* edit = std::get_if<PutRowsOutcome>(known_outcome);
    return edit != nullptr && edit->accepted;
  }

  void PollUntilInForce(MonotonicTime sent_at) {
    if (this->lists.changed_at() > sent_at) {
      this->RecordLatency(this->lists.changed_at() - sent_at);
      return;
    }
    this->poll_timer = this->pool.After(
        kPollInterval, [this, sent_at] { this->PollUntilInForce(sent_at); });
  }

  void RecordLatency(Duration latency) {
    const std::size_t at = this->recorded_count++;
    this->latencies[at] = latency;
    if (at + 1 == this->latencies.size()) {
      this->done.set_value();
    } else {
      this->queue.Post([this] { this->SendNext(); });
    }
  }

  void Report(Duration elapsed) {
    std::sort(this->latencies.begin(), this->latencies.end());
    const auto at = [&](double share) {
      const auto last = static_cast<double>(this->latencies.size() - 1);
      return ToMilliseconds(
          this->latencies[static_cast<std::size_t>(share * last)]);
    };
    fmt::print(
        "work={} commands={} failed={} seconds={:.3f} per_second={:.0f} "
        "p50_ms={:.2f} p99_ms={:.2f} max_ms={:.2f}\n",
        this->settings.work, this->latencies.size(), this->failed.load(),
        ToSeconds(elapsed),
        static_cast<double>(this->latencies.size()) / ToSeconds(elapsed),
        at(0.5), at(0.99), at(1));
  }

  WorkerPool& pool;
  SerialQueue queue;
  const LoadSettings& settings;
  SystemClock clock;
  ListTable lists;
  ListingTable listing;
  ControlClient client;
  std::string run_id;
  std::uint64_t first_version = 0;
  std::atomic<std::uint64_t> sent = 0;
  std::atomic<std::uint64_t> failed = 0;
  std::atomic<std::size_t> recorded_count = 0;
  std::vector<Duration> latencies =
      std::vector<Duration>(static_cast<std::size_t>(settings.commands));
  TimerHandle poll_timer;
  std::promise<void> done;
};

}  // namespace

}  // namespace marigold

int main(int argc, char** argv) {
  marigold::LoadSettings settings;
  marigold::SettingsTable table = marigold::MakeTable(settings);
  const auto outcome = marigold::ParseSettings(table, argc, argv);
  if (const auto code = marigold::ReportSettings(table, outcome)) {
    return *code;
  }
  // Declared before the pool, because the pool's threads may use it until they
  // end.
  std::unique_ptr<marigold::LoadGenerator> generator;
  marigold::WorkerPool pool(2);
  generator = std::make_unique<marigold::LoadGenerator>(pool, settings);
  return generator->Run();
}
