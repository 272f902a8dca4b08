#include "tools/soak/list_subscriber.h"

#include <utility>

namespace marigold {

namespace {

constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(200);
constexpr Duration kSilenceTimeout = std::chrono::milliseconds(1500);

}  // namespace

ListSubscriber::ListSubscriber(
    SimulationContext simulation_context,
    VmId owner,
    const std::vector<std::unique_ptr<ControlVm>>& control_vms)
    : context(simulation_context),
      vm(std::move(owner)),
      controls(control_vms),
      table(std::make_unique<ListTable>()) {}

void ListSubscriber::Start() {
  this->ChangeSource();
  this->SendHeartbeat();
}

void ListSubscriber::Restart() {
  ++this->process_generation;
  this->table = std::make_unique<ListTable>();
  this->restarted = true;
  this->Start();
}

void ListSubscriber::SendHeartbeat() {
  this->CheckSilence();
  const std::uint64_t requested_source = this->source_index;
  ControlVm* control = this->controls[requested_source].get();
  const bool requests_full_lists =
      this->context.planted_bug == PlantedBug::kOlderListsApplied;
  const LogIndex known_index =
      requests_full_lists ? LogIndex() : this->table->index();
  const std::uint64_t generation = this->process_generation;
  this->context.network.Send(
      this->vm, control->id(),
      [this, control, requested_source, known_index, generation] {
        if (!control->is_running() || control->is_frozen()) {
          return;
        }
        Heartbeat heartbeat{requested_source, control->KnowsLeader(),
                            control->ListUpdateAfter(known_index)};
        this->context.network.Send(
            control->id(), this->vm, [this, heartbeat, generation] {
              if (this->process_generation == generation) {
                this->OnHeartbeat(heartbeat);
              }
            });
      });
  this->context.events.After(kHeartbeatInterval, [this, generation] {
    if (this->process_generation == generation) {
      this->SendHeartbeat();
    }
  });
}

void ListSubscriber::OnHeartbeat(const Heartbeat& heartbeat) {
  if (heartbeat.update) {
    this->Apply(*heartbeat.update);
  }
  if (heartbeat.source_index == this->source_index && heartbeat.knows_leader) {
    this->last_heartbeat_at = this->context.events.now();
  }
}

void ListSubscriber::Apply(const ListUpdate& update) {
  if (this->context.planted_bug == PlantedBug::kOlderListsApplied &&
      update.full_lists) {
    this->table = std::make_unique<ListTable>();
  }
  const ListUpdateResult result =
      this->table->Apply(this->context.events.now(), update);
  if (result == ListUpdateResult::kApplied) {
    this->context.checker.OnListsInForce(this->vm, this->table->index(),
                                         std::exchange(this->restarted, false));
  }
}

void ListSubscriber::CheckSilence() {
  if (this->context.events.now() - this->last_heartbeat_at > kSilenceTimeout) {
    this->ChangeSource();
  }
}

// Selects a random control VM other than the current one, as the production
// code does.
void ListSubscriber::ChangeSource() {
  const std::uint64_t count = this->controls.size();
  this->source_index =
      (this->source_index + 1 + this->context.random.NextBelow(count - 1)) %
      count;
  this->last_heartbeat_at = this->context.events.now();
}

}  // namespace marigold
