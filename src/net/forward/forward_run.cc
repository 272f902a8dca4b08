#include "src/net/forward/forward_run.h"

#include "src/core/log.h"
#include "src/net/forward/call_end.h"
#include "src/policy/fan_out/search_outcome.h"

namespace marigold {

bool PromisesNotExecuted(unsigned status) {
  return status == 408 || status == 421 || status == 429 ||
         status == static_cast<unsigned>(kStatusUnavailable);
}

Duration CurrentRetryDelay(CallContext& context, const ForwardPlan& plan) {
  const MonotonicTime now = context.strand->Now();
  return context.backends.Access([&](const BackendDirectory& directory) {
    return RetryDelay(directory, now, plan);
  });
}

void ApplyNotice(BackendTable& backends,
                 ForwardMetrics& metrics,
                 MonotonicTime now,
                 ServerIndex server,
                 const ServerNotice& notice) {
  if (notice.is_empty()) {
    return;
  }
  ListedServer listed;
  const NoticeEffect effect = backends.Access([&](BackendDirectory& directory) {
    listed = directory.ListedServerAt(server);
    return directory.ApplyNotice(now, server, notice);
  });
  if (notice.is_leaving) {
    metrics.OnServerNotice("leaving");
  }
  if (notice.pause) {
    metrics.OnServerNotice("pause");
  }
  if (notice.has_invalid_pause) {
    metrics.OnServerNotice("invalid_pause");
  }
  if (effect.reports_invalid_pause) {
    LogEvent(LogLevel::kWarning, "server_pause_invalid",
             {{"server", listed.server.value()},
              {"service", listed.service.value()}});
  }
  if (effect.began_to_leave) {
    LogEvent(LogLevel::kInfo, "server_leaving",
             {{"server", listed.server.value()},
              {"service", listed.service.value()},
              {"listed_as", listed.is_draining ? "draining" : "ready"}});
  }
  if (effect.began_to_pause) {
    LogEvent(LogLevel::kInfo, "server_paused",
             {{"server", listed.server.value()},
              {"service", listed.service.value()},
              {"pause_ms", ToMilliseconds(*notice.pause)}});
  }
}

}  // namespace marigold
