#include "tools/standin/admin_commands.h"

#include <functional>
#include <set>

#include "src/core/clock.h"
#include "src/core/log.h"

namespace marigold {

namespace {

using BehaviourChange = std::function<void(SearcherBehaviour&)>;

bool Matches(const AdminCommand& command, const ServerRecord& record) {
  return (command.server.empty() || command.server == record.server.value()) &&
         (command.service.empty() ||
          command.service == record.service.value()) &&
         (command.data_centre.empty() ||
          command.data_centre == record.data_centre.value());
}

std::vector<std::shared_ptr<Searcher>> FindTargets(
    const AdminCommand& command,
    const StandinSystem& system) {
  std::vector<std::shared_ptr<Searcher>> targets;
  for (const auto& searcher : system.searchers) {
    if (Matches(command, searcher->record())) {
      targets.push_back(searcher);
    }
  }
  return targets;
}

// Returns a function that applies the command to a server's behaviour, or null
// if the command does not change the behaviour.
BehaviourChange MakeBehaviourChange(const AdminCommand& command) {
  switch (command.change) {
    case AdminChange::kDrain:
      return [](SearcherBehaviour& behaviour) { behaviour.draining = true; };
    case AdminChange::kUndrain:
      return [](SearcherBehaviour& behaviour) { behaviour.draining = false; };
    case AdminChange::kDelay:
      return [command](SearcherBehaviour& behaviour) {
        behaviour.added_delay = command.duration;
      };
    case AdminChange::kServiceTime:
      return [command](SearcherBehaviour& behaviour) {
        behaviour.service_time.median = command.duration;
      };
    case AdminChange::kActionTime:
      return [command](SearcherBehaviour& behaviour) {
        behaviour.action_time = command.duration;
      };
    case AdminChange::kStragglers:
      return [command](SearcherBehaviour& behaviour) {
        behaviour.service_time.straggler_share = Fraction(command.share);
        behaviour.service_time.straggler_factor = command.factor;
      };
    case AdminChange::kShed:
      return [command](SearcherBehaviour& behaviour) {
        behaviour.shed_share = Fraction(command.share);
      };
    case AdminChange::kFault:
      return [command](SearcherBehaviour& behaviour) {
        behaviour.faults.shares[static_cast<std::size_t>(command.fault)] =
            command.share;
      };
    case AdminChange::kReport:
      return [command](SearcherBehaviour& behaviour) {
        behaviour.report = {command.mode, command.duration};
      };
    default:
      return nullptr;
  }
}

std::size_t Publish(const AdminCommand& command,
                    MonotonicTime now,
                    const StandinSystem& system) {
  std::set<ServiceId> services;
  for (const auto& searcher : FindTargets(command, system)) {
    services.insert(searcher->record().service);
  }
  std::optional<std::uint64_t> shards;
  if (command.change == AdminChange::kRepartition) {
    shards = command.shards;
  }
  for (const ServiceId& service : services) {
    const auto layout = system.platform->Publish(now, service, shards);
    LogEvent(LogLevel::kInfo, "snapshot_published",
             {{"service", service.value()},
              {"snapshot", layout->snapshot.value()},
              {"shards", layout->shards}});
  }
  return services.size();
}

Result<void> ChangeServer(const AdminCommand& command,
                          MonotonicTime now,
                          PlatformTable& platform,
                          Searcher& searcher) {
  const BackendServerId server = searcher.record().server;
  switch (command.change) {
    case AdminChange::kLeave:
      platform.SetPresence(now, server, Presence::kLeaving);
      break;
    case AdminChange::kStay:
      platform.SetPresence(now, server, Presence::kLive);
      searcher.OnLeavingCancelled();
      break;
    case AdminChange::kKill:
      platform.SetPresence(now, server, Presence::kGone);
      searcher.Kill();
      break;
    case AdminChange::kReturn:
      searcher.ChangeBehaviour(
          [](SearcherBehaviour& behaviour) { behaviour.draining = false; });
      BOOST_LEAF_CHECK(searcher.Start());
      platform.SetPresence(now, server, Presence::kLive);
      break;
    case AdminChange::kSilence:
      searcher.SilenceConnections();
      break;
    case AdminChange::kFreeze:
      searcher.Freeze();
      break;
    case AdminChange::kThaw:
      searcher.Thaw();
      break;
    case AdminChange::kReset:
      searcher.ResetConnections();
      break;
    default:
      searcher.ChangeBehaviour(MakeBehaviourChange(command));
  }
  return {};
}

}  // namespace

Result<std::size_t> RunAdminCommand(const AdminCommand& command,
                                    StandinSystem& system) {
  const MonotonicTime now = SystemClock().Now();
  if (command.change == AdminChange::kListLag) {
    system.platform->SetListLag(command.duration);
    return system.searchers.size();
  }
  if (command.change == AdminChange::kAdvanceSnapshot ||
      command.change == AdminChange::kRepartition) {
    return Publish(command, now, system);
  }
  const auto targets = FindTargets(command, system);
  for (const auto& searcher : targets) {
    BOOST_LEAF_CHECK(ChangeServer(command, now, *system.platform, *searcher));
  }
  return targets.size();
}

void OnListRead(const PlatformVmList& list, StandinSystem& system) {
  std::set<BackendServerId> leaving;
  for (const ServerRecord& record : list.servers) {
    if (record.is_leaving) {
      leaving.insert(record.server);
    }
  }
  for (const auto& searcher : system.searchers) {
    if (leaving.contains(searcher->record().server)) {
      searcher->OnShownAsLeaving();
    }
  }
}

}  // namespace marigold
