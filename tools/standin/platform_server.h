#ifndef TOOLS_STANDIN_PLATFORM_SERVER_H_
#define TOOLS_STANDIN_PLATFORM_SERVER_H_

#include <memory>

#include "src/core/result.h"
#include "src/core/settings_values.h"
#include "src/net/http/http_server.h"
#include "src/net/worker_pool.h"
#include "tools/standin/standin_system.h"

namespace marigold {

// Starts an HTTP server for the platform's VM list, the stand-in's records and
// the admin commands. `system` has to outlive the server. Fails with `IoError`
// if the server can't listen.
Result<std::unique_ptr<HttpServer>> ListenPlatform(WorkerPool& pool,
                                                   const Endpoint& endpoint,
                                                   StandinSystem& system);

}  // namespace marigold

#endif  // TOOLS_STANDIN_PLATFORM_SERVER_H_
