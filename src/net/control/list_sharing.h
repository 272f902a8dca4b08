#ifndef SRC_NET_CONTROL_LIST_SHARING_H_
#define SRC_NET_CONTROL_LIST_SHARING_H_

#include <functional>
#include <memory>
#include <vector>

#include "src/core/clock.h"
#include "src/core/random.h"
#include "src/core/result.h"
#include "src/net/control/control_client.h"
#include "src/net/control/framed_call.h"
#include "src/net/control/framed_server.h"
#include "src/net/serial_queue.h"
#include "src/tables/list_table.h"
#include "src/wire/control_messages.h"

namespace marigold {

// Exchanges whole lists with control VMs and with the other entry VMs of the
// data centre, beside the stream: at the start, to learn how new the lists are
// that were in force here before, and from other entry VMs while there is no
// stream. All calls are made on the queue.
class ListSharing : public std::enable_shared_from_this<ListSharing> {
 public:
  ListSharing(WorkerPool& worker_pool,
              SerialQueue serial_queue,
              ListTable& list_table,
              const ControlClientSettings& client_settings,
              std::function<void()> progress_handler);

  // Commands.

  // Begins to answer other entry VMs; fails with `IoError`. Does nothing if the
  // settings have no address for it.
  Result<void> Listen();

  // Asks all control VMs and entry VMs once.
  void RequestFromAll();

  // Asks one entry VM, if there are others.
  void RequestFromOnePeer();

  // Queries.

  // True once everybody has answered `RequestFromAll` or failed to.
  bool has_finished_requesting_all() const {
    return this->has_requested_all && this->pending_calls == 0;
  }
  // The highest index that any answer has named.
  LogIndex highest_reported_index() const { return this->max_reported_index; }

 private:
  void RequestLists(const Endpoint& endpoint);
  void OnOutcome(const CallOutcome& outcome);
  void Serve(const std::shared_ptr<FramedConnection>& connection);

  WorkerPool& pool;
  SerialQueue queue;
  ListTable& table;
  const ControlClientSettings& settings;
  std::function<void()> on_progress;
  SystemClock clock;
  SeededRandom random;
  std::unique_ptr<FramedServer> server;
  std::size_t pending_calls = 0;
  bool has_requested_all = false;
  LogIndex max_reported_index;
};

}  // namespace marigold

#endif  // SRC_NET_CONTROL_LIST_SHARING_H_
