#ifndef TOOLS_STANDIN_PLATFORM_SERVER_H_
#define TOOLS_STANDIN_PLATFORM_SERVER_H_

#include <memory>

#include "src/core/result.h"
#include "src/core/settings_values.h"
#include "src/net/http/http_server.h"
#include "src/net/worker_pool.h"
#include "tools/standin/standin_system.h"

namespace marigold {

// Serves the platform's VM list, the stand-in's records and its admin commands.
// `system` outlives the server. Fails with `IoError`.
Result<std::unique_ptr<HttpServer>> ListenPlatform(WorkerPool& pool,
                                                   const Endpoint& endpoint,
                                                   StandinSystem& system);

}  // namespace marigold

#endif  // TOOLS_STANDIN_PLATFORM_SERVER_H_
