#include "tools/bench/fake_server.h"

#include <algorithm>
#include <cmath>

namespace marigold {

namespace {

// Ended jobs are removed when the number of jobs exceeds the number of slots by
// this many.
constexpr std::size_t kMaxJobsBeyondSlots = 64;

// Orders a heap so that the slot that is free first is at the front.
template <class Slot>
bool IsLater(const Slot& a, const Slot& b) {
  return a.free_at > b.free_at;
}

}  // namespace

FakeServer::FakeServer(FakeServerSettings server_settings,
                       const ServiceTimes& service_times,
                       std::uint64_t seed)
    : settings(server_settings), times(service_times), random(seed) {
  for (std::uint32_t i = 0; i < server_settings.slots; ++i) {
    this->slots.push_back({MonotonicTime(), i});
  }
  this->ScheduleBackground(MonotonicTime());
}

FakeServer::Acceptance FakeServer::Accept(MonotonicTime now,
                                          AttemptId attempt,
                                          SnapshotId snapshot,
                                          ShardId shard) {
  if (this->unresponsive) {
    return std::monostate();
  }
  this->AdvanceTo(now);
  switch (this->state) {
    case ServerState::kStarting:
      return AttemptFailure::kStarting;
    case ServerState::kDraining:
      return AttemptFailure::kDraining;
    case ServerState::kLeaving:
    case ServerState::kLost:
      return AttemptFailure::kNotSent;
    case ServerState::kServing:
      break;
  }
  if (const auto failure = this->FindMissingData(snapshot, shard)) {
    return *failure;
  }
  if (this->IsFull(now)) {
    return AttemptFailure::kShed;
  }
  return this->Enqueue(now, attempt);
}

void FakeServer::Cancel(MonotonicTime now, AttemptId attempt) {
  this->AdvanceTo(now);
  const auto job = std::find_if(
      this->jobs.begin(), this->jobs.end(),
      [attempt](const Job& item) { return item.attempt == attempt; });
  if (job == this->jobs.end() || job->ends_at <= now) {
    return;
  }
  const auto slot = std::find_if(
      this->slots.begin(), this->slots.end(),
      [&job](const Slot& item) { return item.number == job->slot; });
  // Jobs that are queued behind this one keep their times. There are few of
  // them, since a job goes to the slot that is free first.
  if (slot->free_at == job->ends_at) {
    slot->free_at = job->starts_at >= now ? job->previous_free_at : now;
    std::make_heap(this->slots.begin(), this->slots.end(), IsLater<Slot>);
  }
  this->jobs.erase(job);
}

LoadReport FakeServer::Report(MonotonicTime now) {
  this->AdvanceTo(now);
  LoadReport report;
  report.state = this->state;
  report.load = this->reported_load;
  if (this->load_misreport == LoadMisreport::kAlwaysIdle) {
    report.load = 0;
  }
  if (this->load_misreport == LoadMisreport::kAlwaysBusy) {
    constexpr std::uint32_t kFalseLoadPerSlot = 4;
    report.load = this->settings.slots * kFalseLoadPerSlot;
  }
  if (!this->snapshots.empty()) {
    report.newest_snapshot = this->snapshots.back().snapshot;
  }
  return report;
}

StatusReport FakeServer::Status(MonotonicTime now) {
  StatusReport status;
  status.load = this->Report(now);
  status.slots = this->settings.slots;
  status.snapshots = this->snapshots;
  return status;
}

void FakeServer::SetBackground(MonotonicTime now, RatePerSecond rate) {
  this->AdvanceTo(now);
  this->settings.background = rate;
  this->ScheduleBackground(now);
}

void FakeServer::SetUnresponsive(MonotonicTime now, bool is_unresponsive) {
  this->AdvanceTo(now);
  this->unresponsive = is_unresponsive;
  this->jobs.clear();
  for (Slot& slot : this->slots) {
    slot.free_at = now;
  }
}

void FakeServer::StartCold(MonotonicTime now,
                           double factor,
                           Duration duration) {
  this->cold_slowdown = factor;
  this->warm_up = duration;
  this->warm_at = now + duration;
}

void FakeServer::MeasureBusy(MonotonicTime now, bool measure) {
  this->AdvanceTo(now);
  this->is_measuring_busy = measure;
}

void FakeServer::AdvanceTo(MonotonicTime now) {
  const Duration interval = this->settings.report_interval;
  while (this->next_background <= now || this->next_report <= now) {
    if (this->next_report <= this->next_background) {
      this->reported_load = this->LoadAt(this->next_report);
      if (this->is_measuring_busy) {
        this->busy += std::min(
            static_cast<double>(this->reported_load) / this->settings.slots,
            1.0);
        ++this->busy_sample_count;
      }
      this->next_report += interval;
      continue;
    }
    const MonotonicTime arrival = this->next_background;
    if (!this->unresponsive && this->state == ServerState::kServing &&
        !this->IsFull(arrival)) {
      this->Enqueue(arrival, AttemptId());
    }
    this->ScheduleBackground(arrival);
  }
}

void FakeServer::ScheduleBackground(MonotonicTime now) {
  const double rate = this->settings.background.value();
  if (rate <= 0) {
    this->next_background = MonotonicTime::max();
    return;
  }
  const double gap = -std::log(1 - this->random.NextDouble()) / rate;
  this->next_background = now + FromSeconds(gap) + Duration(1);
}

bool FakeServer::IsFull(MonotonicTime now) {
  return this->slots.front().free_at > now &&
         this->LoadAt(now) >= this->settings.slots + this->settings.max_queued;
}

std::uint32_t FakeServer::LoadAt(MonotonicTime now) {
  std::erase_if(this->jobs,
                [now](const Job& job) { return job.ends_at <= now; });
  return static_cast<std::uint32_t>(this->jobs.size());
}

MonotonicTime FakeServer::Enqueue(MonotonicTime now, AttemptId attempt) {
  const Slot slot = this->slots.front();
  Job job;
  job.attempt = attempt;
  job.slot = slot.number;
  job.previous_free_at = slot.free_at;
  job.starts_at = std::max(now, slot.free_at);
  job.ends_at = job.starts_at +
                Scale(this->times.Draw(this->random), this->SlowdownAt(now));
  this->FreeFrontSlotAt(job.ends_at);
  if (this->jobs.size() >= this->slots.size() + kMaxJobsBeyondSlots) {
    this->LoadAt(now);
  }
  this->jobs.push_back(job);
  return job.ends_at;
}

void FakeServer::FreeFrontSlotAt(MonotonicTime time) {
  const std::size_t count = this->slots.size();
  Slot moved = this->slots.front();
  moved.free_at = time;
  std::size_t hole = 0;
  while (2 * hole + 1 < count) {
    std::size_t child = 2 * hole + 1;
    if (child + 1 < count &&
        this->slots[child + 1].free_at < this->slots[child].free_at) {
      ++child;
    }
    if (this->slots[child].free_at >= time) {
      break;
    }
    this->slots[hole] = this->slots[child];
    hole = child;
  }
  this->slots[hole] = moved;
}

double FakeServer::SlowdownAt(MonotonicTime now) const {
  if (now >= this->warm_at) {
    return this->slowdown;
  }
  const double left = static_cast<double>((this->warm_at - now).count()) /
                      static_cast<double>(this->warm_up.count());
  return this->slowdown * (1 + (this->cold_slowdown - 1) * left);
}

std::optional<AttemptFailure> FakeServer::FindMissingData(SnapshotId snapshot,
                                                          ShardId shard) const {
  for (const ManifestReport& manifest : this->snapshots) {
    if (manifest.snapshot == snapshot) {
      const bool holds_shard =
          std::find(manifest.shards.begin(), manifest.shards.end(), shard) !=
          manifest.shards.end();
      return holds_shard ? std::nullopt
                         : std::optional(AttemptFailure::kUnknownShard);
    }
  }
  return AttemptFailure::kUnknownSnapshot;
}

}  // namespace marigold
