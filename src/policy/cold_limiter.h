#ifndef SRC_POLICY_COLD_LIMITER_H_
#define SRC_POLICY_COLD_LIMITER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <utility>

#include "src/core/ids.h"
#include "src/core/units.h"
#include "src/policy/token_bucket.h"

namespace marigold {

// The entry VMs that share the requests to a cold server, and the number of
// requests that each of them may send without asking the others.
struct ColdShare {
  // The number of designated entry VMs.
  std::size_t designated = 0;
  // The rate at which one designated entry VM earns sends. It may keep one.
  RatePerSecond rate;
};

// Divides the rate that a cold server can handle. `designated` entry VMs send
// at most designated + 0.8 x `cold_rate` requests in any second. With a quarter
// more of them, because they disagree on the membership, the sum is still at
// most 1.5 x `cold_rate` + 5.
ColdShare DivideColdRate(RatePerSecond cold_rate);

// The entry VMs that may be designated, as one of them knows them. Not
// synchronised.
class ColdSenders {
 public:
  explicit ColdSenders(VmId own_vm) : vm(std::move(own_vm)) {}

  // Commands.

  // Applies a change of the set of entry VMs. If `is_full`, `added` is the
  // whole set without this VM.
  void Apply(MonotonicTime now,
             bool is_full,
             std::span<const VmId> added,
             std::span<const VmId> removed);

  // Drops the entry VMs that have been unlisted for `kUnlistedLifetime`.
  void DropExpired(MonotonicTime now);

  // Queries.

  // True if this VM is among the first `count` for the server.
  bool IsDesignated(const BackendServerId& server, std::size_t count) const;
  // True once the set is known well enough to decide.
  bool IsSettled(MonotonicTime now) const {
    return this->settled_at && now >= *this->settled_at;
  }
  // Changes with the set.
  std::uint64_t version() const { return this->set_version; }

  // A control VM that has restarted names few entry VMs until the others have
  // announced themselves again. If the missing ones were dropped at once, many
  // entry VMs would take themselves for designated ones.
  static constexpr Duration kUnlistedLifetime = std::chrono::seconds(30);
  // The time from the first set until a process relies on it. After a start of
  // the whole system, all entry VMs have announced themselves by then.
  static constexpr Duration kSettleTime = std::chrono::seconds(2);

 private:
  VmId vm;
  // The other entry VMs, with the time since which each is not listed.
  std::map<VmId, std::optional<MonotonicTime>> others;
  std::optional<MonotonicTime> settled_at;
  std::uint64_t set_version = 1;
};

// Why a server counts as possibly cold.
enum class ColdReason {
  kNone,
  // The list says so.
  kListed,
  // It has returned, and the list may be older than that.
  kReturned,
  // It can't be reached, so that it may return at any moment.
  kUnreachable,
  // Its data centre is cut off, with the same consequence.
  kCutOff,
};

// Stable text for logs, such as "returned".
std::string_view ToString(ColdReason reason);

// Whether one start of a backend server may be cold, from what its list and its
// replies say, and the sends that this entry VM has left for it. Not
// synchronised.
class ColdStatus {
 public:
  // Commands.

  // The server is listed for the first time, or its evacuation or the cut of
  // its data centre has ended.
  void OnReturn(MonotonicTime now);
  void OnUnreachable(MonotonicTime now);
  // The server has replied, or accepted a connection.
  void OnReply(MonotonicTime now);
  // A list that was read at `observed_at` has the server.
  void OnListed(MonotonicTime observed_at, bool is_cold);

  // Returns true if it is time to find out whether the server, which was
  // unreachable, accepts connections again.
  bool TakeProbe(MonotonicTime now);

  // Takes the permission for one send. Must follow `MaySend`.
  void TakeSend(MonotonicTime now) { this->sends.TryTake(now); }

  // Returns whether the server's state for logs has changed since the last
  // call.
  bool UpdateLogged(bool is_held_back) {
    return std::exchange(this->is_logged, is_held_back) != is_held_back;
  }

  // Queries.

  ColdReason reason() const;

  // True if this entry VM may send one request to the server while it is
  // possibly cold. Remembers whether this VM is designated until the set of
  // entry VMs or the rate changes.
  bool MaySend(MonotonicTime now,
               const BackendServerId& server,
               RatePerSecond cold_rate,
               const ColdSenders& senders) const;

  // A list that is read this long after a return reflects it.
  static constexpr Duration kListLag = std::chrono::seconds(1);
  // The first probe comes soon, because a loss of packets also makes a server
  // seem unreachable.
  static constexpr Duration kFirstProbeDelay = std::chrono::milliseconds(200);
  static constexpr Duration kProbeInterval = std::chrono::seconds(1);

 private:
  bool is_listed_cold = false;
  bool is_unreachable = false;
  std::optional<MonotonicTime> returned_at;
  MonotonicTime next_probe_at = MonotonicTime::min();
  bool is_logged = false;

  mutable TokenBucket sends;
  mutable std::uint64_t senders_version = 0;
  mutable RatePerSecond designated_for;
  mutable bool is_designated = false;
};

}  // namespace marigold

#endif  // SRC_POLICY_COLD_LIMITER_H_
