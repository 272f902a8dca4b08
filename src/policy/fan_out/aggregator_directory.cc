#include "src/policy/fan_out/aggregator_directory.h"

#include <algorithm>
#include <string>
#include <utility>

#include "src/core/checksum.h"
#include "src/policy/rendezvous_hash.h"

namespace marigold {

namespace {

// The roots divide the queries for a group between this many candidates. The
// further ones get queries only while these are busy, so that few VMs keep
// connections to a server and learn soon when it is slow.
constexpr std::size_t kFirstCandidates = 3;

// A VM that reports this many queries in progress gets no new ones for a while
// if another candidate has fewer.
constexpr std::uint32_t kBusyCalls = 4;
constexpr Duration kBusyTime = std::chrono::milliseconds(100);

// A VM that has been silent this many times in a row is avoided. Once is not
// enough, because a report may be late for other reasons.
constexpr std::uint32_t kMaxSilentQueries = 2;

// How long a VM that was silent or whose connection failed is not asked.
constexpr Duration kAvoidTime = std::chrono::seconds(1);

}  // namespace

AggregatorDirectory::AggregatorDirectory(VmId own_vm,
                                         DataCentreId home_data_centre,
                                         FanOutSettings fan_out_settings)
    : vm(std::move(own_vm)),
      own_data_centre(std::move(home_data_centre)),
      settings(fan_out_settings) {}

void AggregatorDirectory::Apply(const AggregatorUpdate& update) {
  if (update.is_full) {
    for (Member& member : this->members) {
      member.is_listed = false;
    }
  }
  for (const VmId& removed : update.removed) {
    const auto found = this->index_by_vm.find(removed);
    if (found != this->index_by_vm.end()) {
      this->members[found->second.value()].is_listed = false;
    }
  }
  for (const Aggregator& aggregator : update.added) {
    if (aggregator.vm != this->vm) {
      this->Add(aggregator);
    }
  }
  this->candidates.clear();
  this->members_by_data_centre.clear();
  for (std::size_t i = 0; i < this->members.size(); ++i) {
    const Member& member = this->members[i];
    if (member.is_listed) {
      this->members_by_data_centre[member.aggregator.data_centre].push_back(
          AggregatorIndex(i));
    }
  }
}

void AggregatorDirectory::Add(const Aggregator& aggregator) {
  const auto [position, added] = this->index_by_vm.try_emplace(
      aggregator.vm, AggregatorIndex(this->members.size()));
  if (added) {
    this->members.emplace_back();
  }
  Member& member = this->members[position->second.value()];
  if (member.aggregator != aggregator) {
    member.aggregator = aggregator;
    member.avoided_until = MonotonicTime();
  }
  member.is_listed = true;
}

void AggregatorDirectory::OnReport(MonotonicTime now,
                                   AggregatorIndex index,
                                   const RouteName& route,
                                   Duration latency,
                                   std::uint32_t calls_in_progress) {
  Member& member = this->members[index.value()];
  member.avoided_until = MonotonicTime();
  member.silent_queries = 0;
  member.busy_until =
      calls_in_progress >= kBusyCalls ? now + kBusyTime : MonotonicTime();
  this->report_latencies.try_emplace(route, kSamplesPerHistogram)
      .first->second.Add(latency);
}

void AggregatorDirectory::OnSilent(MonotonicTime now, AggregatorIndex index) {
  Member& member = this->members[index.value()];
  if (++member.silent_queries >= kMaxSilentQueries) {
    member.avoided_until = now + kAvoidTime;
  }
}

void AggregatorDirectory::OnLost(MonotonicTime now, AggregatorIndex index) {
  this->members[index.value()].avoided_until = now + kAvoidTime;
}

std::optional<AggregatorIndex> AggregatorDirectory::Choose(
    MonotonicTime now,
    const ShardGroup& group,
    std::span<const AggregatorIndex> excluded) {
  if (!group.data_centre) {
    return std::nullopt;
  }
  const Candidates& ordered = this->CandidatesOf(group);
  const auto is_usable = [&](AggregatorIndex index) {
    return std::find(excluded.begin(), excluded.end(), index) ==
               excluded.end() &&
           now >= this->members[index.value()].avoided_until;
  };
  auto found =
      std::find_if(ordered.begin(), ordered.end(), [&](AggregatorIndex index) {
        return is_usable(index) &&
               now >= this->members[index.value()].busy_until;
      });
  if (found == ordered.end()) {
    found = std::find_if(ordered.begin(), ordered.end(), is_usable);
  }
  if (found == ordered.end()) {
    return std::nullopt;
  }
  return *found;
}

const AggregatorDirectory::Candidates& AggregatorDirectory::CandidatesOf(
    const ShardGroup& group) {
  const auto [position, added] = this->candidates.try_emplace(group.key);
  const auto members_found =
      this->members_by_data_centre.find(*group.data_centre);
  if (!added || members_found == this->members_by_data_centre.end()) {
    return position->second;
  }
  Candidates ordered = members_found->second;
  const auto sort_by_weight = [this](auto first, auto last, std::uint64_t key) {
    std::sort(first, last, [&](AggregatorIndex a, AggregatorIndex b) {
      return RendezvousWeight(key, this->At(a).vm.value()) >
             RendezvousWeight(key, this->At(b).vm.value());
    });
  };
  sort_by_weight(ordered.begin(), ordered.end(), group.key.value());
  const std::size_t candidate_count =
      std::max(ordered.size() / group.group_count, kFirstCandidates);
  ordered.resize(std::min(ordered.size(), candidate_count));
  const auto first_end =
      ordered.begin() +
      static_cast<std::ptrdiff_t>(std::min(ordered.size(), kFirstCandidates));
  sort_by_weight(ordered.begin(), first_end,
                 group.key.value() ^ Checksum(this->vm.value()));
  position->second = std::move(ordered);
  return position->second;
}

std::uint64_t AggregatorDirectory::RankOf(
    const DataCentreId& data_centre) const {
  return RendezvousWeight(Checksum(this->vm.value()), data_centre.value());
}

std::optional<Duration> AggregatorDirectory::ReportQuantile(
    const RouteName& route,
    Fraction quantile) const {
  const auto found = this->report_latencies.find(route);
  return found == this->report_latencies.end()
             ? std::nullopt
             : found->second.Quantile(quantile);
}

std::size_t AggregatorDirectory::size() const {
  std::size_t listed = 0;
  for (const auto& [data_centre, indexes] : this->members_by_data_centre) {
    listed += indexes.size();
  }
  return listed;
}

}  // namespace marigold
