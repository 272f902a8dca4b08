#ifndef SRC_NET_FORWARD_CALL_LOG_H_
#define SRC_NET_FORWARD_CALL_LOG_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "src/core/ids.h"
#include "src/core/units.h"
#include "src/policy/backend_directory.h"
#include "src/policy/forward_types.h"

namespace marigold {

// The fields of the log line that is written when a request ends.
struct CallSummary {
  std::string_view request;
  const ForwardPlan& plan;
  RouteVersion routes_version;
  std::string_view state;
  std::size_t answered_targets = 0;
  std::size_t send_count = 0;
  Duration latency{};
};

// Collects the failed sends of one request and writes the log line of its end.
class CallLog {
 public:
  // Records a send that failed `since_request_began` after the request began.
  // The log line names only the first eight failures.
  void AddFailure(const ListedServer& server,
                  SendFailure failure,
                  Duration since_request_began);

  void Write(const CallSummary& summary) const;

 private:
  std::string failure_texts;
  std::size_t failure_count = 0;
};

}  // namespace marigold

#endif  // SRC_NET_FORWARD_CALL_LOG_H_
