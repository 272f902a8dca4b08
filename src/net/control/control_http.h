#ifndef SRC_NET_CONTROL_CONTROL_HTTP_H_
#define SRC_NET_CONTROL_CONTROL_HTTP_H_

#include <string>
#include <vector>

#include "src/net/control/control_driver.h"
#include "src/net/control/subscriber_hub.h"
#include "src/net/http/http_message.h"
#include "src/tables/control_table.h"
#include "src/tables/quota_coordination_table.h"

namespace marigold {

// Answers `GET /state`, `GET /metrics` and `GET /health` of a control VM, and
// any other request with status 404.
HttpResponse AnswerControlHttp(const HttpRequest& request,
                               const ControlDriver& driver,
                               const SubscriberHub& hub,
                               const ControlTable& table,
                               const QuotaCoordinationTable& quotas);

// Returns the body of `GET /metrics` in the Prometheus text format.
std::string ControlMetricsText(const ControlCounters& counters,
                               const ControlStatus& status,
                               const std::vector<QuotaCustomerStatus>& limited);

}  // namespace marigold

#endif  // SRC_NET_CONTROL_CONTROL_HTTP_H_
