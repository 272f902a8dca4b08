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

// Requests the full lists from control VMs and from the other entry VMs of the
// data centre, and serves this VM's lists to those entry VMs. Both are
// independent of the stream from a control VM. Lists are requested at the
// start, to find out which are the newest, and from other entry VMs while the
// client follows no control VM in contact with a quorum. All methods must be
// called on the queue.
class ListSharing : public std::enable_shared_from_this<ListSharing> {
 public:
  ListSharing(WorkerPool& worker_pool,
              SerialQueue serial_queue,
              ListTable& list_table,
              const ControlClientSettings& client_settings,
              std::function<void()> progress_handler);

  // Commands.

  // Begins to serve the lists to other entry VMs. Fails with `IoError` if it
  // can't listen on the address in the settings. Does nothing if the settings
  // have no address.
  Result<void> Listen();

  // Asks every control VM once for the index of its lists, and every other
  // entry VM for its lists. The stream from a control VM brings the lists
  // themselves, so that they need not be sent several times.
  void RequestFromAll();

  // Asks a control VM for the index of its lists, and the leader that its reply
  // names. Does nothing while such a request is in progress.
  void RequestConfirmation(const Endpoint& control);

  // Requests the lists from the VM that has reported the highest index, if that
  // is newer than the lists of this VM. Does nothing while such a request is in
  // progress.
  void RequestNewest();

  // Requests the lists from a random entry VM. Does nothing if the settings
  // name none, or if the chosen one is this VM.
  void RequestFromOnePeer();

  // Queries.

  // True once `RequestFromAll` was called and every request has been answered
  // or has failed.
  bool has_finished_requesting_all() const {
    return this->has_requested_all && this->pending_initial_calls == 0;
  }
  // True once a leader in contact with a quorum has replied. Its lists contain
  // every change that was accepted before, so no other reply is needed.
  bool has_leader_reply() const { return this->did_leader_reply; }
  // The highest index in any reply so far.
  LogIndex highest_reported_index() const { return this->max_reported_index; }

 private:
  struct Request {
    // True for a request of `RequestFromAll`.
    bool is_initial = false;
    // True if the reply need not contain the lists.
    bool is_index_only = false;
    // The number of times that the leader which a reply names is asked too.
    int redirects = 0;
  };

  void RequestLists(const Endpoint& endpoint, Request request);
  void OnOutcome(const Endpoint& endpoint,
                 const CallOutcome& outcome,
                 Request request);
  void Serve(const std::shared_ptr<FramedConnection>& connection);

  WorkerPool& pool;
  SerialQueue queue;
  ListTable& table;
  const ControlClientSettings& settings;
  std::function<void()> on_progress;
  SystemClock clock;
  SeededRandom random;
  std::unique_ptr<FramedServer> server;
  std::size_t pending_initial_calls = 0;
  std::size_t pending_confirmations = 0;
  bool has_requested_all = false;
  bool did_leader_reply = false;
  LogIndex max_reported_index;
  // The VM that has reported `max_reported_index`.
  Endpoint newest_holder;
};

}  // namespace marigold

#endif  // SRC_NET_CONTROL_LIST_SHARING_H_
