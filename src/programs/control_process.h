#ifndef SRC_PROGRAMS_CONTROL_PROCESS_H_
#define SRC_PROGRAMS_CONTROL_PROCESS_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "src/core/result.h"
#include "src/net/control/aggregator_sharing.h"
#include "src/net/control/control_driver.h"
#include "src/net/control/control_server.h"
#include "src/net/control/hint_relay.h"
#include "src/net/control/quota_relay.h"
#include "src/net/control/subscriber_hub.h"
#include "src/net/http/http_server.h"
#include "src/net/worker_pool.h"
#include "src/queries/known_data_centres.h"
#include "src/tables/control_table.h"
#include "src/tables/listing_table.h"
#include "src/tables/quota_coordination_table.h"

namespace marigold {

struct ControlProcessSettings {
  Endpoint http;
  HttpServerLimits http_limits;
  std::int64_t workers = 4;
  ControlDriverSettings driver;
};

// The components of a control process. Starts and stops them in the required
// order.
class ControlProcess {
 public:
  explicit ControlProcess(const ControlProcessSettings& process_settings);

  ControlProcess(const ControlProcess&) = delete;
  ControlProcess& operator=(const ControlProcess&) = delete;

  // Opens the data folder and listens on the addresses of the settings. Fails
  // with `IoError` or `ParseError`. `handler` answers the HTTP requests.
  Result<void> Open(HttpHandler handler);

  // Serves until a signal arrives. Calls `reload_handler` on each SIGHUP.
  void Serve(std::function<void()> reload_handler = [] {});

  // Answers `GET /state`, `/metrics` and `/health`.
  HttpResponse AnswerHttp(const HttpRequest& request) const;

  // Says whether this VM has heard of the data centre.
  DataCentreKnowledge FindDataCentre(const DataCentreId& data_centre) const;

  WorkerPool& workers() { return this->pool; }
  ControlTable& control_table() { return this->table; }
  ListingTable& listing_table() { return this->listing; }
  // Must not be called before `Open` has succeeded.
  ControlDriver& control_driver() { return *this->driver; }

 private:
  std::shared_ptr<HintRelay> MakeHintRelay();
  std::shared_ptr<AggregatorSharing> MakeAggregatorSharing();
  QuotaSenders MakeQuotaSenders();

  ControlProcessSettings settings;
  // Declared before the pool, because its threads may use the tables until it
  // is destroyed.
  ControlTable table;
  ListingTable listing;
  QuotaCoordinationTable quotas;
  WorkerPool pool;
  std::shared_ptr<SubscriberHub> hub;
  std::shared_ptr<QuotaRelay> quota_relay;
  std::shared_ptr<ControlDriver> driver;
  std::shared_ptr<AggregatorSharing> sharing;
  std::unique_ptr<ControlServer> server;
  std::unique_ptr<HttpServer> http;
};

}  // namespace marigold

#endif  // SRC_PROGRAMS_CONTROL_PROCESS_H_
