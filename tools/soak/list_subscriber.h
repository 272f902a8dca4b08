#ifndef TOOLS_SOAK_LIST_SUBSCRIBER_H_
#define TOOLS_SOAK_LIST_SUBSCRIBER_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "src/tables/list_table.h"
#include "tools/soak/control_vm.h"

namespace marigold {

// An entry VM's stream of list updates from one control VM at a time, into the
// production list table. A silent stream is replaced.
class ListSubscriber {
 public:
  ListSubscriber(SimulationContext context,
                 VmId owner,
                 const std::vector<std::unique_ptr<ControlVm>>& control_vms);

  // Commands.

  void Start();
  // A new process on the same VM: it knows nothing and follows anew.
  void Restart();

  // Queries.

  const VmId& id() const { return this->vm; }
  LogIndex index() const { return this->table->index(); }
  const ListTable& lists() const { return *this->table; }

 private:
  struct Heartbeat {
    std::uint64_t source_index = 0;
    bool has_quorum = false;
    std::optional<ListUpdate> update;
  };

  // Asks the current source for what is new, as a heartbeat both ways.
  void SendHeartbeat();
  void OnHeartbeat(const Heartbeat& heartbeat);
  void Apply(const ListUpdate& update);
  void CheckSilence();
  void ChangeSource();

  SimulationContext context;
  VmId vm;
  const std::vector<std::unique_ptr<ControlVm>>& controls;
  std::unique_ptr<ListTable> table;
  std::uint64_t source_index = 0;
  MonotonicTime last_heartbeat_at;
  std::uint64_t process_generation = 0;
  bool restarted = false;
};

}  // namespace marigold

#endif  // TOOLS_SOAK_LIST_SUBSCRIBER_H_
