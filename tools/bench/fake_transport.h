#ifndef TOOLS_BENCH_FAKE_TRANSPORT_H_
#define TOOLS_BENCH_FAKE_TRANSPORT_H_

#include <cstdint>
#include <functional>
#include <unordered_map>
#include <vector>

#include "src/policy/backend_messages.h"
#include "tools/bench/deployment.h"
#include "tools/bench/event_queue.h"
#include "tools/bench/fake_backends.h"

namespace marigold {

// Delivers attempts from the simulated entry VM to the fake servers. Simulates
// network delays, the time to connect and silent connections.
class FakeTransport {
 public:
  using OnOutcome = std::function<void(AttemptOutcome)>;

  FakeTransport(const Deployment& sizes,
                EventQueue& event_queue,
                FakeBackends& fake_backends);

  // Commands.

  // Calls `on_outcome` at most once, and not after `Cancel`.
  void Send(const SendAttempt& attempt, OnOutcome on_outcome);

  void Cancel(const CancelAttempt& attempt);

  // Makes every second idle connection to a server silent.
  void SilenceConnections(std::size_t position);

  // Queries.

  // Maximum number of connections from this entry VM to each server.
  std::uint32_t ConnectionsPerServer() const;

  std::uint64_t connects() const { return this->connect_count; }

 private:
  struct Pool {
    // One element per idle connection. True if the connection is silent.
    std::vector<bool> idle_is_silent;
  };

  struct InFlightAttempt {
    SendAttempt attempt;
    OnOutcome on_outcome;
    bool on_silent_connection = false;
  };

  void Arrive(AttemptId id);
  void Deliver(AttemptId id, AttemptOutcome outcome);
  void Connect(std::size_t position);
  void ReturnConnection(const InFlightAttempt& in_flight_attempt);

  const Deployment& deployment;
  EventQueue& events;
  FakeBackends& backends;
  std::vector<Pool> pools;
  std::unordered_map<AttemptId, InFlightAttempt> in_flight_by_id;
  std::uint64_t connect_count = 0;
};

}  // namespace marigold

#endif  // TOOLS_BENCH_FAKE_TRANSPORT_H_
