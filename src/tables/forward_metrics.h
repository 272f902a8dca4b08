#ifndef SRC_TABLES_FORWARD_METRICS_H_
#define SRC_TABLES_FORWARD_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "src/core/units.h"
#include "src/tables/admission_table.h"

namespace marigold {

// Counters and latencies of forwarded requests, served on the metrics address.
class ForwardMetrics {
 public:
  ForwardMetrics();

  // Commands.

  // `state` is a stable text such as "answered".
  void OnFinished(std::string_view state, Duration latency);
  void OnSend(bool is_repeated);
  void OnSendFailure(std::string_view failure);
  void OnRefused(std::string_view reason);
  // A request has ended that met congestion at backend servers. `degree` is a
  // stable text such as "queueing".
  void OnCongestion(std::string_view degree);
  // Sets the numbers of requests that the admission holds and permits.
  void SetAdmission(const AdmissionStatus& status);
  void OnPartialAnswer();
  // A server said something about itself. `kind` is a stable text such as
  // "pause".
  void OnServerNotice(std::string_view kind);
  // Sets the time since a control VM last confirmed that the lists are the
  // newest.
  void SetListsConfirmedAge(Duration age);
  // Sets the number of evacuated data centres.
  void SetEvacuated(std::size_t data_centres);
  // Sets the number of servers that are held back as possibly cold, and adds
  // the sends to them.
  void OnColdServers(std::size_t held_back, std::uint64_t sends);
  // A query for a group of shards. `event` is a stable text such as "sent".
  void OnGroupQuery(std::string_view event);

  // Queries.

  // All metrics in the Prometheus text format.
  std::string Render() const;

 private:
  std::shared_ptr<prometheus::Registry> registry;
  prometheus::Family<prometheus::Counter>& finished;
  prometheus::Family<prometheus::Counter>& sends;
  prometheus::Family<prometheus::Counter>& failures;
  prometheus::Family<prometheus::Counter>& refusals;
  prometheus::Family<prometheus::Counter>& congestions;
  prometheus::Gauge& admission_running;
  prometheus::Gauge& admission_waiting;
  prometheus::Gauge& admission_capacity;
  prometheus::Family<prometheus::Counter>& group_queries;
  prometheus::Family<prometheus::Counter>& server_notices;
  prometheus::Gauge& lists_confirmed_age;
  prometheus::Gauge& evacuated;
  prometheus::Gauge& cold_servers;
  prometheus::Counter& cold_sends;
  prometheus::Counter& partial;
  prometheus::Counter& first_sends;
  prometheus::Counter& repeated_sends;
  prometheus::Histogram& latencies;
};

}  // namespace marigold

#endif  // SRC_TABLES_FORWARD_METRICS_H_
