#include "tools/standin/platform_table.h"

namespace marigold {

PlatformTable::PlatformTable(const std::vector<SearcherPlace>& places) {
  for (const SearcherPlace& place : places) {
    this->view.Add(place.record);
    this->schedules.try_emplace(place.record.service, place.shape.instances);
  }
}

void PlatformTable::SetPresence(MonotonicTime now,
                                const BackendServerId& server,
                                Presence presence) {
  const RankedLock lock(this->mutex);
  this->view.SetPresence(now, server, presence);
}

void PlatformTable::SetListLag(Duration lag) {
  const RankedLock lock(this->mutex);
  this->view.SetLag(lag);
}

std::optional<SnapshotLayout> PlatformTable::Publish(
    MonotonicTime now,
    const ServiceId& service,
    std::optional<std::uint64_t> shards) {
  const RankedLock lock(this->mutex);
  const auto position = this->schedules.find(service);
  if (position == this->schedules.end()) {
    return std::nullopt;
  }
  SnapshotSchedule& schedule = position->second;
  if (shards) {
    schedule.Repartition(now, *shards);
  } else {
    schedule.Advance(now);
  }
  return schedule.newest();
}

PlatformVmList PlatformTable::ListAt(MonotonicTime now) const {
  const RankedLock lock(this->mutex);
  return this->view.ListAt(now);
}

std::vector<SnapshotLayout> PlatformTable::HeldSnapshots(
    MonotonicTime now,
    const ServiceId& service,
    Duration delay) const {
  const RankedLock lock(this->mutex);
  return this->schedules.at(service).HeldSnapshots(now, delay);
}

std::map<ServiceId, SnapshotLayout> PlatformTable::NewestSnapshots() const {
  const RankedLock lock(this->mutex);
  std::map<ServiceId, SnapshotLayout> newest;
  for (const auto& [service, schedule] : this->schedules) {
    newest.emplace(service, schedule.newest());
  }
  return newest;
}

}  // namespace marigold
