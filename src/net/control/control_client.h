#ifndef SRC_NET_CONTROL_CONTROL_CLIENT_H_
#define SRC_NET_CONTROL_CONTROL_CLIENT_H_

#include <functional>
#include <memory>
#include <variant>
#include <vector>

#include "src/commands/control_commands.h"
#include "src/core/result.h"
#include "src/core/settings_values.h"
#include "src/net/worker_pool.h"
#include "src/tables/list_table.h"
#include "src/tables/listing_table.h"
#include "src/wire/control_messages.h"

namespace marigold {

struct ControlClientSettings {
  VmId vm;
  DataCentreId data_centre;
  // Control VMs, in any order.
  std::vector<Endpoint> controls;
  Duration heartbeat_interval = std::chrono::milliseconds(500);
  // A stream without a message for this long is replaced.
  Duration silence_timeout = std::chrono::milliseconds(1500);
  // Other entry VMs of the data centre, which know the lists too.
  std::vector<Endpoint> peers;
  // Where this entry VM answers them; port 0 for not at all.
  Endpoint listen{};
  // Without a control VM that hears from a quorum, the newest lists that other
  // entry VMs or control VMs know are taken after this.
  Duration start_without_quorum_after = std::chrono::seconds(2);
};

// The outcome of a submitted command, or why there is none. A refusal says
// did-not-run only where the command was surely not appended.
using SubmitOutcome = std::variant<ControlOutcome, Refusal>;

// An entry VM's connection to the control group: one stream of list updates
// from any control VM, and commands to the leader. Silent or failed control VMs
// are replaced by others.
class ControlClient {
 public:
  ControlClient(WorkerPool& worker_pool,
                ListTable& list_table,
                ListingTable& listing_table,
                ControlClientSettings client_settings);
  ~ControlClient();

  ControlClient(const ControlClient&) = delete;
  ControlClient& operator=(const ControlClient&) = delete;

  // Begins to follow the lists into the list table, and to answer other entry
  // VMs. Fails with `IoError` if the address for them can't be used.
  Result<void> Start();

  // Sends a command to the leader, following redirects, until `timeout`. The
  // callback runs exactly once, on any worker.
  void Submit(const ControlCommand& command,
              Duration timeout,
              std::function<void(SubmitOutcome)> on_outcome);

  // Tells the other entry VMs about slow servers, by way of the control VM that
  // is followed; dropped without one.
  void SendHints(ServerHints hints);

  // `on_hints` takes what other entry VMs found, on any worker. To be set
  // before `Start`.
  void SetHintsHandler(std::function<void(const ServerHints&)> on_hints);

  // True once lists are in force here that are as new as any that the control
  // VMs and the other entry VMs knew of at the start. They come from a control
  // VM that hears from a quorum, or, if none is reached for a while, from
  // whoever has the newest.
  bool is_synchronised() const;

  struct Impl;

 private:
  std::shared_ptr<Impl> impl;
};

}  // namespace marigold

#endif  // SRC_NET_CONTROL_CONTROL_CLIENT_H_
