#ifndef TOOLS_LOAD_BALANCER_H_
#define TOOLS_LOAD_BALANCER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "src/core/settings_values.h"
#include "src/core/units.h"
#include "src/net/http/http_client.h"
#include "src/net/worker_pool.h"

namespace marigold {

struct BalancerSettings {
  std::vector<Endpoint> entries;
  // Connections to each entry VM.
  std::size_t connections_per_entry = 32;
  // Between two health checks of an entry VM.
  Duration health_interval = std::chrono::milliseconds(100);
};

struct BalancedRequest {
  std::string path;
  std::string body;
  Duration timeout{};
  // Runs once, on any worker.
  std::function<void(ExchangeOutcome)> on_outcome;
};

// Spreads requests over entry VMs as the platform's balancer does: in turn, and
// only to those whose health check succeeds. A request of which no byte was
// sent goes to another entry VM; no other request is sent twice. Requests wait
// while all connections are in use.
class Balancer {
 public:
  Balancer(WorkerPool& worker_pool, BalancerSettings balancer_settings);
  ~Balancer();

  Balancer(const Balancer&) = delete;
  Balancer& operator=(const Balancer&) = delete;

  // Begins the health checks.
  void Start();

  void Send(BalancedRequest request);

  // Sends to the entry VM of this number, healthy or not, on a connection of
  // its own.
  void SendTo(std::size_t entry, BalancedRequest request);

  struct Impl;

 private:
  std::shared_ptr<Impl> impl;
};

}  // namespace marigold

#endif  // TOOLS_LOAD_BALANCER_H_
