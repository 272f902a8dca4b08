#include "tools/bench/fake_backends.h"

#include <fmt/format.h>

#include <string>

namespace marigold {

namespace {

// Number of requests that may wait at a server per slot.
constexpr std::uint32_t kQueuePerSlot = 16;
constexpr SnapshotId kFirstSnapshot(1);

}  // namespace

FakeBackends::FakeBackends(const Deployment& sizes,
                           Fraction offered_load,
                           const ServiceTimes& times,
                           std::uint64_t seed)
    : deployment(sizes), load(offered_load), mean_time(times.Mean()) {
  SeededRandom seeds(seed);
  for (std::uint32_t shard = 0; shard < sizes.shards; ++shard) {
    for (std::uint32_t replica = 0; replica < sizes.replicas; ++replica) {
      FakeBackend& backend = this->backends.emplace_back();
      backend.shard = shard;
      backend.replica = replica;
      backend.data_centre = (shard + replica) % sizes.data_centres;
      backend.record.server =
          BackendServerId(fmt::format("searcher-{}-{}", shard, replica));
      backend.record.service = ServiceId(std::string(sizes.service));
      backend.record.data_centre = DataCentreName(backend.data_centre);
      FakeServerSettings settings;
      settings.slots = sizes.slots;
      settings.max_queued = sizes.slots * kQueuePerSlot;
      backend.server =
          std::make_unique<FakeServer>(settings, times, seeds.Next());
      backend.server->SetSnapshots(
          {MakeManifest(kFirstSnapshot, sizes.shards, shard)});
    }
  }
  this->DistributeBackground(MonotonicTime());
}

void FakeBackends::DistributeBackground(MonotonicTime now) {
  const double others_share =
      1 - 1 / static_cast<double>(this->deployment.entry_vms);
  const double shard_rate = this->ServerCapacity() * this->load.value() *
                            others_share * this->background_factor *
                            this->deployment.replicas;
  for (std::uint32_t shard = 0; shard < this->deployment.shards; ++shard) {
    double weight_sum = 0;
    for (std::uint32_t i = 0; i < this->deployment.replicas; ++i) {
      weight_sum += this->BackendAt(shard, i).background_weight;
    }
    for (std::uint32_t i = 0; i < this->deployment.replicas; ++i) {
      FakeBackend& backend = this->BackendAt(shard, i);
      const double share =
          weight_sum > 0 ? backend.background_weight / weight_sum : 0;
      const RatePerSecond rate(shard_rate * share);
      if (backend.server->background() != rate) {
        backend.server->SetBackground(now, rate);
      }
    }
  }
}

void FakeBackends::SetBackgroundFactor(MonotonicTime now, double factor) {
  this->background_factor = factor;
  this->DistributeBackground(now);
}

void FakeBackends::MeasureBusy(MonotonicTime now, bool measure) {
  for (FakeBackend& backend : this->backends) {
    backend.server->MeasureBusy(now, measure);
  }
}

double FakeBackends::BusyShare() const {
  double sum = 0;
  std::uint64_t samples = 0;
  for (const FakeBackend& backend : this->backends) {
    sum += backend.server->busy_sum();
    samples += backend.server->busy_samples();
  }
  return samples > 0 ? sum / static_cast<double>(samples) : 0;
}

std::vector<ServerRecord> FakeBackends::Records() const {
  std::vector<ServerRecord> records;
  for (const FakeBackend& backend : this->backends) {
    if (backend.is_listed) {
      records.push_back(backend.record);
    }
  }
  return records;
}

Duration FakeBackends::OneWayDelayTo(const FakeBackend& backend) const {
  constexpr Duration kLocalDelay = std::chrono::microseconds(100);
  return backend.data_centre == 0
             ? kLocalDelay
             : kLocalDelay + this->deployment.cross_data_centre_delay;
}

double FakeBackends::ServerCapacity() const {
  return static_cast<double>(this->deployment.slots) /
         ToSeconds(this->mean_time);
}

DataCentreId DataCentreName(std::uint32_t number) {
  return DataCentreId(fmt::format("dc{}", number));
}

ManifestReport MakeManifest(SnapshotId snapshot,
                            std::uint32_t shard_count,
                            std::uint32_t held_shard) {
  ManifestReport manifest;
  manifest.snapshot = snapshot;
  for (std::uint32_t shard = 0; shard < shard_count; ++shard) {
    manifest.all_shards.emplace_back(shard);
  }
  manifest.shards = {ShardId(held_shard)};
  return manifest;
}

}  // namespace marigold
