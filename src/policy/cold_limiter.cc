#include "src/policy/cold_limiter.h"

#include <algorithm>
#include <cmath>

#include "src/core/checksum.h"
#include "src/policy/rendezvous_hash.h"

namespace marigold {

namespace {

// The bound on the requests to a cold server in any second is
// kBoundFactor x rate + kBoundBurst.
constexpr double kBoundFactor = 1.5;
constexpr double kBoundBurst = 5;
// The part of the bound that is divided. The rest is for designated entry VMs
// beyond the number, because entry VMs may disagree on the membership.
constexpr double kUsedPart = 0.8;
constexpr double kTokensEach = 1;

}  // namespace

ColdShare DivideColdRate(RatePerSecond cold_rate) {
  const double spare = (kBoundFactor - 1) * cold_rate.value() + kBoundBurst;
  ColdShare share;
  share.designated = static_cast<std::size_t>(std::floor(kUsedPart * spare));
  share.rate = RatePerSecond(kUsedPart * cold_rate.value() /
                             static_cast<double>(share.designated));
  return share;
}

void ColdSenders::Apply(MonotonicTime now,
                        bool is_full,
                        std::span<const VmId> added,
                        std::span<const VmId> removed) {
  if (is_full) {
    if (!this->settled_at) {
      this->settled_at = now + kSettleTime;
    }
    for (auto& [other, unlisted_at] : this->others) {
      unlisted_at = unlisted_at.value_or(now);
    }
  }
  for (const VmId& other : removed) {
    const auto found = this->others.find(other);
    if (found != this->others.end() && !found->second) {
      found->second = now;
    }
  }
  for (const VmId& other : added) {
    if (other != this->vm &&
        this->others.insert_or_assign(other, std::nullopt).second) {
      ++this->set_version;
    }
  }
  this->DropExpired(now);
}

void ColdSenders::DropExpired(MonotonicTime now) {
  const std::size_t dropped =
      std::erase_if(this->others, [&](const auto& item) {
        return item.second && now - *item.second >= kUnlistedLifetime;
      });
  this->set_version += dropped > 0 ? 1 : 0;
}

bool ColdSenders::IsDesignated(const BackendServerId& server,
                               std::size_t count) const {
  const std::uint64_t key = Checksum(server.value());
  const std::uint64_t own_weight = RendezvousWeight(key, this->vm.value());
  const auto before = std::count_if(
      this->others.begin(), this->others.end(), [&](const auto& item) {
        return RendezvousWeight(key, item.first.value()) > own_weight;
      });
  return static_cast<std::size_t>(before) < count;
}

std::string_view ToString(ColdReason reason) {
  switch (reason) {
    case ColdReason::kNone:
      return "none";
    case ColdReason::kListed:
      return "listed";
    case ColdReason::kReturned:
      return "returned";
    case ColdReason::kUnreachable:
      return "unreachable";
    case ColdReason::kCutOff:
      return "cut_off";
  }
  return "unknown";
}

void ColdStatus::OnReturn(MonotonicTime now) {
  this->returned_at = now;
}

void ColdStatus::OnUnreachable(MonotonicTime now) {
  if (!std::exchange(this->is_unreachable, true)) {
    this->next_probe_at = now + kFirstProbeDelay;
  }
}

void ColdStatus::OnReply(MonotonicTime now) {
  if (std::exchange(this->is_unreachable, false)) {
    this->OnReturn(now);
  }
}

void ColdStatus::OnListed(MonotonicTime observed_at, bool is_cold) {
  this->is_listed_cold = is_cold;
  if (!is_cold && this->returned_at &&
      observed_at >= *this->returned_at + kListLag) {
    this->returned_at.reset();
  }
}

bool ColdStatus::TakeProbe(MonotonicTime now) {
  if (!this->is_unreachable || now < this->next_probe_at) {
    return false;
  }
  this->next_probe_at = now + kProbeInterval;
  return true;
}

ColdReason ColdStatus::reason() const {
  if (this->is_listed_cold) {
    return ColdReason::kListed;
  }
  if (this->is_unreachable) {
    return ColdReason::kUnreachable;
  }
  return this->returned_at ? ColdReason::kReturned : ColdReason::kNone;
}

bool ColdStatus::MaySend(MonotonicTime now,
                         const BackendServerId& server,
                         RatePerSecond cold_rate,
                         const ColdSenders& senders) const {
  if (!senders.IsSettled(now)) {
    return false;
  }
  if (this->senders_version != senders.version() ||
      this->designated_for != cold_rate) {
    const ColdShare share = DivideColdRate(cold_rate);
    this->senders_version = senders.version();
    this->designated_for = cold_rate;
    this->is_designated = senders.IsDesignated(server, share.designated);
    this->sends.Configure(now, share.rate, kTokensEach);
  }
  return this->is_designated && this->sends.IsFull(now);
}

}  // namespace marigold
