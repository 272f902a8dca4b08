#ifndef SRC_PROGRAMS_CONTROL_PROCESS_H_
#define SRC_PROGRAMS_CONTROL_PROCESS_H_

#include <atomic>
#include <cstdint>
#include <memory>

#include "src/core/result.h"
#include "src/net/control/control_driver.h"
#include "src/net/control/control_server.h"
#include "src/net/control/hint_relay.h"
#include "src/net/control/subscriber_hub.h"
#include "src/net/http/http_server.h"
#include "src/net/worker_pool.h"
#include "src/tables/control_table.h"
#include "src/tables/listing_table.h"

namespace marigold {

struct ControlProcessSettings {
  Endpoint http;
  HttpServerLimits http_limits;
  std::int64_t workers = 4;
  ControlDriverSettings driver;
};

// The parts of one control process and their order of start and end.
class ControlProcess {
 public:
  explicit ControlProcess(const ControlProcessSettings& process_settings);

  ControlProcess(const ControlProcess&) = delete;
  ControlProcess& operator=(const ControlProcess&) = delete;

  // Opens the data folder and listens; fails with `IoError` and `ParseError`.
  // `handler` answers the HTTP address.
  Result<void> Open(HttpHandler handler);

  // Serves until a signal ends the process, or until its disk takes writes
  // again after a failure; gives the exit code.
  int Serve();

  // The process's own /state, /metrics and /health.
  HttpResponse AnswerHttp(const HttpRequest& request) const;

  WorkerPool& workers() { return this->pool; }
  ControlTable& control_table() { return this->table; }
  ListingTable& listing_table() { return this->listing; }
  // Set by `Open`.
  ControlDriver& control_driver() { return *this->driver; }

 private:
  std::shared_ptr<HintRelay> MakeHintRelay();

  ControlProcessSettings settings;
  // The tables outlive the pool, whose threads may still use them.
  ControlTable table;
  ListingTable listing;
  WorkerPool pool;
  std::shared_ptr<SubscriberHub> hub;
  std::shared_ptr<ControlDriver> driver;
  std::unique_ptr<ControlServer> server;
  std::unique_ptr<HttpServer> http;
  // 1 if the process wants to be started again.
  std::atomic<int> exit_code = 0;
};

}  // namespace marigold

#endif  // SRC_PROGRAMS_CONTROL_PROCESS_H_
