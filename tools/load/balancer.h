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
  // The maximum number of connections to each entry VM.
  std::size_t connections_per_entry = 32;
  // The time from the end of a health check of an entry VM to the next one.
  Duration health_interval = std::chrono::milliseconds(100);
};

struct BalancedRequest {
  std::string path;
  std::string body;
  // The maximum time from sending the request to the complete response.
  Duration timeout{};
  // Called exactly once, on any thread of the pool.
  std::function<void(ExchangeOutcome)> on_outcome;
};

// Distributes requests over entry VMs as the platform's load balancer does:
// round robin over the entry VMs whose last health check succeeded, or over all
// of them if none did. A request of which no byte was sent is sent again to the
// next entry VM. No other request is sent twice. Requests are queued while all
// connections are in use.
class Balancer {
 public:
  Balancer(WorkerPool& worker_pool, BalancerSettings balancer_settings);
  ~Balancer();

  Balancer(const Balancer&) = delete;
  Balancer& operator=(const Balancer&) = delete;

  // Starts the health checks. Until its first one ends, an entry VM counts as
  // healthy.
  void Start();

  // Sends the request, or queues it. Does not block.
  void Send(BalancedRequest request);

  // Sends the request to entry VM number `entry` of the settings, healthy or
  // not, on a new connection. Never sends it again.
  void SendTo(std::size_t entry, BalancedRequest request);

  struct Impl;

 private:
  std::shared_ptr<Impl> impl;
};

}  // namespace marigold

#endif  // TOOLS_LOAD_BALANCER_H_
