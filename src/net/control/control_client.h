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
  // The control VMs, in any order. If empty, the client only exchanges lists
  // with other entry VMs, and `Submit` refuses every command.
  std::vector<Endpoint> controls;
  Duration heartbeat_interval = std::chrono::milliseconds(500);
  // A stream that receives no message for this long is replaced.
  Duration silence_timeout = std::chrono::milliseconds(1500);
  // Other entry VMs, which also hold the lists. An entry that equals `listen`
  // is ignored. Those that the control VMs announce are asked as well.
  std::vector<Endpoint> peers;
  // The address on which this entry VM serves its lists to other entry VMs.
  // Port 0 turns this off.
  Endpoint listen{};
  // The address on which this entry VM answers queries of other entry VMs. Port
  // 0 turns this off.
  Endpoint aggregator{};
  // How long after the start the client waits for a control VM in contact with
  // a quorum. After that, it uses the newest lists that any entry VM or control
  // VM has sent.
  Duration start_without_quorum_after = std::chrono::seconds(2);
};

// The outcome of a submitted command, or the reason why it is unknown. A
// refusal states did-not-run only if the command was certainly not appended to
// the log.
using SubmitOutcome = std::variant<ControlOutcome, Refusal>;

// An entry VM's connection to the control group. It follows the list updates of
// one control VM and submits commands to the leader. When a control VM goes
// silent or fails, the client switches to another one.
class ControlClient {
 public:
  ControlClient(WorkerPool& worker_pool,
                ListTable& list_table,
                ListingTable& listing_table,
                ControlClientSettings client_settings);
  ~ControlClient();

  ControlClient(const ControlClient&) = delete;
  ControlClient& operator=(const ControlClient&) = delete;

  // Starts to write list updates to the list table, and to serve the lists to
  // other entry VMs. Fails with `IoError` if it can't listen on
  // `ControlClientSettings::listen`.
  Result<void> Start();

  // Sends a command to the leader, and repeats it after lost connections and
  // redirects until `timeout` has passed. The callback runs exactly once, on
  // any thread.
  void Submit(const ControlCommand& command,
              Duration timeout,
              std::function<void(SubmitOutcome)> on_outcome);

  // Sends hints about slow backend servers to the other entry VMs through the
  // control VM that the client follows. They are dropped while it follows none.
  void SendHints(ServerHints hints);

  // Sets the callback for hints of other entry VMs. It runs on any worker. Must
  // be called before `Start`.
  void SetHintsHandler(std::function<void(const ServerHints&)> on_hints);

  // Sends a report about the use of quotas to the leader through the control VM
  // that the client follows. It is dropped while the client follows none.
  void SendQuotaReport(QuotaUsageReport report);

  // Sets the callback for quota states of the control group. It runs on any
  // worker. Must be called before `Start`.
  void SetQuotaStateHandler(std::function<void(const QuotaState&)> on_state);

  // Sets the callback for changes of the set of entry VMs that answer queries.
  // It runs on any worker. Must be called before `Start`.
  void SetAggregatorsHandler(
      std::function<void(const AggregatorUpdate&)> on_aggregators);

  // Replaces the control VMs of the settings, which have changed.
  void SetControls(std::vector<Endpoint> controls);

  // Tells the other entry VMs that this one stops to answer queries.
  void WithdrawAggregator();

  // True once the list table is at least as new as any lists that control VMs
  // or other entry VMs have reported, and either the leader has confirmed them,
  // or a control VM in contact with a quorum after all VMs were asked, or
  // `start_without_quorum_after` has passed. Never becomes false again.
  bool is_synchronised() const;

  // Returns the time since a control VM in contact with a quorum last confirmed
  // that the lists are the newest, or since the start. May be called from any
  // thread.
  Duration lists_confirmed_age() const;

  struct Impl;

 private:
  std::shared_ptr<Impl> impl;
};

}  // namespace marigold

#endif  // SRC_NET_CONTROL_CONTROL_CLIENT_H_
