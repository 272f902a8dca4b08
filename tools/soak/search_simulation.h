#ifndef TOOLS_SOAK_SEARCH_SIMULATION_H_
#define TOOLS_SOAK_SEARCH_SIMULATION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/core/random.h"
#include "src/policy/backend_messages.h"
#include "src/tables/server_table.h"
#include "tools/soak/event_queue.h"
#include "tools/soak/invariant_checker.h"
#include "tools/soak/planted_bug.h"
#include "tools/soak/virtual_clock.h"

namespace marigold {

// State of a fake searcher: its loaded snapshots and whether it runs.
struct FakeSearcher {
  ServerRecord record;
  // Searchers of the same group hold the same part of every shard set.
  std::uint64_t group = 0;
  std::set<SnapshotId> loaded;
  bool is_running = true;
  bool is_draining = false;
  // When the entry VM was first told that the searcher is leaving. Empty if it
  // is not leaving.
  std::optional<MonotonicTime> leaving_since;
  // The reply to a cancelled attempt, if one has arrived.
  std::optional<SubReply> late_reply;
};

// Simulates searchers that load new and repartitioned snapshots. Their status
// reports and the platform list reach one entry VM with a delay.
class SearchSimulation {
 public:
  SearchSimulation(std::uint64_t seed, PlantedBug bug_to_plant);

  // Commands.

  void Start(MonotonicTime end);

  // Returns the outcome of an attempt that arrives at its server now. Empty if
  // the server does not answer.
  std::optional<AttemptOutcome> HandleAttempt(const SendAttempt& attempt,
                                              const std::string& query);

  // Reports a violation if an answer contradicts the shard sets or contains
  // matches of another snapshot or query.
  void CheckAnswer(const std::string& query, const SearchAnswer& answer);

  // Queries.

  EventQueue& events() { return this->event_queue; }
  SeededRandom& random() { return this->random_source; }
  InvariantChecker& checker() { return this->invariant_checker; }
  ServerTable& table() { return this->server_table; }
  PlantedBug planted_bug() const { return this->active_bug; }
  FakeSearcher& SearcherOf(ServerIndex index);

 private:
  std::vector<ShardId> ShardsOf(const FakeSearcher& searcher,
                                SnapshotId snapshot) const;
  bool HoldsShard(const FakeSearcher& searcher,
                  SnapshotId snapshot,
                  ShardId shard) const;
  StatusReport StatusOf(const FakeSearcher& searcher) const;
  void AdvanceSnapshot();
  void ReportStatuses();
  void SendPlatformList();
  void InjectServerFault();
  void CheckNotLeaving(const FakeSearcher& searcher);
  Duration RandomDurationUpTo(Duration longest);

  EventQueue event_queue;
  SeededRandom random_source;
  InvariantChecker invariant_checker;
  PlantedBug active_bug;
  VirtualClock clock;
  ServerTable server_table;
  std::vector<FakeSearcher> searchers;
  // The shard set of every snapshot published so far.
  std::map<SnapshotId, std::vector<ShardId>> shard_sets;
  SnapshotId newest_snapshot;
  std::uint64_t layout_count = 0;
  MonotonicTime end_at;
};

}  // namespace marigold

#endif  // TOOLS_SOAK_SEARCH_SIMULATION_H_
