#include "src/programs/control_process.h"

#include <unistd.h>

#include <csignal>
#include <utility>
#include <vector>

#include "src/core/allocator.h"
#include "src/core/log.h"
#include "src/net/control/control_http.h"

namespace marigold {

namespace {

constexpr Duration kStreamHeartbeatInterval = std::chrono::milliseconds(500);

// After a signal, the process waits at most this long for the outcomes of
// commands that it has accepted, so that their callers are answered.
constexpr Duration kDrainTimeout = std::chrono::seconds(1);

}  // namespace

ControlProcess::ControlProcess(const ControlProcessSettings& process_settings)
    : settings(process_settings),
      table({}),
      quotas(table),
      pool(process_settings.workers),
      hub(std::make_shared<SubscriberHub>(pool,
                                          table,
                                          listing,
                                          kStreamHeartbeatInterval)),
      quota_relay(std::make_shared<QuotaRelay>(pool, quotas)) {}

Result<void> ControlProcess::Open(HttpHandler handler) {
  ReturnFreedMemory();
  SetLogDescriptor(STDOUT_FILENO);
  // A write beyond the limit on the size of files then fails like one to a full
  // disk, and does not end the process.
  std::signal(SIGXFSZ, SIG_IGN);
  // The table outlives the worker pool, which the hub must not.
  this->listing.OnChanged([weak = std::weak_ptr(this->hub)] {
    if (const auto subscribers = weak.lock()) {
      subscribers->NotifyListingChanged();
    }
  });
  BOOST_LEAF_ASSIGN(
      this->driver,
      ControlDriver::Open(this->pool, this->table, this->settings.driver,
                          [hub = this->hub, relay = this->quota_relay] {
                            hub->NotifyListsChanged();
                            relay->OnListsChanged();
                          }));
  this->sharing = this->MakeAggregatorSharing();
  BOOST_LEAF_ASSIGN(this->server, ControlServer::Listen(
                                      this->pool, this->settings.driver.address,
                                      this->driver, this->hub, this->table,
                                      this->listing, this->MakeHintRelay(),
                                      this->sharing, this->quota_relay));
  BOOST_LEAF_ASSIGN(
      this->http,
      HttpServer::Listen(this->pool, this->settings.http,
                         this->settings.http_limits, std::move(handler)));
  return {};
}

std::shared_ptr<HintRelay> ControlProcess::MakeHintRelay() {
  return std::make_shared<HintRelay>(
      this->pool,
      [hub = this->hub](const ServerHints& hints) { hub->SendToAll(hints); },
      [weak = std::weak_ptr(this->driver)](const ServerHints& hints) {
        if (const auto control = weak.lock()) {
          control->Broadcast(hints);
        }
      });
}

std::shared_ptr<AggregatorSharing> ControlProcess::MakeAggregatorSharing() {
  return std::make_shared<AggregatorSharing>(
      this->pool, this->settings.driver.address,
      [weak = std::weak_ptr(this->driver)](const AggregatorSet& set) {
        if (const auto control = weak.lock()) {
          control->Broadcast(set);
        }
      });
}

QuotaSenders ControlProcess::MakeQuotaSenders() {
  const std::weak_ptr<ControlDriver> weak(this->driver);
  return {[hub = this->hub](const QuotaState& state) { hub->SendToAll(state); },
          [weak](const QuotaState& state) {
            if (const auto control = weak.lock()) {
              control->Broadcast(state);
            }
          },
          [weak](const QuotaUsageReports& reports) {
            if (const auto control = weak.lock()) {
              control->SendToLeader(reports);
            }
          }};
}

void ControlProcess::Serve(std::function<void()> reload_handler) {
  this->hub->Start();
  this->driver->Start();
  this->sharing->Start();
  this->quota_relay->Start(this->MakeQuotaSenders());
  TimerHandle drain_timer;
  const auto stop = [&](int number) {
    LogEvent(LogLevel::kInfo, "stopping", {{"signal", number}});
    drain_timer =
        this->pool.After(kDrainTimeout, [this] { this->pool.Finish(); });
    this->driver->Drain([this] { this->pool.Finish(); });
  };
  this->pool.SetSignalHandler(stop, std::move(reload_handler));
  LogEvent(LogLevel::kInfo, "listening",
           {{"address", ToString(this->settings.driver.address)},
            {"http", ToString(this->settings.http)},
            {"vm", this->settings.driver.vm.value()}});
  this->pool.WaitUntilFinished();
  // Stops all threads, because their handlers use members of this object.
  this->pool.Stop();
  LogEvent(LogLevel::kInfo, "stopped");
}

DataCentreKnowledge ControlProcess::FindDataCentre(
    const DataCentreId& data_centre) const {
  ControlStatus status = this->table.Status();
  status.subscribers = this->hub->Subscribers();
  const bool has_listing = this->listing.Summary().observed_at.has_value();
  const auto servers = this->listing.Servers();
  const std::vector<DataCentreId> entry_vms = this->sharing->DataCentres();
  return marigold::FindDataCentre({status, *servers, has_listing, entry_vms},
                                  data_centre);
}

HttpResponse ControlProcess::AnswerHttp(const HttpRequest& request) const {
  return AnswerControlHttp(request, *this->driver, *this->hub, this->table,
                           this->quotas);
}

}  // namespace marigold
