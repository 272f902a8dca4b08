#ifndef SRC_WIRE_FAN_OUT_MESSAGES_H_
#define SRC_WIRE_FAN_OUT_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "src/core/ids.h"
#include "src/core/result.h"
#include "src/core/units.h"
#include "src/policy/fan_out/fan_out_types.h"

namespace marigold {

// Identifies a query on its connection. Chosen by the root.
using GroupQueryId = detail::NumericId<struct GroupQueryIdTag>;

// A shard of a query.
struct QueriedShard {
  ServiceId service;
  // A server that must not get the request.
  std::optional<BackendServerId> excluded;

  bool operator==(const QueriedShard&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->service, this->excluded);
  }
};

// Sent by a root to an aggregator: the request, and the shards to send it to.
struct GroupQuery {
  GroupQueryId query;
  RequestId request;
  RouteName route;
  // The encoded request before and after the fields that differ between sends.
  std::string request_prefix;
  std::string request_suffix;
  // The reply to a HEAD request has no body.
  bool is_head = false;
  // True if another query has been sent for some of the shards before, so that
  // the root waits for each answer.
  bool is_repeated = false;
  std::vector<QueriedShard> shards;
  // The maximum number of servers of each shard that may run the request.
  std::uint32_t max_attempts = 1;
  // The time until the root gives the request up.
  Duration time_left{};
  // The time until the root wants to answer; zero if that time has passed.
  Duration answer_in{};
  // The number of records that the root needs.
  std::uint64_t max_records = 0;

  bool operator==(const GroupQuery&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->query, this->request, this->route, this->request_prefix,
            this->request_suffix, this->is_head, this->is_repeated,
            this->shards, this->max_attempts, this->time_left, this->answer_in,
            this->max_records);
  }
};

// Sent by an aggregator to a root, any number of times for each query.
struct GroupQueryReport {
  GroupQueryId query;
  GroupReport report;

  bool operator==(const GroupQueryReport&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->query, this->report);
  }
};

// Sent by a root to an aggregator that need not report on a query any more.
struct GroupQueryCancel {
  GroupQueryId query;
  // False if the caller is gone, so that the work has to end at once.
  bool is_answered = false;

  bool operator==(const GroupQueryCancel&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->query, this->is_answered);
  }
};

// All messages between entry VMs about fan-outs. A message is identified by its
// position, so new ones are added at the end.
using FanOutMessage =
    std::variant<GroupQuery, GroupQueryReport, GroupQueryCancel>;

// The limit of an encoded message. A request that does not fit is not sent to
// aggregators.
inline constexpr std::size_t kMaxFanOutMessageBytes = 512 * 1024;

// The result starts with the version of the message format.
std::string EncodeFanOutMessage(const FanOutMessage& message);

// Fails with `ParseError`, which contains the offset of the invalid byte, if
// the bytes are not one message of the same version or are more than
// `kMaxFanOutMessageBytes`.
Result<FanOutMessage> DecodeFanOutMessage(std::string_view body);

}  // namespace marigold

#endif  // SRC_WIRE_FAN_OUT_MESSAGES_H_
