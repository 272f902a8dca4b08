#ifndef TOOLS_BENCH_FAKE_BACKENDS_H_
#define TOOLS_BENCH_FAKE_BACKENDS_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "src/core/units.h"
#include "src/policy/server_view.h"
#include "tools/bench/deployment.h"
#include "tools/bench/fake_server.h"

namespace marigold {

// The data centre of the simulated entry VM is the first one.
struct FakeBackend {
  std::uint32_t shard = 0;
  std::uint32_t replica = 0;
  std::uint32_t data_centre = 0;
  ServerRecord record;
  // Messages to and from the server are lost otherwise.
  bool is_reachable = true;
  // In the platform's list.
  bool is_listed = true;
  // Its part of the shard's background load, relative to the other replicas.
  double background_weight = 1;
  std::unique_ptr<FakeServer> server;
};

// All backend servers that the simulated entry VM uses, with the load that the
// other entry VMs put on them.
class FakeBackends {
 public:
  FakeBackends(const Deployment& sizes,
               Fraction offered_load,
               const ServiceTimes& times,
               std::uint64_t seed);

  // Commands.

  // Divides the background load of each shard by the replicas' weights.
  void DistributeBackground(MonotonicTime now);

  // The other entry VMs offer `factor` times their ordinary load.
  void SetBackgroundFactor(MonotonicTime now, double factor);

  // Begins or ends to measure the busy slots of all servers.
  void MeasureBusy(MonotonicTime now, bool measure);

  // Queries.

  // The share of busy slots while they were measured.
  double BusyShare() const;

  // Members by shard, then replica. Positions are the fleet's indices less 1.
  std::vector<FakeBackend>& members() { return this->backends; }
  FakeBackend& BackendAt(std::uint32_t shard, std::uint32_t replica) {
    return this->backends[shard * this->deployment.replicas + replica];
  }
  std::vector<ServerRecord> Records() const;
  Duration OneWayDelayTo(const FakeBackend& backend) const;

  // Sub-requests per second that one server can do, stragglers included.
  double ServerCapacity() const;

 private:
  const Deployment& deployment;
  Fraction load;
  Duration mean_time;
  double background_factor = 1;
  std::vector<FakeBackend> backends;
};

// The name of a data centre in the fakes.
DataCentreId DataCentreName(std::uint32_t number);

// A manifest of `shard_count` shards of which one server carries `held_shard`.
ManifestReport MakeManifest(SnapshotId snapshot,
                            std::uint32_t shard_count,
                            std::uint32_t held_shard);

}  // namespace marigold

#endif  // TOOLS_BENCH_FAKE_BACKENDS_H_
