#ifndef SRC_NET_CONTROL_LIST_STREAM_H_
#define SRC_NET_CONTROL_LIST_STREAM_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/core/clock.h"
#include "src/net/control/control_client.h"
#include "src/net/control/framed_connection.h"
#include "src/net/serial_queue.h"
#include "src/policy/control_choice.h"
#include "src/policy/replication_lag.h"
#include "src/tables/list_table.h"
#include "src/tables/listing_table.h"
#include "src/wire/control_messages.h"

namespace marigold {

// Subscribes to one control VM and writes its updates to the list table.
// Switches to another control VM when the connection fails or goes silent, when
// the control VM loses contact with a quorum or does not send the newest lists,
// and when a control VM in the same data centre is available again. All methods
// must be called on the queue.
class ListStream : public std::enable_shared_from_this<ListStream> {
 public:
  // `progress_handler` is called on the queue after each applied update, each
  // heartbeat and each loss of the stream.
  ListStream(WorkerPool& worker_pool,
             SerialQueue serial_queue,
             ListTable& list_table,
             ListingTable& listing_table,
             const ControlClientSettings& client_settings,
             std::function<void()> progress_handler);

  // Commands.

  void Start();
  void Stop();
  // Sends a message on the stream. It is dropped while there is no stream.
  void Send(const ControlMessage& message);
  // Sets the callback for hints of other entry VMs. Must be called before
  // `Start`.
  void SetHintsHandler(std::function<void(const ServerHints&)> on_hints);

  // Sets the callback for changes of the set of aggregators. Must be called
  // before `Start`.
  void SetAggregatorsHandler(
      std::function<void(const AggregatorUpdate&)> on_aggregators);
  // Sets the callback for quota states. Must be called before `Start`.
  void SetQuotaStateHandler(std::function<void(const QuotaState&)> handler);
  // Sets the callback for the members that a control VM in contact with a
  // quorum lists. Must be called before `Start`.
  void SetListedHandler(
      std::function<void(const std::vector<ListedControl>&)> on_listed);

  // Tells the control VM that this VM stops to answer queries.
  void WithdrawAggregator();
  // Replaces the control VMs of the settings.
  void SetControls(const std::vector<Endpoint>& controls);
  // Adds control VMs that another VM knows to those that are tried.
  void AddControls(const std::vector<ControlVmLocation>& controls);

  // Queries.

  // The control VM that the current stream follows, or the last one.
  const Endpoint& control() const { return this->current_control; }
  // The members of the group according to the last heartbeat of a control VM in
  // contact with a quorum.
  const std::vector<ControlVmLocation>& controls() const {
    return this->listed_controls;
  }
  // The index of the newest lists according to the last heartbeat of the
  // current stream. Absent if there is no stream or if its control VM is not in
  // contact with a quorum.
  std::optional<LogIndex> confirmed_index() const {
    return this->last_confirmed_index;
  }
  // The last time when a control VM in contact with a quorum confirmed that the
  // lists of this VM are the newest. Before that, the time of the construction.
  MonotonicTime lists_confirmed_at() const { return this->lag.confirmed_at(); }

 private:
  using ConnectionPtr = std::shared_ptr<FramedConnection>;

  void ScheduleConnect();
  void Connect(const ControlChoice::Attempt& attempt);
  void OnBody(const ConnectionPtr& from, const std::string& body);
  void OnUpdate(const ListUpdate& update);
  void OnListing(ListingUpdate update);
  void OnHeartbeat(const StreamHeartbeat& heartbeat);
  void OnControls(const StreamHeartbeat& heartbeat);
  void OnClosed(const ConnectionPtr& closed, CloseReason reason);
  std::vector<ListedControl> ToListed(
      const std::vector<ControlVmLocation>& controls) const;
  void Subscribe(LogIndex known_index);
  void Announce();
  void SendHeartbeat();
  void ArmHeartbeat();
  // Closes the stream and counts it as a failure of its control VM.
  void LeaveLaggingControl();
  // Logs the first heartbeat of a stream that shows contact with a quorum, and
  // each change of the set of control VMs.
  void LogFollowed(const StreamHeartbeat& heartbeat);
  void LogControls(const std::vector<ControlVmLocation>& controls);
  void LogListsAge();

  WorkerPool& pool;
  SerialQueue queue;
  ListTable& table;
  ListingTable& listing;
  const ControlClientSettings& settings;
  std::function<void()> on_progress;
  std::function<void(const ServerHints&)> on_hints = [](const ServerHints&) {};
  std::function<void(const AggregatorUpdate&)> on_aggregators =
      [](const AggregatorUpdate&) {};
  std::function<void(const QuotaState&)> on_quota_state =
      [](const QuotaState&) {};
  std::function<void(const std::vector<ListedControl>&)> on_listed =
      [](const std::vector<ListedControl>&) {};
  SystemClock clock;
  ControlChoice choice;
  Endpoint current_control;
  ConnectionPtr connection;
  MonotonicTime connect_began_at;
  // True once the control VM of this stream has reported a quorum.
  bool is_followed = false;
  // The members of the group that the last heartbeat of a control VM in contact
  // with a quorum listed.
  std::vector<ControlVmLocation> listed_controls;
  std::optional<LogIndex> last_confirmed_index;
  ReplicationLag lag{clock.Now()};
  // True while the lists are logged as unconfirmed.
  bool is_logged_unconfirmed = false;
  TimerHandle connect_timer;
  TimerHandle heartbeat_timer;
  bool is_stopped = false;
  bool is_leaving = false;
};

}  // namespace marigold

#endif  // SRC_NET_CONTROL_LIST_STREAM_H_
