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

// A backend server with its position in the deployment. Data centre 0 is that
// of the simulated entry VM.
struct FakeBackend {
  std::uint32_t shard = 0;
  std::uint32_t replica = 0;
  std::uint32_t data_centre = 0;
  ServerRecord record;
  // False if messages to and from the server are lost.
  bool is_reachable = true;
  // True if the platform's list contains the server.
  bool is_listed = true;
  // Weight of the server in the distribution of the shard's background load
  // over its replicas.
  double background_weight = 1;
  std::unique_ptr<FakeServer> server;
};

// All backend servers that the simulated entry VM uses, with the background
// load of the other entry VMs.
class FakeBackends {
 public:
  FakeBackends(const Deployment& sizes,
               Fraction offered_load,
               const ServiceTimes& times,
               std::uint64_t seed);

  // Commands.

  // Distributes the background load of each shard according to the weights of
  // its replicas.
  void DistributeBackground(MonotonicTime now);

  // Sets the load of the other entry VMs to `factor` times their ordinary load.
  void SetBackgroundFactor(MonotonicTime now, double factor);

  // Starts or stops measuring the busy slots of all servers.
  void MeasureBusy(MonotonicTime now, bool measure);

  // Queries.

  // The mean share of busy slots over the measured time, or 0 if nothing was
  // measured.
  double BusyShare() const;

  // All servers, ordered by shard and then by replica. A position is the
  // server's index in the fleet minus 1.
  std::vector<FakeBackend>& members() { return this->backends; }
  FakeBackend& BackendAt(std::uint32_t shard, std::uint32_t replica) {
    return this->backends[shard * this->deployment.replicas + replica];
  }
  std::vector<ServerRecord> Records() const;
  Duration OneWayDelayTo(const FakeBackend& backend) const;

  // Sub-requests per second that one server can process, including stragglers.
  double ServerCapacity() const;

 private:
  const Deployment& deployment;
  Fraction load;
  Duration mean_time;
  double background_factor = 1;
  std::vector<FakeBackend> backends;
};

// Returns the id of a simulated data centre.
DataCentreId DataCentreName(std::uint32_t number);

// Returns the manifest of a server that holds `held_shard` out of `shard_count`
// shards.
ManifestReport MakeManifest(SnapshotId snapshot,
                            std::uint32_t shard_count,
                            std::uint32_t held_shard);

}  // namespace marigold

#endif  // TOOLS_BENCH_FAKE_BACKENDS_H_
