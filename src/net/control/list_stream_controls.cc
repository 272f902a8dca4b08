#include <string>
#include <utility>
#include <vector>

#include "src/core/log.h"
#include "src/net/control/list_stream.h"

namespace marigold {

namespace {

std::string ToText(const std::vector<ControlVmLocation>& controls) {
  std::string text;
  for (const ControlVmLocation& control : controls) {
    text += text.empty() ? "" : ",";
    text += ToString(control.endpoint);
    text += control.is_voter ? "" : "(no vote)";
  }
  return text;
}

}  // namespace

std::vector<ListedControl> ListStream::ToListed(
    const std::vector<ControlVmLocation>& controls) const {
  std::vector<ListedControl> listed;
  listed.reserve(controls.size());
  for (const ControlVmLocation& control : controls) {
    listed.push_back({control.endpoint,
                      control.data_centre == this->settings.data_centre,
                      control.is_voter});
  }
  return listed;
}

void ListStream::OnControls(const StreamHeartbeat& heartbeat) {
  // A control VM without a quorum may have been replaced without knowing it.
  // The members that it lists may all be gone.
  const std::vector<ListedControl> listed = this->ToListed(heartbeat.controls);
  if (heartbeat.has_quorum) {
    this->choice.OnListed(listed);
    this->on_listed(listed);
    this->LogControls(heartbeat.controls);
  } else {
    this->choice.OnSuggested(listed);
  }
}

void ListStream::SetControls(const std::vector<Endpoint>& controls) {
  if (this->is_stopped) {
    return;
  }
  this->choice.OnSettings(controls);
  if (!this->connection) {
    this->ScheduleConnect();
  }
}

void ListStream::AddControls(const std::vector<ControlVmLocation>& controls) {
  if (this->is_stopped || !this->choice.OnSuggested(this->ToListed(controls))) {
    return;
  }
  LogEvent(LogLevel::kInfo, "controls_learned",
           {{"controls", ToText(controls)}});
  if (!this->connection) {
    this->ScheduleConnect();
  }
}

void ListStream::LogFollowed(const StreamHeartbeat& heartbeat) {
  if (std::exchange(this->is_followed, true)) {
    return;
  }
  LogEvent(LogLevel::kInfo, "control_followed",
           {{"control", ToString(this->current_control)},
            {"control_index", heartbeat.index.value()},
            {"index", this->table.index().value()},
            {"connect_ms",
             ToMilliseconds(this->clock.Now() - this->connect_began_at)}});
}

void ListStream::LogControls(const std::vector<ControlVmLocation>& controls) {
  if (controls == this->listed_controls) {
    return;
  }
  this->listed_controls = controls;
  LogEvent(LogLevel::kInfo, "controls_listed",
           {{"by", ToString(this->current_control)},
            {"controls", ToText(controls)}});
}

}  // namespace marigold
