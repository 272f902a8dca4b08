#include "src/net/control/list_stream.h"

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

#include "src/core/log.h"
#include "src/core/random.h"

namespace marigold {

namespace {

// After this time, the next control VM is tried. It is below the 1 s after
// which the kernel retransmits a SYN packet that a VM without power has missed.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(200);

// Lists that were not confirmed for this long are logged. A change of the
// stream after a silence usually takes less.
constexpr Duration kUnconfirmedLogAge = std::chrono::seconds(2);

}  // namespace

ListStream::ListStream(WorkerPool& worker_pool,
                       SerialQueue serial_queue,
                       ListTable& list_table,
                       ListingTable& listing_table,
                       const ControlClientSettings& client_settings,
                       std::function<void()> progress_handler)
    : pool(worker_pool),
      queue(std::move(serial_queue)),
      table(list_table),
      listing(listing_table),
      settings(client_settings),
      on_progress(std::move(progress_handler)),
      choice(client_settings.controls, SystemSeed()) {}

void ListStream::Start() {
  this->ScheduleConnect();
  this->ArmHeartbeat();
}

void ListStream::Stop() {
  this->is_stopped = true;
  this->connect_timer.Cancel();
  this->heartbeat_timer.Cancel();
  if (this->connection) {
    this->connection->Close();
  }
}

void ListStream::ScheduleConnect() {
  const MonotonicTime now = this->clock.Now();
  const ControlChoice::Attempt attempt = this->choice.NextAttempt(now);
  this->connect_timer = this->queue.After(
      attempt.at - now, [weak = this->weak_from_this(), attempt] {
        const auto self = weak.lock();
        if (self && !self->is_stopped && !self->connection) {
          self->Connect(attempt);
        }
      });
}

void ListStream::Connect(const ControlChoice::Attempt& attempt) {
  this->current_control = attempt.endpoint;
  this->connect_began_at = this->clock.Now();
  this->is_followed = false;
  FramedLimits limits;
  limits.silence_timeout = this->settings.silence_timeout;
  limits.first_frame_timeout =
      std::min(attempt.reply_timeout, this->settings.silence_timeout);
  limits.connect_timeout = kConnectTimeout;
  const auto new_connection = FramedConnection::Create(this->pool, limits);
  const std::weak_ptr<FramedConnection> weak_connection = new_connection;
  this->connection = new_connection;
  FramedHandlers handlers;
  handlers.on_body = [weak = this->weak_from_this(), weak_connection,
                      serial_queue = this->queue](std::string body) {
    serial_queue.Post([weak, weak_connection, body = std::move(body)] {
      const auto self = weak.lock();
      const auto from = weak_connection.lock();
      if (self && from) {
        self->OnBody(from, body);
      }
    });
  };
  handlers.on_closed = [weak = this->weak_from_this(), new_connection,
                        serial_queue = this->queue](CloseReason reason) {
    serial_queue.Post([weak, new_connection, reason] {
      if (const auto self = weak.lock()) {
        self->OnClosed(new_connection, reason);
      }
    });
  };
  this->Subscribe(this->table.index());
  this->Announce();
  new_connection->Connect(attempt.endpoint, std::move(handlers));
}

void ListStream::OnBody(const ConnectionPtr& from, const std::string& body) {
  if (from != this->connection) {
    return;
  }
  auto decoded =
      Capture<ControlMessage>([&] { return DecodeControlMessage(body); });
  auto* message = std::get_if<ControlMessage>(&decoded);
  if (message == nullptr) {
    this->choice.OnFailure(this->clock.Now(), this->current_control);
    this->connection->Close();
    return;
  }
  if (const auto* update = std::get_if<ListUpdate>(message)) {
    this->OnUpdate(*update);
  } else if (const auto* heartbeat = std::get_if<StreamHeartbeat>(message)) {
    this->OnHeartbeat(*heartbeat);
  } else if (auto* listing_update = std::get_if<ListingUpdate>(message)) {
    this->OnListing(std::move(*listing_update));
  } else if (const auto* hints = std::get_if<ServerHints>(message)) {
    this->on_hints(*hints);
  } else if (const auto* aggregators = std::get_if<AggregatorUpdate>(message)) {
    this->on_aggregators(*aggregators);
  } else if (const auto* state = std::get_if<QuotaState>(message)) {
    this->on_quota_state(*state);
  }
}

void ListStream::OnUpdate(const ListUpdate& update) {
  const MonotonicTime now = this->clock.Now();
  const ListUpdateResult result = this->table.Apply(now, update);
  if (result == ListUpdateResult::kGap) {
    this->Subscribe(LogIndex());
    return;
  }
  if (result == ListUpdateResult::kApplied && update.routes) {
    LogEvent(LogLevel::kInfo, "routes_in_force",
             {{"version", update.routes->version.value()},
              {"index", update.to.value()},
              {"control", ToString(this->current_control)}});
  }
  this->lag.OnApplied(now, this->table.index());
  this->SendHeartbeat();
  this->on_progress();
}

void ListStream::Send(const ControlMessage& message) {
  if (this->connection) {
    this->connection->Send(EncodeControlMessage(message));
  }
}

void ListStream::SetHintsHandler(
    std::function<void(const ServerHints&)> handler) {
  this->on_hints = std::move(handler);
}

void ListStream::SetAggregatorsHandler(
    std::function<void(const AggregatorUpdate&)> handler) {
  this->on_aggregators = std::move(handler);
}

void ListStream::SetQuotaStateHandler(
    std::function<void(const QuotaState&)> handler) {
  this->on_quota_state = std::move(handler);
}

void ListStream::SetListedHandler(
    std::function<void(const std::vector<ListedControl>&)> handler) {
  this->on_listed = std::move(handler);
}

void ListStream::WithdrawAggregator() {
  this->is_leaving = true;
  this->Announce();
}

void ListStream::Announce() {
  if (this->settings.aggregator.port != 0 && this->connection) {
    this->connection->Send(EncodeControlMessage(
        AnnounceAggregator{{this->settings.vm, this->settings.data_centre,
                            this->settings.aggregator, this->settings.listen},
                           this->is_leaving}));
  }
}

void ListStream::OnListing(ListingUpdate update) {
  this->listing.Store(std::move(update.servers),
                      this->clock.Now() - update.age);
  this->on_progress();
}

void ListStream::OnHeartbeat(const StreamHeartbeat& heartbeat) {
  const MonotonicTime now = this->clock.Now();
  this->OnControls(heartbeat);
  if (heartbeat.listing_age) {
    this->listing.Confirm(heartbeat.listing_hash, now - *heartbeat.listing_age);
  }
  this->listing.SetFleetLimitShare(Fraction(heartbeat.limit_share));
  if (heartbeat.has_quorum) {
    this->LogFollowed(heartbeat);
    this->choice.OnSuccess(this->current_control);
    this->last_confirmed_index = heartbeat.index;
    this->lag.OnApplied(now, this->table.index());
    this->lag.OnReported(now, heartbeat.index);
    if (this->lag.IsLagging(now)) {
      this->LeaveLaggingControl();
    } else if (this->choice.HasLocalAlternative(now, this->current_control)) {
      LogEvent(LogLevel::kInfo, "control_nearer",
               {{"left", ToString(this->current_control)}});
      this->connection->Close();
    }
  } else {
    this->last_confirmed_index.reset();
    this->choice.OnNoQuorum(now, this->current_control);
    if (this->choice.HasAlternative(now, this->current_control)) {
      LogEvent(LogLevel::kInfo, "control_without_quorum",
               {{"control", ToString(this->current_control)}});
      this->connection->Close();
    }
  }
  this->on_progress();
}

void ListStream::LeaveLaggingControl() {
  const MonotonicTime now = this->clock.Now();
  LogEvent(LogLevel::kWarning, "control_behind",
           {{"control", ToString(this->current_control)},
            {"index", this->table.index().value()},
            {"age_ms", ToMilliseconds(now - this->lists_confirmed_at())}});
  this->choice.OnFailure(now, this->current_control);
  this->connection->Close();
}

void ListStream::LogListsAge() {
  const Duration age = this->clock.Now() - this->lists_confirmed_at();
  const bool is_unconfirmed = age >= kUnconfirmedLogAge;
  if (is_unconfirmed != this->is_logged_unconfirmed) {
    this->is_logged_unconfirmed = is_unconfirmed;
    LogEvent(is_unconfirmed ? LogLevel::kWarning : LogLevel::kInfo,
             is_unconfirmed ? "lists_unconfirmed" : "lists_confirmed",
             {{"control", ToString(this->current_control)},
              {"index", this->table.index().value()},
              {"age_ms", ToMilliseconds(age)}});
  }
}

void ListStream::OnClosed(const ConnectionPtr& closed, CloseReason reason) {
  if (closed != this->connection || this->is_stopped) {
    return;
  }
  LogEvent(LogLevel::kInfo, "stream_closed",
           {{"control", ToString(this->current_control)},
            {"reason", ToString(reason)},
            {"open_ms",
             ToMilliseconds(this->clock.Now() - this->connect_began_at)}});
  this->connection.reset();
  this->last_confirmed_index.reset();
  this->lag.OnSourceLost();
  // If this side closed the stream, `choice` already reflects the cause.
  if (reason != CloseReason::kClosedHere) {
    this->choice.OnFailure(this->clock.Now(), this->current_control);
  }
  this->on_progress();
  this->ScheduleConnect();
}

void ListStream::Subscribe(LogIndex known_index) {
  this->connection->Send(EncodeControlMessage(
      marigold::Subscribe{this->settings.vm, this->settings.data_centre,
                          known_index, this->listing.Summary().hash}));
}

void ListStream::SendHeartbeat() {
  if (this->connection) {
    this->connection->Send(
        EncodeControlMessage(StreamHeartbeat{this->table.index(), false}));
  }
}

void ListStream::ArmHeartbeat() {
  this->heartbeat_timer = this->queue.After(this->settings.heartbeat_interval,
                                            [weak = this->weak_from_this()] {
                                              const auto self = weak.lock();
                                              if (self && !self->is_stopped) {
                                                self->SendHeartbeat();
                                                self->LogListsAge();
                                                self->ArmHeartbeat();
                                              }
                                            });
}

}  // namespace marigold
