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

// A fake backend server: which snapshots it has loaded, and whether it runs.
struct FakeSearcher {
  ServerRecord record;
  // Servers of the same group carry the same part of every shard set.
  std::uint64_t group = 0;
  std::set<SnapshotId> loaded;
  bool is_running = true;
  bool is_draining = false;
  // When this entry VM was first told that the server is leaving.
  std::optional<MonotonicTime> leaving_since;
  // A late reply that nobody waits for any more.
  std::optional<SubReply> late_reply;
};

// Backend servers whose snapshots move and are repartitioned, with the reports
// and the platform list that reach one entry VM late.
class SearchSimulation {
 public:
  SearchSimulation(std::uint64_t seed, PlantedBug bug_to_plant);

  // Commands.

  void Start(MonotonicTime end);

  // What a server does with an attempt that arrives now; nothing if it stays
  // silent.
  std::optional<AttemptOutcome> Serve(const SendAttempt& attempt,
                                      const std::string& query);

  // Compares an answer with what the servers hold.
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
  // The shard set of every snapshot so far.
  std::map<SnapshotId, std::vector<ShardId>> shard_sets;
  SnapshotId newest_snapshot;
  std::uint64_t layout_count = 0;
  MonotonicTime stop_at;
};

}  // namespace marigold

#endif  // TOOLS_SOAK_SEARCH_SIMULATION_H_
