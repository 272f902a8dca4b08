#ifndef SRC_NET_CONTROL_HINT_RELAY_H_
#define SRC_NET_CONTROL_HINT_RELAY_H_

#include <functional>
#include <memory>

#include "src/net/worker_pool.h"
#include "src/wire/control_messages.h"

namespace marigold {

// Collects the hints of a control VM's entry VMs and sends them on together, so
// that their number is bounded by the servers and not by the entry VMs.
class HintRelay {
 public:
  // Sends a message to all entry VMs that follow this control VM, or to the
  // other control VMs.
  using Send = std::function<void(const ServerHints& hints)>;

  HintRelay(WorkerPool& pool, Send send_to_entry_vms, Send send_to_control_vms);
  ~HintRelay();

  HintRelay(const HintRelay&) = delete;
  HintRelay& operator=(const HintRelay&) = delete;

  // Takes hints of an entry VM, or those that another control VM has relayed.
  void Add(const ServerHints& received);

  struct Impl;

 private:
  std::shared_ptr<Impl> impl;
};

}  // namespace marigold

#endif  // SRC_NET_CONTROL_HINT_RELAY_H_
