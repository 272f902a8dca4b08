#include "tools/soak/list_follower.h"

#include <utility>

namespace marigold {

namespace {

constexpr Duration kAskInterval = std::chrono::milliseconds(200);
constexpr Duration kSilenceTimeout = std::chrono::milliseconds(1500);

}  // namespace

ListFollower::ListFollower(
    Surroundings surroundings,
    VmId owner,
    const std::vector<std::unique_ptr<ControlVm>>& control_vms)
    : shared(surroundings),
      vm(std::move(owner)),
      controls(control_vms),
      table(std::make_unique<ListTable>()) {}

void ListFollower::Start() {
  this->ChangeSource();
  this->Ask();
}

void ListFollower::Restart() {
  ++this->process;
  this->table = std::make_unique<ListTable>();
  this->restarted = true;
  this->Start();
}

void ListFollower::Ask() {
  this->CheckSilence();
  const std::uint64_t asked = this->source;
  ControlVm* control = this->controls[asked].get();
  const bool takes_all = this->shared.plant == Plant::kOlderListsApplied;
  const LogIndex have = takes_all ? LogIndex() : this->table->index();
  const std::uint64_t process_then = this->process;
  this->shared.network.Send(
      this->vm, control->id(), [this, control, asked, have, process_then] {
        if (!control->is_running() || control->is_frozen()) {
          return;
        }
        Beat beat{asked, control->HasQuorumContact(),
                  control->UpdateAfter(have)};
        this->shared.network.Send(control->id(), this->vm,
                                  [this, beat, process_then] {
                                    if (this->process == process_then) {
                                      this->OnBeat(beat);
                                    }
                                  });
      });
  this->shared.events.After(kAskInterval, [this, process_then] {
    if (this->process == process_then) {
      this->Ask();
    }
  });
}

void ListFollower::OnBeat(const Beat& beat) {
  if (beat.update) {
    this->Apply(*beat.update);
  }
  if (beat.source == this->source && beat.has_quorum) {
    this->last_beat = this->shared.events.now();
  }
}

void ListFollower::Apply(const ListUpdate& update) {
  if (this->shared.plant == Plant::kOlderListsApplied && update.full_lists) {
    this->table = std::make_unique<ListTable>();
  }
  const ListUpdateResult result =
      this->table->Apply(this->shared.events.now(), update);
  if (result == ListUpdateResult::kApplied) {
    this->shared.judge.OnListsInForce(this->vm, this->table->index(),
                                      std::exchange(this->restarted, false));
  }
}

void ListFollower::CheckSilence() {
  if (this->shared.events.now() - this->last_beat > kSilenceTimeout) {
    this->ChangeSource();
  }
}

// Another control VM than the present one, as the product's choice does.
void ListFollower::ChangeSource() {
  const std::uint64_t count = this->controls.size();
  this->source =
      (this->source + 1 + this->shared.random.NextBelow(count - 1)) % count;
  this->last_beat = this->shared.events.now();
}

}  // namespace marigold
