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

// What the log says of a request at its end.
struct CallSummary {
  std::string_view request;
  const ForwardPlan& plan;
  RouteVersion routes_version;
  std::string_view state;
  std::size_t answered_targets = 0;
  std::size_t sends_made = 0;
  Duration latency{};
};

// Collects what led to the end of one request and writes it as one line.
class CallLog {
 public:
  // A send has failed this long after the request began. Only the first ones
  // are named.
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
