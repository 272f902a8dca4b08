#include "src/net/control/quota_relay.h"

#include <criterion/criterion.h>
#include <fmt/format.h>
#include <unistd.h>

#include <array>
#include <memory>
#include <string>

#include "src/net/control/control_client.h"
#include "src/net/control/control_driver.h"
#include "src/net/control/control_server.h"
#include "src/tables/quota_table.h"
#include "tests/await.h"
#include "tests/storage_folder.h"

namespace marigold {

namespace {

constexpr int kVms = 3;
const CustomerId kCustomer("shop");

Endpoint Address(int number) {
  return {fmt::format("127.77.{}.{}", getpid() / 250 % 250, getpid() % 250 + 1),
          static_cast<std::uint16_t>(7100 + number)};
}

// One control VM of a group of three.
struct ControlVm {
  ControlVm(WorkerPool& pool, const std::string& folder, int number)
      : relay(std::make_shared<QuotaRelay>(pool, quotas)) {
    ControlDriverSettings settings;
    settings.vm = VmId(fmt::format("control-{}", number));
    settings.data_centre = DataCentreId("dc1");
    settings.address = Address(number);
    for (int peer = 0; peer < kVms; ++peer) {
      settings.peers.push_back(Address(peer));
    }
    settings.data_folder = fmt::format("{}/{}", folder, number);
    settings.init = true;
    this->hub = std::make_shared<SubscriberHub>(
        pool, this->table, this->listing, std::chrono::milliseconds(500));
    auto opened = Capture<std::unique_ptr<ControlDriver>>([&] {
      return ControlDriver::Open(
          pool, this->table, settings,
          [subscribers = this->hub, quota_relay = this->relay] {
            subscribers->NotifyListsChanged();
            quota_relay->OnListsChanged();
          });
    });
    this->driver = std::move(std::get<std::unique_ptr<ControlDriver>>(opened));
    auto listening = Capture<std::unique_ptr<ControlServer>>([&] {
      return ControlServer::Listen(
          pool, settings.address, this->driver, this->hub, this->table,
          this->listing,
          std::make_shared<HintRelay>(
              pool, [](const ServerHints&) {}, [](const ServerHints&) {}),
          std::make_shared<AggregatorSharing>(pool, settings.address,
                                              [](const AggregatorSet&) {}),
          this->relay);
    });
    this->server =
        std::move(std::get<std::unique_ptr<ControlServer>>(listening));
    this->hub->Start();
    this->driver->Start();
    this->relay->Start(
        {[this](const QuotaState& state) { this->hub->SendToAll(state); },
         [this](const QuotaState& state) { this->driver->Broadcast(state); },
         [this](const QuotaUsageReports& reports) {
           this->driver->SendToLeader(reports);
         }});
  }

  ControlTable table{{}};
  ListingTable listing;
  QuotaCoordinationTable quotas{table};
  std::shared_ptr<QuotaRelay> relay;
  std::shared_ptr<SubscriberHub> hub;
  std::shared_ptr<ControlDriver> driver;
  std::unique_ptr<ControlServer> server;
};

// The part of an entry VM that handles quotas. Follows one control VM.
struct EntryVm {
  EntryVm(WorkerPool& worker_pool, int number)
      : pool(worker_pool),
        quotas(VmId(fmt::format("e{}", number)), lists),
        client(worker_pool, lists, listing, MakeSettings(number)) {
    this->client.SetQuotaStateHandler([this](const QuotaState& state) {
      this->quotas.Apply(this->clock.Now(), state);
    });
    this->quotas.SetReportHandler([this](MonotonicTime at) {
      this->pool.PostAfter(
          std::max(at - this->clock.Now(), Duration::zero()), [this] {
            if (auto report = this->quotas.TakeReport(this->clock.Now())) {
              this->client.SendQuotaReport(std::move(*report));
            }
          });
    });
    const auto started = Capture<bool>([this]() -> Result<bool> {
      BOOST_LEAF_CHECK(this->client.Start());
      return true;
    });
    cr_assert(std::holds_alternative<bool>(started));
  }

  static ControlClientSettings MakeSettings(int number) {
    ControlClientSettings settings;
    settings.vm = VmId(fmt::format("e{}", number));
    settings.data_centre = DataCentreId("dc1");
    settings.controls = {Address(number)};
    return settings;
  }

  QuotaGateSummary Summary() const {
    return this->quotas.Summary(this->clock.Now()).gate;
  }

  SystemClock clock;
  WorkerPool& pool;
  ListTable lists;
  ListingTable listing;
  QuotaTable quotas;
  ControlClient client;
};

}  // namespace

// Guards against a use that is not reported to the leader, or a state that does
// not reach the entry VMs of a control VM that follows. Three entry VMs follow
// three control VMs, one of which leads.
Test(QuotaRelay, LimitsACustomerOnAllEntryVms) {
  const TemporaryFolder folder;
  WorkerPool pool(4);
  std::vector<std::unique_ptr<ControlVm>> controls;
  std::vector<std::unique_ptr<EntryVm>> entries;
  for (int i = 0; i < kVms; ++i) {
    controls.push_back(std::make_unique<ControlVm>(pool, folder.path, i));
  }
  for (int i = 0; i < kVms; ++i) {
    entries.push_back(std::make_unique<EntryVm>(pool, i));
  }
  const auto has_quorum = [&] {
    return std::ranges::all_of(controls, [](const auto& control) {
      return control->table.Status().has_quorum;
    });
  };
  cr_assert(Await(pool, has_quorum), "expected a group");
  for (const auto& control : controls) {
    cr_expect(!control->relay->NewestState(),
              "expected no state without quotas");
  }
  PutRoutes command;
  command.table.version = RouteVersion(1);
  RoutedCustomer customer;
  customer.customer = kCustomer;
  customer.quota = {RatePerSecond(100), 10};
  command.table.customers = {customer};
  for (const auto& control : controls) {
    control->driver->Submit(command, [](const SubmitAnswer&) {});
  }
  const auto all_have_state = [&] {
    return std::ranges::all_of(entries, [](const auto& entry) {
      return entry->Summary().phase == QuotaPhase::kFresh &&
             entry->Summary().customers == 1;
    });
  };
  cr_assert(Await(pool, all_have_state), "expected a state on all entry VMs");
  // The entry VMs together receive far more requests than the quota.
  const auto all_limit = [&] {
    bool are_limited = true;
    for (const auto& entry : entries) {
      entry->quotas.Admit(entry->clock.Now(), kCustomer);
      are_limited = are_limited && entry->Summary().limited_customers == 1 &&
                    entry->Summary().lowest_ratio < Fraction(0.8);
    }
    return are_limited;
  };
  cr_assert(Await(pool, all_limit),
            "expected a ratio below 1 on all entry VMs");
  int coordinating = 0;
  for (const auto& control : controls) {
    coordinating += control->quotas.IsCoordinating() ? 1 : 0;
    if (control->quotas.IsCoordinating()) {
      const auto limited = control->quotas.Limited();
      cr_assert_eq(limited.size(), 1);
      cr_expect(limited[0].offered > RatePerSecond(100), "offered %.0f",
                limited[0].offered.value());
    }
  }
  cr_expect_eq(coordinating, 1);
  pool.Stop();
}

}  // namespace marigold
