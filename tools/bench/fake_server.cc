#include "tools/bench/fake_server.h"

#include <algorithm>
#include <cmath>

namespace marigold {

namespace {

// Ended jobs are dropped when this many have gathered beyond the slots.
constexpr std::size_t kJobsBeyondSlots = 64;

// Orders a heap with the earliest at the front.
template <class Slot>
bool IsLater(const Slot& a, const Slot& b) {
  return a.free_at > b.free_at;
}

Duration Scale(Duration duration, double factor) {
  return Duration(static_cast<std::int64_t>(
      static_cast<double>(duration.count()) * factor));
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
  if (this->gone) {
    return std::monostate();
  }
  this->CatchUp(now);
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
  if (const auto failure = this->WhyMissing(snapshot, shard)) {
    return *failure;
  }
  if (this->IsFull(now)) {
    return AttemptFailure::kShed;
  }
  return this->Enter(now, attempt);
}

void FakeServer::Cancel(MonotonicTime now, AttemptId attempt) {
  this->CatchUp(now);
  const auto job = std::find_if(
      this->jobs.begin(), this->jobs.end(),
      [attempt](const Job& item) { return item.attempt == attempt; });
  if (job == this->jobs.end() || job->ends <= now) {
    return;
  }
  const auto slot = std::find_if(
      this->slots.begin(), this->slots.end(),
      [&job](const Slot& item) { return item.number == job->slot; });
  // Jobs that were placed behind this one keep their times; they are few, since
  // a job goes to the slot that is free first.
  if (slot->free_at == job->ends) {
    slot->free_at = job->starts >= now ? job->slot_was_free : now;
    std::make_heap(this->slots.begin(), this->slots.end(), IsLater<Slot>);
  }
  this->jobs.erase(job);
}

LoadReport FakeServer::Report(MonotonicTime now) {
  this->CatchUp(now);
  LoadReport report;
  report.state = this->state;
  report.load = this->reported_load;
  if (this->lie == Lie::kAlwaysIdle) {
    report.load = 0;
  }
  if (this->lie == Lie::kAlwaysBusy) {
    constexpr std::uint32_t kFalseQueue = 4;
    report.load = this->settings.slots * kFalseQueue;
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
  this->CatchUp(now);
  this->settings.background = rate;
  this->ScheduleBackground(now);
}

void FakeServer::SetGone(MonotonicTime now, bool is_gone) {
  this->CatchUp(now);
  this->gone = is_gone;
  this->jobs.clear();
  for (Slot& slot : this->slots) {
    slot.free_at = now;
  }
}

void FakeServer::StartCold(MonotonicTime now,
                           double factor,
                           Duration duration) {
  this->cold_factor = factor;
  this->warm_up = duration;
  this->warm_at = now + duration;
}

void FakeServer::MeasureBusy(MonotonicTime now, bool measure) {
  this->CatchUp(now);
  this->measures_busy = measure;
}

void FakeServer::CatchUp(MonotonicTime now) {
  const Duration interval = this->settings.report_interval;
  while (this->next_background <= now || this->next_report <= now) {
    if (this->next_report <= this->next_background) {
      this->reported_load = this->LoadAt(this->next_report);
      if (this->measures_busy) {
        this->busy += std::min(
            static_cast<double>(this->reported_load) / this->settings.slots,
            1.0);
        ++this->samples;
      }
      this->next_report += interval;
      continue;
    }
    const MonotonicTime arrival = this->next_background;
    if (!this->gone && this->state == ServerState::kServing &&
        !this->IsFull(arrival)) {
      this->Enter(arrival, AttemptId());
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
         this->LoadAt(now) >= this->settings.slots + this->settings.queue;
}

std::uint32_t FakeServer::LoadAt(MonotonicTime now) {
  std::erase_if(this->jobs, [now](const Job& job) { return job.ends <= now; });
  return static_cast<std::uint32_t>(this->jobs.size());
}

MonotonicTime FakeServer::Enter(MonotonicTime now, AttemptId attempt) {
  const Slot slot = this->slots.front();
  Job job;
  job.attempt = attempt;
  job.slot = slot.number;
  job.slot_was_free = slot.free_at;
  job.starts = std::max(now, slot.free_at);
  job.ends =
      job.starts + Scale(this->times.Draw(this->random), this->SlownessAt(now));
  this->FreeFrontSlotAt(job.ends);
  if (this->jobs.size() >= this->slots.size() + kJobsBeyondSlots) {
    this->LoadAt(now);
  }
  this->jobs.push_back(job);
  return job.ends;
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

double FakeServer::SlownessAt(MonotonicTime now) const {
  if (now >= this->warm_at) {
    return this->slowness;
  }
  const double left = static_cast<double>((this->warm_at - now).count()) /
                      static_cast<double>(this->warm_up.count());
  return this->slowness * (1 + (this->cold_factor - 1) * left);
}

std::optional<AttemptFailure> FakeServer::WhyMissing(SnapshotId snapshot,
                                                     ShardId shard) const {
  for (const ManifestReport& manifest : this->snapshots) {
    if (manifest.snapshot == snapshot) {
      const bool carried =
          std::find(manifest.shards.begin(), manifest.shards.end(), shard) !=
          manifest.shards.end();
      return carried ? std::nullopt
                     : std::optional(AttemptFailure::kUnknownShard);
    }
  }
  return AttemptFailure::kUnknownSnapshot;
}

}  // namespace marigold
