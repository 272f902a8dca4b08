#ifndef SRC_NET_CONTROL_LIST_STREAM_H_
#define SRC_NET_CONTROL_LIST_STREAM_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "src/core/clock.h"
#include "src/net/control/control_client.h"
#include "src/net/control/framed_connection.h"
#include "src/net/serial_queue.h"
#include "src/policy/control_choice.h"
#include "src/tables/list_table.h"
#include "src/tables/listing_table.h"
#include "src/wire/control_messages.h"

namespace marigold {

// Follows one control VM's stream into the list table, and turns to another one
// when the stream breaks, goes silent or has no quorum. All calls are made on
// the queue.
class ListStream : public std::enable_shared_from_this<ListStream> {
 public:
  // `on_progress` is called when the table or what the stream knows changes.
  ListStream(WorkerPool& worker_pool,
             SerialQueue serial_queue,
             ListTable& list_table,
             ListingTable& listing_table,
             const ControlClientSettings& client_settings,
             std::function<void()> progress_handler);

  // Commands.

  void Start();
  void Stop();
  // Dropped while there is no stream.
  void Send(const ControlMessage& message);
  // To be set before `Start`.
  void SetHintsHandler(std::function<void(const ServerHints&)> on_hints);

  // Queries.

  // The newest index that a control VM with a quorum has announced on the
  // present stream; nothing without such a stream.
  std::optional<LogIndex> confirmed_index() const {
    return this->last_confirmed_index;
  }

 private:
  using ConnectionPtr = std::shared_ptr<FramedConnection>;

  void ScheduleConnect();
  void Connect(const Endpoint& endpoint);
  void OnBody(const ConnectionPtr& from, const std::string& body);
  void OnUpdate(const ListUpdate& update);
  void OnListing(ListingUpdate update);
  void OnHeartbeat(const StreamHeartbeat& heartbeat);
  void OnClosed(const ConnectionPtr& closed, CloseReason reason);
  void Subscribe(LogIndex known_index);
  void SendHeartbeat();
  void ArmHeartbeat();

  WorkerPool& pool;
  SerialQueue queue;
  ListTable& table;
  ListingTable& listing;
  const ControlClientSettings& settings;
  std::function<void()> on_progress;
  std::function<void(const ServerHints&)> on_hints = [](const ServerHints&) {};
  SystemClock clock;
  ControlChoice choice;
  Endpoint current_control;
  ConnectionPtr connection;
  std::optional<LogIndex> last_confirmed_index;
  TimerHandle connect_timer;
  TimerHandle heartbeat_timer;
  bool is_stopped = false;
};

}  // namespace marigold

#endif  // SRC_NET_CONTROL_LIST_STREAM_H_
