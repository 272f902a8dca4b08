#ifndef SRC_CORE_IDS_H_
#define SRC_CORE_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace marigold {

namespace detail {

// An identifier backed by `Rep`. Two identifiers with different tags do not
// convert to each other, so that a shard can't be passed as a snapshot.
template <class Tag, class Rep>
class Id {
 public:
  using Representation = Rep;

  constexpr Id() = default;
  constexpr explicit Id(Rep value) : id(std::move(value)) {}

  constexpr const Rep& value() const { return this->id; }

  auto operator<=>(const Id&) const = default;

  // Lets cereal read and write the identifier as its bare value.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->id);
  }

 private:
  Rep id{};
};

template <class Tag>
using StringId = Id<Tag, std::string>;

template <class Tag>
using NumericId = Id<Tag, std::uint64_t>;

}  // namespace detail

// A customer. Its plan determines the services and limits that it may use.
using CustomerId = detail::StringId<struct CustomerTag>;
// A searchable or callable service, such as a lookup or an invoicing service.
using ServiceId = detail::StringId<struct ServiceTag>;
// A plan; the key of a row of the usage list.
using PlanId = detail::StringId<struct PlanTag>;
// Identifies a customer's requests. A secret: it must not be logged, shown or
// sent to backend servers.
using ApiKey = detail::StringId<struct ApiKeyTag>;
// Identifies a request in logs and answers. Chosen by the caller.
using RequestId = detail::StringId<struct RequestTag>;
// Identifies one edit of a list, stable across resends of that edit.
using ChangeId = detail::StringId<struct ChangeTag>;
// Chosen by the caller; an action runs at most once for each key of a customer.
using IdempotencyKey = detail::StringId<struct IdempotencyKeyTag>;
// A backend server, under its name in the platform's list of VMs.
using BackendServerId = detail::StringId<struct BackendServerTag>;
// A VM that runs one of this system's processes.
using VmId = detail::StringId<struct VmTag>;
using DataCentreId = detail::StringId<struct DataCentreTag>;
// Identifies a voter of the control group. Written once into the data folder of
// the voter.
using DiskId = detail::StringId<struct DiskTag>;

using ShardId = detail::NumericId<struct ShardTag>;
// Higher ids are newer snapshots of the same service.
using SnapshotId = detail::NumericId<struct SnapshotTag>;
// Unique among all attempts that one entry process sends.
using AttemptId = detail::NumericId<struct AttemptTag>;
using Term = detail::NumericId<struct TermTag>;
// Position in the replicated log; the first entry has index 1.
using LogIndex = detail::NumericId<struct LogIndexTag>;
// Version of a list: the number of its accepted edits.
using ListVersion = detail::NumericId<struct ListVersionTag>;
// Names a route of the route table in logs.
using RouteName = detail::StringId<struct RouteNameTag>;
// Chosen by the writer of the route table. The table with the highest version
// is in force.
using RouteVersion = detail::NumericId<struct RouteVersionTag>;
// Random number that identifies one claim of an idempotency key. A granted
// claim allows one send.
using ClaimToken = detail::NumericId<struct ClaimTokenTag>;

// The next identifier in sequence.
template <class Tag>
detail::NumericId<Tag> Next(detail::NumericId<Tag> id) {
  return detail::NumericId<Tag>(id.value() + 1);
}

// Returns the id before `id`, or 0 for 0.
template <class Tag>
detail::NumericId<Tag> Previous(detail::NumericId<Tag> id) {
  return detail::NumericId<Tag>(id.value() == 0 ? 0 : id.value() - 1);
}

}  // namespace marigold

template <class Tag, class Rep>
struct std::hash<marigold::detail::Id<Tag, Rep>> {
  std::size_t operator()(const marigold::detail::Id<Tag, Rep>& id) const {
    return std::hash<Rep>()(id.value());
  }
};

#endif  // SRC_CORE_IDS_H_
