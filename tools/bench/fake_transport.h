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

// Carries attempts from the simulated entry VM to the fake servers: distances,
// connections that have to be made, connections that went silent.
class FakeTransport {
 public:
  using OnOutcome = std::function<void(AttemptOutcome)>;

  FakeTransport(const Deployment& sizes,
                EventQueue& event_queue,
                FakeBackends& fake_backends);

  // Commands.

  // Reports an outcome at most once, and none after `Cancel`.
  void Send(const SendAttempt& attempt, OnOutcome on_outcome);

  void Cancel(const CancelAttempt& attempt);

  // Lets every second idle connection to a server go silent.
  void SilenceConnections(std::size_t position);

  // Queries.

  // Connections to each server that this entry VM may have.
  std::uint32_t ConnectionsPerServer() const;

  std::uint64_t connects() const { return this->connect_count; }

 private:
  struct Pool {
    // True for a connection that is silent.
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
