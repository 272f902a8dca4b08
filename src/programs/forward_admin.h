#ifndef SRC_PROGRAMS_FORWARD_ADMIN_H_
#define SRC_PROGRAMS_FORWARD_ADMIN_H_

#include <atomic>
#include <cstddef>
#include <functional>
#include <string>

#include "src/core/clock.h"
#include "src/net/http/http_message.h"
#include "src/programs/forward_settings.h"
#include "src/tables/backend_table.h"
#include "src/tables/forward_metrics.h"
#include "src/tables/lifecycle.h"
#include "src/tables/list_table.h"
#include "src/tables/listing_table.h"
#include "src/tables/quota_table.h"

namespace marigold {

// Returns the age of the listing in milliseconds, or -1 without a listing.
double ListingAgeMs(const ListingTable& listing, MonotonicTime now);

// What the admin address of a forwarding process reports.
struct ForwardAdminSources {
  const ForwardSettings& settings;
  const ListTable& lists;
  const ListingTable& listing;
  BackendTable& backends;
  const QuotaTable& quotas;
  ForwardMetrics& metrics;
  const Lifecycle& lifecycle;
  // Returns false while it is not certain which routes are in force.
  std::function<bool()> are_routes_known;
  std::function<std::size_t()> open_connections;
  // Returns what the admission of requests holds.
  std::function<AdmissionStatus()> admission_status;
  // Returns the time since the lists were last confirmed as the newest.
  std::function<Duration()> lists_confirmed_age;
};

// Answers the readiness check, `/metrics` and `/state`. May be used by several
// threads at the same time.
class ForwardAdmin {
 public:
  explicit ForwardAdmin(ForwardAdminSources admin_sources);

  HttpResponse Answer(const HttpRequest& request);

 private:
  bool IsReady();
  // True if unreachable data centres leave some route with too few shards for
  // its minimum coverage. The process then reports that it is not ready, so
  // that callers are sent to another data centre. Logs each change.
  bool SomeRouteIsUnservable();
  std::string StateJson() const;
  // Members of the state's JSON object.
  std::string ListsJson() const;
  std::string AdmissionJson() const;
  // Values of members of the state's JSON object.
  std::string EvacuatedJson() const;
  std::string QuotasJson() const;

  ForwardAdminSources sources;
  SystemClock clock;
  std::atomic<bool> had_unservable_route = false;
};

}  // namespace marigold

#endif  // SRC_PROGRAMS_FORWARD_ADMIN_H_
