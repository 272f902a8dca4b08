#ifndef SRC_NET_CONTROL_LIST_SHARING_H_
#define SRC_NET_CONTROL_LIST_SHARING_H_

#include <functional>
#include <map>
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

// What a `ListSharing` needs of the stream from a control VM. All calls are
// made on the queue.
struct ListSharingHandlers {
  // Called after each reply.
  std::function<void()> on_progress;
  // Returns the control VMs that this VM knows.
  std::function<std::vector<ControlVmLocation>()> controls;
  // Called with the control VMs that another VM knows.
  std::function<void(const std::vector<ControlVmLocation>&)> on_controls;
};

// Requests the full lists from control VMs and from other entry VMs, and serves
// this VM's lists to other entry VMs, together with the control VMs that it
// knows. Both are independent of the stream from a control VM. Lists are
// requested at the start, to find out which are the newest, and from other
// entry VMs while the client follows no control VM in contact with a quorum.
// The other entry VMs are those of the settings and those that the control VM
// has announced. All methods must be called on the queue.
class ListSharing : public std::enable_shared_from_this<ListSharing> {
 public:
  ListSharing(WorkerPool& worker_pool,
              SerialQueue serial_queue,
              ListTable& list_table,
              const ControlClientSettings& client_settings,
              ListSharingHandlers sharing_handlers);

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

  // Requests the lists from random entry VMs. Does nothing if none is known.
  void RequestFromPeers();

  // Adds the announced entry VMs to those that are asked. None is removed: one
  // that is announced no more may be all that is left to ask, because a new
  // control VM has heard of few others yet.
  void OnAggregators(const AggregatorUpdate& update);

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
  void Reply(const std::shared_ptr<FramedConnection>& connection,
             const ReadLists& request);

  WorkerPool& pool;
  SerialQueue queue;
  ListTable& table;
  const ControlClientSettings& settings;
  ListSharingHandlers handlers;
  SystemClock clock;
  SeededRandom random;
  std::unique_ptr<FramedServer> server;
  // The addresses of announced entry VMs that serve their lists.
  std::map<VmId, Endpoint> announced_peers;
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
