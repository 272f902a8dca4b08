#include "tools/bench/fake_transport.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace marigold {

namespace {

constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);
// A connection is closed if it delivers no byte for this long while a reply is
// expected.
constexpr Duration kSilenceTimeout = std::chrono::seconds(1);
constexpr std::size_t kInitialIdleConnections = 2;

}  // namespace

FakeTransport::FakeTransport(const Deployment& sizes,
                             EventQueue& event_queue,
                             FakeBackends& fake_backends)
    : deployment(sizes),
      events(event_queue),
      backends(fake_backends),
      pools(fake_backends.members().size()) {
  for (Pool& pool : this->pools) {
    pool.idle_is_silent.assign(kInitialIdleConnections, false);
  }
}

void FakeTransport::Send(const SendAttempt& attempt, OnOutcome on_outcome) {
  const std::size_t position = attempt.server.value() - 1;
  const FakeBackend& backend = this->backends.members()[position];
  Pool& pool = this->pools[position];
  InFlightAttempt& in_flight_attempt = this->in_flight_by_id[attempt.attempt];
  in_flight_attempt = {attempt, std::move(on_outcome), false};
  const AttemptId id = attempt.attempt;
  Duration delay = this->backends.OneWayDelayTo(backend);
  if (!pool.idle_is_silent.empty()) {
    in_flight_attempt.on_silent_connection = pool.idle_is_silent.back();
    pool.idle_is_silent.pop_back();
  } else if (backend.is_reachable && !backend.server->is_unresponsive()) {
    delay += this->deployment.connect_time;
    ++this->connect_count;
  } else {
    this->events.After(kConnectTimeout, [this, id] {
      this->Deliver(id, AttemptFailure::kNotSent);
    });
    return;
  }
  if (in_flight_attempt.on_silent_connection) {
    this->events.After(kSilenceTimeout, [this, id] {
      this->Deliver(id, AttemptFailure::kConnectionLost);
    });
    return;
  }
  this->events.After(delay, [this, id] { this->Arrive(id); });
  if (attempt.kind == AttemptKind::kTrial) {
    this->events.At(attempt.deadline, [this, id] {
      this->Deliver(id, AttemptFailure::kTimeout);
    });
  }
}

void FakeTransport::Arrive(AttemptId id) {
  const auto position = this->in_flight_by_id.find(id);
  if (position == this->in_flight_by_id.end()) {
    return;
  }
  const SendAttempt& attempt = position->second.attempt;
  const FakeBackend& backend =
      this->backends.members()[attempt.server.value() - 1];
  if (!backend.is_reachable) {
    return;
  }
  const Duration one_way_delay = this->backends.OneWayDelayTo(backend);
  const MonotonicTime now = this->events.now();
  FakeServer& server = *backend.server;
  const FakeServer::Acceptance acceptance =
      server.Accept(now, id, attempt.snapshot, attempt.shard);
  if (const auto* failure = std::get_if<AttemptFailure>(&acceptance)) {
    this->events.After(one_way_delay, [this, id, failure = *failure] {
      this->Deliver(id, failure);
    });
    return;
  }
  if (const auto* ready = std::get_if<MonotonicTime>(&acceptance)) {
    const SubReply reply{id, attempt.snapshot, attempt.shard, {}};
    this->events.At(*ready, [this, id, one_way_delay, reply, &backend] {
      if (!this->in_flight_by_id.contains(id) || !backend.is_reachable ||
          backend.server->is_unresponsive()) {
        return;
      }
      const LoadReport report = backend.server->Report(this->events.now());
      this->events.After(one_way_delay, [this, id, reply, report] {
        this->Deliver(id, SubResponse{reply, report});
      });
    });
  }
}

void FakeTransport::Deliver(AttemptId id, AttemptOutcome outcome) {
  const auto position = this->in_flight_by_id.find(id);
  if (position == this->in_flight_by_id.end()) {
    return;
  }
  const InFlightAttempt in_flight_attempt = std::move(position->second);
  this->in_flight_by_id.erase(position);
  const auto* failure = std::get_if<AttemptFailure>(&outcome);
  if (failure == nullptr || SurelyDidNotRun(*failure)) {
    this->ReturnConnection(in_flight_attempt);
  } else {
    // After a failure on one connection, probes detect the silent connections
    // among the idle ones.
    Pool& pool = this->pools[in_flight_attempt.attempt.server.value() - 1];
    std::erase(pool.idle_is_silent, true);
    this->Connect(in_flight_attempt.attempt.server.value() - 1);
  }
  in_flight_attempt.on_outcome(std::move(outcome));
}

void FakeTransport::ReturnConnection(const InFlightAttempt& in_flight_attempt) {
  Pool& pool = this->pools[in_flight_attempt.attempt.server.value() - 1];
  if (pool.idle_is_silent.size() < this->ConnectionsPerServer()) {
    pool.idle_is_silent.push_back(false);
  }
}

void FakeTransport::Cancel(const CancelAttempt& attempt) {
  const auto position = this->in_flight_by_id.find(attempt.attempt);
  if (position == this->in_flight_by_id.end()) {
    return;
  }
  this->in_flight_by_id.erase(position);
  const std::size_t member = attempt.server.value() - 1;
  const FakeBackend& backend = this->backends.members()[member];
  // The connection is closed because the reply may still arrive on it. A new
  // connection replaces it.
  this->Connect(member);
  if (backend.is_reachable) {
    this->events.After(this->backends.OneWayDelayTo(backend),
                       [this, &backend, id = attempt.attempt] {
                         backend.server->Cancel(this->events.now(), id);
                       });
  }
}

void FakeTransport::Connect(std::size_t position) {
  this->events.After(this->deployment.connect_time, [this, position] {
    const FakeBackend& backend = this->backends.members()[position];
    Pool& pool = this->pools[position];
    if (backend.is_reachable && !backend.server->is_unresponsive() &&
        pool.idle_is_silent.size() < this->ConnectionsPerServer()) {
      ++this->connect_count;
      pool.idle_is_silent.push_back(false);
    }
  });
}

void FakeTransport::SilenceConnections(std::size_t position) {
  Pool& pool = this->pools[position];
  for (std::size_t i = 0; i < pool.idle_is_silent.size(); i += 2) {
    pool.idle_is_silent[i] = true;
  }
}

std::uint32_t FakeTransport::ConnectionsPerServer() const {
  return std::max(
      this->deployment.connection_limit / this->deployment.entry_vms, 1U);
}

}  // namespace marigold
