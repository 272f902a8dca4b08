#ifndef TOOLS_STANDIN_STANDIN_SYSTEM_H_
#define TOOLS_STANDIN_STANDIN_SYSTEM_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "src/core/result.h"
#include "src/net/worker_pool.h"
#include "tools/standin/action_record.h"
#include "tools/standin/platform_table.h"
#include "tools/standin/searcher.h"
#include "tools/standin/topology.h"

namespace marigold {

// The searchers of a stand-in and their initial behaviour.
struct StandinSystemSettings {
  std::vector<SearcherPlace> places;
  SearcherBehaviour behaviour;
  // Each server loads new snapshots after a fixed random delay of up to this.
  Duration snapshot_stagger{};
  // The fraction of servers that report their load as `behaviour.report` says.
  // The others report the true load without lag.
  Fraction misleading_share{1};
  // The time after which the platform's VM list shows a change.
  Duration list_lag{};
  // The file for the record of actions. Empty for a record in memory only.
  std::string action_record;
  std::uint64_t seed = 1;
};

// All searchers of a deployment and their shared state.
struct StandinSystem {
  std::unique_ptr<ActionRecord> record;
  std::unique_ptr<PlatformTable> platform;
  std::vector<std::shared_ptr<Searcher>> searchers;
};

// Starts all searchers. Fails with `IoError` if the record can't be opened or a
// searcher can't listen.
Result<StandinSystem> StartStandinSystem(WorkerPool& pool,
                                         const StandinSystemSettings& settings);

// Derives the seed of one server, so that servers do not share a random
// sequence.
std::uint64_t SeedOf(std::uint64_t seed, std::size_t server_number);

}  // namespace marigold

#endif  // TOOLS_STANDIN_STANDIN_SYSTEM_H_
