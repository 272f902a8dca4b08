#include "src/policy/cold_limiter.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "src/core/random.h"
#include "src/policy/backend_directory.h"
#include "tests/row_indices.h"

namespace marigold {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

double BoundOf(double rate) {
  return rate * 1.5 + 5;
}

// Guards against shares whose sum exceeds the bound, if a quarter more VMs than
// intended take themselves for designated ones.
const double kRates[] = {0.1, 1, 2, 5, 10, 40, 100, 1000};

}  // namespace

ParameterizedTestParameters(ColdLimiter, SharesStayBelowTheBound) {
  return RowIndices(kRates);
}

ParameterizedTest(std::size_t* index, ColdLimiter, SharesStayBelowTheBound) {
  const double rate = kRates[*index];
  const ColdShare share = DivideColdRate(RatePerSecond(rate));
  const double senders = 1.25 * static_cast<double>(share.designated);
  const double sum = senders * (1 + share.rate.value());
  cr_assert(share.designated >= 4 && sum <= BoundOf(rate) + 1e-9,
            "rate %.1f: expected at most %.1f, actual %.1f", rate,
            BoundOf(rate), sum);
}

namespace {

struct StatusRow {
  const char* scenario;
  std::vector<std::function<void(ColdStatus&)>> events;
  ColdReason expected;
};

MonotonicTime At(int ms) {
  return MonotonicTime(milliseconds(ms));
}

std::function<void(ColdStatus&)> Returns(int ms) {
  return [ms](ColdStatus& status) { status.OnReturn(At(ms)); };
}
std::function<void(ColdStatus&)> IsLost(int ms) {
  return [ms](ColdStatus& status) { status.OnUnreachable(At(ms)); };
}
std::function<void(ColdStatus&)> Replies(int ms) {
  return [ms](ColdStatus& status) { status.OnReply(At(ms)); };
}
std::function<void(ColdStatus&)> IsListed(int ms, bool is_cold) {
  return [=](ColdStatus& status) { status.OnListed(At(ms), is_cold); };
}

// Guards against a cold server that gets the load of a warm one because of a
// list that is older than its return, and against one that stays held back.
const StatusRow kStatusRows[] = {
    {"listed warm", {IsListed(0, false)}, ColdReason::kNone},
    {"listed cold", {IsListed(0, true)}, ColdReason::kListed},
    {"listed warm again",
     {IsListed(0, true), IsListed(1000, false)},
     ColdReason::kNone},
    {"returned", {Returns(1000)}, ColdReason::kReturned},
    {"returned, list of before",
     {Returns(1000), IsListed(900, false)},
     ColdReason::kReturned},
    {"returned, list of just after",
     {Returns(1000), IsListed(1999, false)},
     ColdReason::kReturned},
    {"returned, list of 1 s later",
     {Returns(1000), IsListed(2000, false)},
     ColdReason::kNone},
    {"returned, cold, then warm",
     {Returns(1000), IsListed(2000, true), IsListed(5000, false)},
     ColdReason::kNone},
    {"returned twice",
     {Returns(1000), Returns(1900), IsListed(2000, false)},
     ColdReason::kReturned},
    {"unreachable", {IsLost(1000)}, ColdReason::kUnreachable},
    {"unreachable, listed as warm much later",
     {IsLost(1000), IsListed(9000, false)},
     ColdReason::kUnreachable},
    {"reachable again",
     {IsLost(1000), Replies(9000), IsListed(9900, false)},
     ColdReason::kReturned},
    {"reachable again for a while",
     {IsLost(1000), Replies(9000), IsListed(10000, false)},
     ColdReason::kNone},
    {"a reply without a loss", {Replies(1000)}, ColdReason::kNone},
    {"further replies do not delay the release",
     {IsLost(1000), Replies(2000), Replies(2900), IsListed(3000, false)},
     ColdReason::kNone},
};

}  // namespace

ParameterizedTestParameters(ColdLimiter, StatusFollowsReturnsAndLists) {
  return RowIndices(kStatusRows);
}

ParameterizedTest(std::size_t* index,
                  ColdLimiter,
                  StatusFollowsReturnsAndLists) {
  const StatusRow& row = kStatusRows[*index];
  ColdStatus status;
  for (const auto& event : row.events) {
    event(status);
  }
  cr_assert(status.reason() == row.expected, "%s: actual %s", row.scenario,
            std::string(ToString(status.reason())).c_str());
}

namespace {

std::vector<VmId> VmIds(std::size_t count, std::size_t first = 0) {
  std::vector<VmId> vms;
  for (std::size_t i = first; i < first + count; ++i) {
    vms.emplace_back(fmt::format("vm-{}", i));
  }
  return vms;
}

}  // namespace

// Guards against entry VMs that all take themselves for designated ones after a
// restart of the control group, and against a dead one whose part is lost for
// good.
Test(ColdLimiter, UnlistedVmsCountForAWhile) {
  const std::vector<VmId> vms = VmIds(10);
  std::size_t designated = 0;
  for (const VmId& vm : vms) {
    ColdSenders senders(vm);
    cr_assert_not(senders.IsSettled(At(0)), "expected no set yet");
    senders.Apply(At(0), true, vms, {});
    cr_assert(!senders.IsSettled(At(1999)) && senders.IsSettled(At(2000)));
    const auto version = senders.version();
    senders.Apply(At(5000), true, {}, {});
    senders.DropExpired(At(34999));
    cr_assert_eq(senders.version(), version);
    designated += senders.IsDesignated(BackendServerId("s"), 4) ? 1 : 0;
    senders.DropExpired(At(35000));
    cr_assert(senders.IsDesignated(BackendServerId("s"), 1),
              "expected a VM that knows no other one");
  }
  cr_assert_eq(designated, 4U, "expected 4, actual %zu", designated);
}

namespace {

// How the servers of a data centre return.
enum class Return { kListed, kEvacuationEnd, kCutEnd, kReachable };

struct FleetRow {
  const char* scenario;
  Return how;
  double rate;
};

const FleetRow kFleetRows[] = {
    {"first listing", Return::kListed, 1},
    {"first listing", Return::kListed, 10},
    {"first listing", Return::kListed, 40},
    {"end of an evacuation", Return::kEvacuationEnd, 1},
    {"end of an evacuation", Return::kEvacuationEnd, 10},
    {"end of an evacuation", Return::kEvacuationEnd, 40},
    {"end of a cut", Return::kCutEnd, 1},
    {"end of a cut", Return::kCutEnd, 10},
    {"end of a cut", Return::kCutEnd, 40},
    {"reachable again", Return::kReachable, 1},
    {"reachable again", Return::kReachable, 10},
    {"reachable again", Return::kReachable, 40},
};

struct Conditions {
  bool has_warm_replica;
  // A third of the VMs know an older set, of which 12 VMs are gone.
  bool has_other_view;
  // A third of the VMs get no lists and no orders from the return on.
  bool has_cut_off_vms;
};

// Each row is run under each of these.
constexpr Conditions kConditions[] = {
    {false, false, false}, {false, true, false}, {false, false, true},
    {false, true, true},   {true, false, false}, {true, true, true},
};

// 126 entry VMs and the servers of a few shards. All servers of the data centre
// "cold" return cold at the same time. Every VM offers far more requests than
// cold servers can handle. Lists reach the VMs 0.8 s after they were read.
class Fleet {
 public:
  Fleet(const FleetRow& fleet_row, const Conditions& fleet_conditions)
      : row(fleet_row), conditions(fleet_conditions) {
    const std::vector<VmId> newest = VmIds(kVms);
    std::vector<VmId> older = VmIds(kVms - 12);
    const std::vector<VmId> gone = VmIds(12, kVms);
    older.insert(older.end(), gone.begin(), gone.end());
    this->server_down =
        row.how == Return::kCutEnd || row.how == Return::kReachable;
    for (std::size_t i = 0; i < kVms; ++i) {
      this->vms.push_back(std::make_unique<BackendDirectory>(DirectorySettings{
          DataCentreId("dc" + std::to_string(i % 3)), {}, i, newest[i]}));
      BackendDirectory& vm = *this->vms.back();
      vm.SetEntryVms(this->now, true,
                     conditions.has_other_view && i % 3 == 0 ? older : newest,
                     {});
      this->ApplyList(i);
      std::vector<RoutedService> services;
      services.reserve(kShards);
      for (int shard = 0; shard < kShards; ++shard) {
        services.push_back(
            {ShardName(shard), "", 0, {}, RatePerSecond(row.rate)});
      }
      vm.SetColdRates(services);
      if (row.how == Return::kEvacuationEnd) {
        vm.SetEvacuated(this->now, {DataCentreId("cold")});
      }
    }
  }

  void Run() {
    constexpr Duration kStep = milliseconds(10);
    for (; this->now < kEnd; this->now += kStep) {
      for (std::size_t i = 0; i < kVms; ++i) {
        this->StepVm(i);
      }
    }
  }

  // The most requests to one server in any second in which it is cold.
  std::size_t MostInASecond() const {
    std::size_t most = 0;
    for (const auto& times : this->sends) {
      for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] >= seconds(1)) {
          ++first;
        }
        most = std::max(most, last - first + 1);
      }
    }
    return most;
  }
  std::size_t ColdSends() const {
    std::size_t count = 0;
    for (const auto& times : this->sends) {
      count += times.size();
    }
    return count;
  }
  // The servers that VMs which get lists hold back.
  std::size_t HeldBack() {
    std::size_t count = 0;
    for (std::size_t i = 0; i < kVms; ++i) {
      count += this->IsCutOffVm(i)
                   ? 0
                   : this->vms[i]->TakeColdReport(this->now).held_back;
    }
    return count;
  }

 private:
  static constexpr std::size_t kVms = 126;
  static constexpr int kShards = 4;
  static constexpr MonotonicTime kReturnAt{seconds(110)};
  static constexpr MonotonicTime kColdUntil{seconds(114)};
  static constexpr MonotonicTime kEnd{seconds(118)};
  static constexpr Duration kListLag = milliseconds(800);

  inline static const ServiceId kAlwaysUp{"up"};

  static ServiceId ShardName(int shard) {
    return ServiceId("s" + std::to_string(shard));
  }

  bool IsCutOffVm(std::size_t vm) const {
    return this->conditions.has_cut_off_vms && vm % 3 == 1 &&
           this->now >= kReturnAt;
  }

  // The list that was read at this time. A server that is never down shows that
  // the data centre is not cut off.
  std::vector<ListedServer> ListAt(MonotonicTime time) const {
    std::vector<ListedServer> rows;
    if (this->row.how == Return::kReachable) {
      ListedServer server;
      server.server = BackendServerId("always-up");
      server.service = kAlwaysUp;
      server.data_centre = DataCentreId("cold");
      rows.push_back(server);
    }
    for (int shard = 0; shard < kShards; ++shard) {
      ListedServer server;
      server.service = ShardName(shard);
      server.slots = 4;
      if (time >= kReturnAt || this->row.how != Return::kListed) {
        server.server = BackendServerId(fmt::format("cold-{}", shard));
        server.data_centre = DataCentreId("cold");
        server.is_cold = time >= kReturnAt && time < kColdUntil;
        rows.push_back(server);
      }
      if (this->conditions.has_warm_replica) {
        server.server = BackendServerId(fmt::format("warm-{}", shard));
        server.data_centre = DataCentreId("dc0");
        server.is_cold = false;
        rows.push_back(server);
      }
    }
    return rows;
  }

  void ApplyList(std::size_t vm) {
    const MonotonicTime read_at = this->now - kListLag;
    this->vms[vm]->ApplyListing(this->now, this->ListAt(read_at), read_at);
  }

  void StepVm(std::size_t i) {
    BackendDirectory& vm = *this->vms[i];
    const auto tick = static_cast<std::size_t>(
        (this->now.time_since_epoch() / milliseconds(10)));
    if ((tick + i) % 100 == 0 && !this->IsCutOffVm(i)) {
      this->ApplyList(i);
    }
    if ((tick + i) % 25 == 0) {
      this->Tick(vm);
    }
    // The order reaches the VMs in the course of 300 ms.
    const bool gets_order =
        this->row.how == Return::kEvacuationEnd &&
        this->now == kReturnAt + milliseconds(10) * (i % 30);
    if (gets_order && !this->IsCutOffVm(i)) {
      vm.SetEvacuated(this->now, {});
    }
    for (int shard = 0; shard < kShards; ++shard) {
      if (this->random.NextBelow(20) == 0) {
        this->Send(vm, ShardName(shard));
        this->Send(vm, kAlwaysUp);
      }
    }
  }

  bool IsDown() const { return this->server_down && this->now < kReturnAt; }

  void Tick(BackendDirectory& vm) {
    for (const ServerIndex server : vm.TakeProbeTargets(this->now)) {
      vm.OnUncountedOutcome(this->now, server, milliseconds(10), {},
                            !this->IsDown());
    }
    for (const ServerIndex server : vm.TakeReturnProbes(this->now)) {
      vm.OnReturnProbe(this->now, server, !this->IsDown());
    }
    vm.TakeColdReport(this->now);
  }

  void Send(BackendDirectory& vm, const ServiceId& service) {
    const auto placed = vm.PlaceAttempt(this->now, service, milliseconds(10),
                                        {}, LeastExpectedDelay(), this->random);
    if (!placed) {
      return;
    }
    const bool is_cold_server =
        vm.ListedServerAt(*placed).server.value().starts_with("cold");
    if (is_cold_server && this->IsDown()) {
      vm.OnFailure(this->now, *placed, SendFailure::kUnreachable);
      return;
    }
    if (is_cold_server) {
      this->Record(vm.ListedServerAt(*placed).server);
    }
    vm.OnAnswer(this->now, *placed, milliseconds(10), milliseconds(10),
                std::nullopt);
  }

  void Record(const BackendServerId& server) {
    if (this->now >= kReturnAt && this->now < kColdUntil) {
      const auto shard = static_cast<std::size_t>(server.value().back() - '0');
      this->sends[shard].push_back(this->now);
    }
  }

  FleetRow row;
  Conditions conditions;
  MonotonicTime now{seconds(100)};
  SeededRandom random{7};
  std::vector<std::unique_ptr<BackendDirectory>> vms;
  // By shard: the requests to its cold server.
  std::vector<std::vector<MonotonicTime>> sends{kShards};
  bool server_down = false;
};

}  // namespace

ParameterizedTestParameters(ColdLimiter, FleetStaysBelowTheBound) {
  return RowIndices(kFleetRows);
}

// Guards against a fleet that crashes the servers of a data centre which return
// cold at the same time, and against servers that stay held back when they are
// warm.
ParameterizedTest(std::size_t* index, ColdLimiter, FleetStaysBelowTheBound) {
  const FleetRow& row = kFleetRows[*index];
  for (const Conditions& conditions : kConditions) {
    Fleet fleet(row, conditions);
    fleet.Run();
    const std::string name =
        fmt::format("{}, rate {}, warm {}, other view {}, cut off {}",
                    row.scenario, row.rate, conditions.has_warm_replica,
                    conditions.has_other_view, conditions.has_cut_off_vms);
    const std::size_t most = fleet.MostInASecond();
    cr_assert(static_cast<double>(most) <= BoundOf(row.rate),
              "%s: expected at most %.1f, actual %zu", name.c_str(),
              BoundOf(row.rate), most);
    const std::size_t cold_sends = fleet.ColdSends();
    cr_assert((cold_sends == 0) == conditions.has_warm_replica,
              "%s: expected cold sends only without a warm server, actual %zu",
              name.c_str(), cold_sends);
    const std::size_t held_back = fleet.HeldBack();
    cr_assert_eq(held_back, 0U, "%s: expected no held-back server, actual %zu",
                 name.c_str(), held_back);
  }
}

namespace {

// One entry VM, which is the only one, and servers of one service.
struct LimitedService {
  explicit LimitedService(double rate) {
    this->directory.SetEntryVms(MonotonicTime(), true, {}, {});
    for (const char* name : {"a", "b"}) {
      ListedServer row;
      row.server = BackendServerId(name);
      row.service = this->service;
      row.data_centre = DataCentreId("dc");
      this->rows.push_back(row);
    }
    this->directory.ApplyListing(this->now, this->rows);
    const RoutedService limited{this->service, "", 0, {}, RatePerSecond(rate)};
    this->directory.SetColdRates({&limited, 1});
  }

  std::size_t Place(std::size_t attempts) {
    std::size_t placed = 0;
    for (std::size_t i = 0; i < attempts; ++i) {
      const auto server = this->directory.PlaceAttempt(
          this->now, this->service, milliseconds(10), {}, LeastExpectedDelay(),
          this->random);
      placed += server ? 1 : 0;
    }
    return placed;
  }

  const ServiceId service{"s"};
  MonotonicTime now{seconds(100)};
  BackendDirectory directory{{DataCentreId("dc"), {}, 1, VmId("vm")}};
  std::vector<ListedServer> rows;
  SeededRandom random{1};
};

}  // namespace

// Guards against a limit for services without one, whose cold servers would get
// too few requests.
Test(ColdLimiter, WithoutARateColdServersAreUsedAsBefore) {
  LimitedService limited(0);
  for (ListedServer& row : limited.rows) {
    row.is_cold = true;
  }
  limited.directory.ApplyListing(limited.now, limited.rows);
  cr_assert_eq(limited.Place(50), 50U);
  const ColdReport report = limited.directory.TakeColdReport(limited.now);
  cr_assert(report.held_back == 0 && report.sends == 0 &&
            report.changes.empty());
  limited.directory.OnFailure(limited.now, ServerIndex(1),
                              SendFailure::kUnreachable);
  cr_assert(
      limited.directory.TakeReturnProbes(limited.now + seconds(9)).empty(),
      "expected no probes without a limit");
}

// Guards against a hedge or a retry that goes to a cold server although a warm
// one is available, and against reports that repeat or miss a change.
Test(ColdLimiter, ColdServerIsUsedOnlyWithoutAWarmOneAndIsReported) {
  LimitedService limited(1);
  limited.rows[0].is_cold = true;
  limited.directory.ApplyListing(limited.now, limited.rows);
  const std::vector<ServerIndex> tried = {ServerIndex(2)};
  cr_assert_not(
      limited.directory
          .PlaceAttempt(limited.now, limited.service, milliseconds(10), tried,
                        LeastExpectedDelay(), limited.random)
          .has_value(),
      "expected no send to the cold server");
  ColdReport report = limited.directory.TakeColdReport(limited.now);
  cr_assert(report.changes.size() == 1 && report.held_back == 1 &&
            report.changes[0].reason == ColdReason::kListed);
  limited.rows[1].is_cold = true;
  limited.directory.ApplyListing(limited.now, limited.rows);
  cr_assert_eq(limited.Place(10), 2U, "expected one send to each server");
  cr_assert_not(
      limited.directory.HasAvailableServer(limited.now, limited.service),
      "expected no further send");
  report = limited.directory.TakeColdReport(limited.now);
  cr_assert(report.sends == 2 && report.held_back == 2 &&
            report.changes.size() == 1);
  limited.rows[0].is_cold = false;
  limited.directory.ApplyListing(limited.now, limited.rows);
  cr_assert_eq(limited.Place(10), 10U, "expected no limit for a warm server");
  report = limited.directory.TakeColdReport(limited.now);
  cr_assert(report.held_back == 1 && report.changes.size() == 1 &&
            report.changes[0].reason == ColdReason::kNone);
}

// Guards against a request of every entry VM to each server of a data centre
// that was cut off, because only some of its servers were found unreachable.
Test(ColdLimiter, ServersOfACutOffDataCentreAreHeldBackUntilAfterTheCut) {
  LimitedService limited(1);
  BackendDirectory& directory = limited.directory;
  for (int i = 0; i < 4; ++i) {
    directory.OnUncountedOutcome(limited.now, ServerIndex(1), seconds(1), {},
                                 false);
  }
  limited.now += seconds(1);
  const auto reason_of_other = [&] {
    ColdReason reason = ColdReason::kNone;
    for (const ColdChange& change :
         directory.TakeColdReport(limited.now).changes) {
      reason = change.server == ServerIndex(2) ? change.reason : reason;
    }
    return reason;
  };
  cr_assert(reason_of_other() == ColdReason::kCutOff);
  directory.OnUncountedOutcome(limited.now, ServerIndex(1), milliseconds(1), {},
                               true);
  directory.ConfirmListing(limited.now + milliseconds(999));
  cr_assert_eq(directory.TakeColdReport(limited.now).held_back, 2U);
  directory.ConfirmListing(limited.now + seconds(1));
  cr_assert_eq(directory.TakeColdReport(limited.now).held_back, 0U);
}

}  // namespace marigold
