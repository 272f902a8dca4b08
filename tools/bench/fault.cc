#include "tools/bench/fault.h"

#include <algorithm>

namespace marigold {

namespace {

constexpr FaultRow kRows[] = {
    {Fault::kStragglers, "stragglers",
     "1% of sub-requests take 20 times as long"},
    {Fault::kSlowServer, "slow-server", "one server takes 10 times as long"},
    {Fault::kLostReplica, "lost-replica",
     "one replica of every shard stops responding without notice"},
    {Fault::kColdStart, "cold-start",
     "one replica of every shard restarts, one after another, and is slow at "
     "first"},
    {Fault::kShed, "shed",
     "the other entry VMs overload the servers for 5 s of every 20 s"},
    {Fault::kSkewedLoad, "skewed-load",
     "one replica of each shard has more background load than the others"},
    {Fault::kLyingReports, "lying-reports",
     "skewed load; the busier replica reports no load and another one a queue"},
    {Fault::kLaggingList, "lagging-list",
     "servers drain and leave 10 s before the platform's list shows it"},
    {Fault::kSilentConnections, "silent-connections",
     "every 10 s half of the connections to a third of the servers go silent"},
    {Fault::kSnapshotTurnover, "snapshot-turnover",
     "servers load a new snapshot, one replica of all shards at a time"},
    {Fault::kRepartition, "repartition",
     "a new snapshot with 1.5 times as many shards"},
    {Fault::kCutDataCentre, "cut-data-centre",
     "messages to and from one other data centre are lost for 30 s"},
    {Fault::kMirroredLoad, "mirrored-load",
     "the other entry VMs admit what the simulated one admits"},
    {Fault::kBurst, "burst",
     "ten times the load for 5 s of every 60 s, with mirrored load"},
    {Fault::kGreedyCustomer, "greedy-customer",
     "one customer offers 20 times its share, with mirrored load"},
};

static_assert(std::size(kRows) == kFaultCount);

}  // namespace

std::span<const FaultRow> FaultRows() {
  return kRows;
}

std::optional<Fault> ParseFault(std::string_view name) {
  const auto* row =
      std::find_if(std::begin(kRows), std::end(kRows),
                   [name](const FaultRow& item) { return item.name == name; });
  return row == std::end(kRows) ? std::nullopt : std::optional(row->fault);
}

}  // namespace marigold
