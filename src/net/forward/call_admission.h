#ifndef SRC_NET_FORWARD_CALL_ADMISSION_H_
#define SRC_NET_FORWARD_CALL_ADMISSION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "src/commands/admission_gate.h"
#include "src/net/forward/strand.h"
#include "src/net/worker_pool.h"
#include "src/policy/forward_types.h"
#include "src/policy/request_priority.h"
#include "src/policy/routes.h"
#include "src/tables/forward_metrics.h"

namespace marigold {

// Divides the capacity between the customers of all strands.
using ForwardGate = AdmissionGate<Admission, WorkerPool, SystemClock>;

// Asks for the admission of the calls of one strand. Used only on its strand.
class CallAdmission : public std::enable_shared_from_this<CallAdmission> {
 public:
  using OnDecided = std::function<void(GateDecision)>;

  // A call that waits for its decision.
  struct Wait {
    TicketId ticket;
    OnDecided on_decided;
    // True once the call has left, or has got its decision.
    bool has_ended = false;
  };
  using WaitPtr = std::shared_ptr<Wait>;

  CallAdmission(std::shared_ptr<Strand> owning_strand,
                std::shared_ptr<ForwardGate> shared_gate,
                ForwardMetrics& forward_metrics);

  // Commands.

  // Calls `on_decided` exactly once, either before this function returns or
  // later on the strand. Returns the wait in the latter case, and null in the
  // former.
  WaitPtr Enter(const ForwardPlan& plan,
                const RouteTable& table,
                OnDecided on_decided);

  // Ends the wait of a call whose caller is gone, or that is refused for
  // another reason. No decision follows.
  void Withdraw(const WaitPtr& wait);

  // Releases the permit of a call that has ended.
  void Leave(const AdmissionPermit& permit, Congestion congestion);

 private:
  void LogRefusals();

  std::shared_ptr<Strand> strand;
  std::shared_ptr<ForwardGate> gate;
  ForwardMetrics& metrics;
  // The weights of the route table with this version.
  std::optional<RouteVersion> weights_version;
  PriorityWeights weights;
  // The refusals that no log line has counted yet.
  std::uint64_t unlogged_refusals = 0;
  MonotonicTime refusals_logged_at;
};

}  // namespace marigold

#endif  // SRC_NET_FORWARD_CALL_ADMISSION_H_
