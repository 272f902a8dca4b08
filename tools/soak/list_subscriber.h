#ifndef TOOLS_SOAK_LIST_SUBSCRIBER_H_
#define TOOLS_SOAK_LIST_SUBSCRIBER_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "src/tables/list_table.h"
#include "tools/soak/control_vm.h"

namespace marigold {

// Subscribes an entry VM to the list updates of one control VM at a time and
// applies them to the production list table. Changes to another control VM if
// the current one is silent for 1.5 s.
class ListSubscriber {
 public:
  ListSubscriber(SimulationContext context,
                 VmId owner,
                 const std::vector<std::unique_ptr<ControlVm>>& control_vms);

  // Commands.

  void Start();
  // Simulates a restart of the process. The new process starts without lists
  // and subscribes again.
  void Restart();

  // Queries.

  const VmId& id() const { return this->vm; }
  LogIndex index() const { return this->table->index(); }
  const ListTable& lists() const { return *this->table; }

 private:
  struct Heartbeat {
    std::uint64_t source_index = 0;
    bool knows_leader = false;
    std::optional<ListUpdate> update;
  };

  // Asks the current source for updates. The request and its answer serve as
  // heartbeats.
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
