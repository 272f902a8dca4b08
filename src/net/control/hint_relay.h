#ifndef SRC_NET_CONTROL_HINT_RELAY_H_
#define SRC_NET_CONTROL_HINT_RELAY_H_

#include <functional>
#include <memory>

#include "src/net/worker_pool.h"
#include "src/wire/control_messages.h"

namespace marigold {

// Merges the hints that a control VM receives and forwards them in batches. A
// batch contains at most one hint for each process of a backend server, however
// many entry VMs report it.
class HintRelay {
 public:
  // Sends hints to all entry VMs that are subscribed to this control VM, or to
  // all other control VMs.
  using Sender = std::function<void(const ServerHints& hints)>;

  HintRelay(WorkerPool& pool,
            Sender send_to_entry_vms,
            Sender send_to_control_vms);
  ~HintRelay();

  HintRelay(const HintRelay&) = delete;
  HintRelay& operator=(const HintRelay&) = delete;

  // Adds hints received from an entry VM, or relayed by another control VM.
  void Add(const ServerHints& received);

  struct Impl;

 private:
  std::shared_ptr<Impl> impl;
};

}  // namespace marigold

#endif  // SRC_NET_CONTROL_HINT_RELAY_H_
