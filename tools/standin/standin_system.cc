#include "tools/standin/standin_system.h"

#include <utility>

namespace marigold {

namespace {

SearcherBehaviour BehaviourOf(const StandinSystemSettings& settings,
                              SeededRandom& random) {
  SearcherBehaviour behaviour = settings.behaviour;
  behaviour.snapshot_delay =
      FromSeconds(ToSeconds(settings.snapshot_stagger) * random.NextDouble());
  if (random.NextDouble() >= settings.misleading_share.value()) {
    behaviour.report = {};
  }
  return behaviour;
}

}  // namespace

std::uint64_t SeedOf(std::uint64_t seed, std::size_t server_number) {
  SeededRandom random(seed ^ (server_number * 0x2545f4914f6cdd1d));
  return random.Next();
}

Result<StandinSystem> StartStandinSystem(
    WorkerPool& pool,
    const StandinSystemSettings& settings) {
  StandinSystem system;
  BOOST_LEAF_ASSIGN(system.record, ActionRecord::Open(settings.action_record));
  system.platform = std::make_unique<PlatformTable>(settings.places);
  system.platform->SetListLag(settings.list_lag);
  SeededRandom random(settings.seed);
  for (const SearcherPlace& place : settings.places) {
    const std::uint64_t seed = SeedOf(settings.seed, system.searchers.size());
    auto searcher =
        std::make_shared<Searcher>(pool, *system.platform, *system.record,
                                   place, BehaviourOf(settings, random), seed);
    BOOST_LEAF_CHECK(searcher->Start());
    system.searchers.push_back(std::move(searcher));
  }
  return system;
}

}  // namespace marigold
