#include "src/programs/forward_settings.h"

namespace marigold {

void AddForwardSettings(ForwardSettings& settings, SettingsTable& table) {
  table.AddText("vm", settings.vm, "id", "Id of this VM.");
  table.AddText("data-centre", settings.data_centre, "id",
                "Data centre of this VM.");
  table.AddEndpoint("listen", settings.listen, "Address for callers.");
  table.AddEndpoint("admin", settings.admin,
                    "Address for the readiness check, /state and /metrics.");
  table.AddEndpoint("server-list", settings.server_list,
                    "Address of the platform's list of backend servers.");
  table.AddNumber("workers", settings.workers, 1, 64, "threads",
                  "Threads that run handlers.");
  table.AddNumber("connections", settings.max_connections, 1, 1'000'000,
                  "connections",
                  "Maximum number of open connections of callers.");
  table.AddNumber("requests-in-progress", settings.max_requests, 1, 1'000'000,
                  "requests",
                  "Maximum number of requests in progress if the configuration "
                  "has customers. Further requests wait or are refused.");
  table.AddDecimal("admission-wait-ms", settings.admission_wait_ms, 0, 10'000,
                   "ms",
                   "Maximum time that a request waits for capacity before it "
                   "is refused.");
  table.AddNumber("open-files", settings.max_open_files, 400, 1'000'000,
                  "descriptors",
                  "Descriptors that the process may open. All but 300 are for "
                  "connections, half of them for callers.");
  table.AddNumber("reply-bytes", settings.max_reply_bytes, 1'024,
                  256 * 1024 * 1024, "bytes",
                  "Maximum size of a backend server's reply body. A longer "
                  "reply counts as a failure.");
  table.AddNumber("reply-memory-bytes", settings.reply_memory_bytes, 64 * 1024,
                  4LL * 1024 * 1024 * 1024, "bytes",
                  "Maximum memory of all incomplete replies together.");
  table.AddNumber("memory-mb", settings.memory_mib, 16, 1024 * 1024, "MiB",
                  "Memory of this VM. Requests and answers of callers may take "
                  "a quarter of it, and incomplete replies another one.");
  table.AddDecimal("retry-ratio", settings.retry_ratio, 0, 10, "share",
                   "Maximum ratio of retries to requests for a service.");
  table.AddDecimal("retry-minimum", settings.retry_minimum, 0, 1'000'000,
                   "sends",
                   "Retries that all entry VMs together may send in one window "
                   "in addition to the ratio.");
  table.AddDecimal("retry-window-s", settings.retry_window_s, 0.1, 3'600, "s",
                   "Window in which retries are counted.");
  table.AddDecimal("stop-bound-s", settings.stop_timeout_s, 1, 3'600, "s",
                   "Time after a signal until the process is killed.");
  table.AddChoice("fan-out", settings.fan_out,
                  {"automatic", "direct", "groups"},
                  "How queries over many shards are sent: by this VM alone, "
                  "through other entry VMs, or as is expected to be faster.");
  table.AddDecimal("cpu-share", settings.cpu_share, 0.001, 64, "cores",
                   "Part of a core that this VM may use. Decides together with "
                   "the number of shards how queries are sent.");
  table.AddChoice("log-level", settings.log_level,
                  {"debug", "info", "warning", "error", "off"},
                  "Lines below this level are not logged.");
}

}  // namespace marigold
