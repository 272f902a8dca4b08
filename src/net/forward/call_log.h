#ifndef SRC_NET_FORWARD_CALL_LOG_H_
#define SRC_NET_FORWARD_CALL_LOG_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "src/core/ids.h"
#include "src/core/units.h"
#include "src/policy/backend_directory.h"
#include "src/policy/congestion_count.h"
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
  // What the request met at backend servers.
  Congestion congestion = Congestion::kNone;
};

// Collects the failed sends of one request and writes the log line of its end.
class CallLog {
 public:
  // Records a send that failed `since_request_began` after the request began.
  // The log line names only the first eight failures.
  void AddFailure(const ListedServer& server,
                  SendFailure failure,
                  Duration since_request_began);

  // Records that an aggregator failed to answer a query in time.
  void AddQueryFailure(const VmId& aggregator,
                       std::string_view failure,
                       Duration since_request_began);

  void Write(const CallSummary& summary) const;

  // The named failures, or "none".
  std::string_view failures() const {
    return this->failure_count == 0 ? std::string_view("none")
                                    : std::string_view(this->failure_texts);
  }
  bool has_failures() const { return this->failure_count > 0; }

 private:
  void Add(std::string_view subject,
           std::string_view failure,
           Duration since_request_began);

  std::string failure_texts;
  std::size_t failure_count = 0;
};

}  // namespace marigold

#endif  // SRC_NET_FORWARD_CALL_LOG_H_
