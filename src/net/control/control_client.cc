#include "src/net/control/control_client.h"

#include <atomic>
#include <utility>

#include "src/core/clock.h"
#include "src/core/log.h"
#include "src/net/control/command_sender.h"
#include "src/net/control/list_sharing.h"
#include "src/net/control/list_stream.h"
#include "src/net/serial_queue.h"

namespace marigold {

namespace {

// Interval between requests for lists to other entry VMs while the client
// follows no control VM in contact with a quorum.
constexpr Duration kPeerRequestInterval = std::chrono::seconds(1);

// In this time a stream usually brings the lists after the start.
constexpr Duration kStreamStartTime = std::chrono::milliseconds(200);

// Interval between requests for the leader's index while the client starts.
constexpr Duration kConfirmationInterval = std::chrono::milliseconds(50);

}  // namespace

// All mutable members except the atomic ones are used only on the queue.
struct ControlClient::Impl : std::enable_shared_from_this<Impl> {
  Impl(WorkerPool& pool,
       ListTable& list_table,
       ListingTable& listing_table,
       ControlClientSettings client_settings)
      : settings(std::move(client_settings)),
        table(list_table),
        listing(listing_table),
        queue(pool) {}

  void CreateComponents(WorkerPool& pool) {
    const ListSharingHandlers handlers = this->MakeHandlers();
    this->sharing = std::make_shared<ListSharing>(
        pool, this->queue, this->table, this->settings, handlers);
    if (!this->settings.controls.empty()) {
      this->stream = std::make_shared<ListStream>(
          pool, this->queue, this->table, this->listing, this->settings,
          handlers.on_progress);
      this->sender = std::make_shared<CommandSender>(pool, this->queue,
                                                     this->settings.controls);
      this->stream->SetListedHandler(
          [weak = std::weak_ptr(this->sender)](
              const std::vector<ListedControl>& listed) {
            if (const auto command_sender = weak.lock()) {
              command_sender->OnListed(listed);
            }
          });
    }
  }

  ListSharingHandlers MakeHandlers() {
    ListSharingHandlers handlers;
    handlers.on_progress = [weak = this->weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->OnProgress();
      }
    };
    handlers.controls = [weak = this->weak_from_this()] {
      const auto self = weak.lock();
      return self && self->stream ? self->stream->controls()
                                  : std::vector<ControlVmLocation>();
    };
    handlers.on_controls = [weak = this->weak_from_this()](
                               const std::vector<ControlVmLocation>& controls) {
      const auto self = weak.lock();
      if (self && self->stream) {
        self->stream->AddControls(controls);
      }
    };
    return handlers;
  }

  void Start() {
    this->started_at = this->clock.Now();
    this->sharing->RequestFromAll();
    if (this->stream) {
      this->stream->Start();
    }
    this->ArmPeerTimer();
    this->RequestConfirmation();
  }

  void Stop() {
    this->peer_timer.Cancel();
    this->confirmation_timer.Cancel();
    if (this->stream) {
      this->stream->Stop();
      this->sender->Stop();
    }
  }

  void OnProgress() {
    if (this->stream) {
      this->lists_confirmed_at = this->stream->lists_confirmed_at();
    }
    this->UpdateSynchronised();
  }

  void UpdateSynchronised() {
    if (this->has_synchronised) {
      return;
    }
    const LogIndex index = this->table.index();
    const auto confirmed_index =
        this->stream ? this->stream->confirmed_index() : std::nullopt;
    // A follower in contact with a quorum may lack the newest changes. The
    // client therefore waits for the reply of the leader, or for the replies of
    // all VMs if none of them leads.
    const bool is_confirmed = this->sharing->has_leader_reply() ||
                              (confirmed_index && index >= *confirmed_index &&
                               this->sharing->has_finished_requesting_all());
    const bool may_start_without_quorum =
        this->sharing->has_finished_requesting_all() && index > LogIndex() &&
        this->clock.Now() - this->started_at >=
            this->settings.start_without_quorum_after;
    if (index >= this->sharing->highest_reported_index() &&
        (is_confirmed || may_start_without_quorum)) {
      this->has_synchronised = true;
      LogEvent(LogLevel::kInfo, "lists_in_force",
               {{"index", index.value()}, {"confirmed", is_confirmed}});
    }
  }

  // Asks for the leader's reply until it has come. When all VMs start together,
  // the replies to the first requests come before there is a leader. Requests
  // lists that the stream will not bring, because its control VM lacks them.
  void RequestConfirmation() {
    if (this->has_synchronised) {
      return;
    }
    const auto streamed_index =
        this->stream ? this->stream->confirmed_index() : std::nullopt;
    const bool is_stream_behind = streamed_index.value_or(LogIndex()) <
                                  this->sharing->highest_reported_index();
    if (is_stream_behind &&
        this->clock.Now() - this->started_at >= kStreamStartTime) {
      this->sharing->RequestNewest();
    }
    if (streamed_index && !this->sharing->has_leader_reply()) {
      this->sharing->RequestConfirmation(this->stream->control());
    }
    this->confirmation_timer = this->queue.After(
        kConfirmationInterval, [weak = this->weak_from_this()] {
          if (const auto self = weak.lock()) {
            self->RequestConfirmation();
          }
        });
  }

  void ArmPeerTimer() {
    this->peer_timer = this->queue.After(kPeerRequestInterval,
                                         [weak = this->weak_from_this()] {
                                           if (const auto self = weak.lock()) {
                                             self->OnPeerTimer();
                                           }
                                         });
  }

  void OnPeerTimer() {
    if (!this->stream || !this->stream->confirmed_index()) {
      this->sharing->RequestFromPeers();
    }
    this->UpdateSynchronised();
    this->ArmPeerTimer();
  }

  const ControlClientSettings settings;
  ListTable& table;
  ListingTable& listing;
  SerialQueue queue;
  SystemClock clock;
  std::shared_ptr<ListSharing> sharing;
  // `stream` and `sender` are null if the settings name no control VM.
  std::shared_ptr<ListStream> stream;
  std::shared_ptr<CommandSender> sender;
  MonotonicTime started_at;
  TimerHandle peer_timer;
  TimerHandle confirmation_timer;
  std::atomic<bool> has_synchronised = false;
  std::atomic<MonotonicTime> lists_confirmed_at = SystemClock().Now();
};

ControlClient::ControlClient(WorkerPool& worker_pool,
                             ListTable& list_table,
                             ListingTable& listing_table,
                             ControlClientSettings client_settings)
    : impl(std::make_shared<Impl>(worker_pool,
                                  list_table,
                                  listing_table,
                                  std::move(client_settings))) {
  this->impl->CreateComponents(worker_pool);
}

ControlClient::~ControlClient() {
  this->impl->queue.Post([impl = this->impl] { impl->Stop(); });
}

Result<void> ControlClient::Start() {
  BOOST_LEAF_CHECK(this->impl->sharing->Listen());
  this->impl->queue.Post([impl = this->impl] { impl->Start(); });
  return {};
}

void ControlClient::Submit(const ControlCommand& command,
                           Duration timeout,
                           std::function<void(SubmitOutcome)> on_outcome) {
  if (!this->impl->sender) {
    on_outcome(Refusal{
        Execution::kDidNotRun, Reason::kNoQuorum, "no control VM is set", {}});
    return;
  }
  const MonotonicTime deadline = this->impl->clock.Now() + timeout;
  this->impl->queue.Post(
      [impl = this->impl, command, deadline, done = std::move(on_outcome)] {
        impl->sender->Submit(command, deadline, done);
      });
}

void ControlClient::SendHints(ServerHints hints) {
  this->impl->queue.Post([impl = this->impl, hints = std::move(hints)] {
    if (impl->stream) {
      impl->stream->Send(hints);
    }
  });
}

void ControlClient::SetHintsHandler(
    std::function<void(const ServerHints&)> on_hints) {
  if (this->impl->stream) {
    this->impl->stream->SetHintsHandler(std::move(on_hints));
  }
}

void ControlClient::SendQuotaReport(QuotaUsageReport report) {
  this->impl->queue.Post([impl = this->impl, report = std::move(report)] {
    if (impl->stream) {
      impl->stream->Send(report);
    }
  });
}

void ControlClient::SetQuotaStateHandler(
    std::function<void(const QuotaState&)> on_state) {
  if (this->impl->stream) {
    this->impl->stream->SetQuotaStateHandler(std::move(on_state));
  }
}

void ControlClient::SetAggregatorsHandler(
    std::function<void(const AggregatorUpdate&)> on_aggregators) {
  if (this->impl->stream) {
    this->impl->stream->SetAggregatorsHandler(
        [handler = std::move(on_aggregators),
         weak = std::weak_ptr(this->impl->sharing)](
            const AggregatorUpdate& update) {
          if (const auto sharing = weak.lock()) {
            sharing->OnAggregators(update);
          }
          handler(update);
        });
  }
}

void ControlClient::SetControls(std::vector<Endpoint> controls) {
  this->impl->queue.Post([impl = this->impl, controls = std::move(controls)] {
    if (impl->stream) {
      impl->stream->SetControls(controls);
    }
  });
}

void ControlClient::WithdrawAggregator() {
  this->impl->queue.Post([impl = this->impl] {
    if (impl->stream) {
      impl->stream->WithdrawAggregator();
    }
  });
}

Duration ControlClient::lists_confirmed_age() const {
  return this->impl->clock.Now() - this->impl->lists_confirmed_at.load();
}

bool ControlClient::is_synchronised() const {
  return this->impl->has_synchronised;
}

}  // namespace marigold
