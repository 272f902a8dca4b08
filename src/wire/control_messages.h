#ifndef SRC_WIRE_CONTROL_MESSAGES_H_
#define SRC_WIRE_CONTROL_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "src/commands/control_commands.h"
#include "src/core/result.h"
#include "src/core/settings_values.h"
#include "src/core/verdict.h"
#include "src/policy/fan_out/aggregator_registry.h"
#include "src/policy/listing.h"
#include "src/policy/quota/quota_types.h"
#include "src/policy/server_hint.h"
#include "src/replication/messages.h"
#include "src/tables/control_state.h"
#include "src/tables/control_status.h"
#include "src/tables/list_table.h"

namespace marigold {

// Identifies a request on its connection. The reply has the same id.
using CallId = detail::NumericId<struct CallTag>;

template <class Archive>
void serialize(Archive& archive, Refusal& refusal) {
  archive(refusal.execution, refusal.reason, refusal.detail,
          refusal.retry_after);
}

// A replication message from one control VM to another. `reply_to` is the
// address on which the sender listens. A new member replies to that address
// until it knows the membership.
struct PeerMessage {
  Endpoint reply_to;
  ReplicaMessage message;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->reply_to, this->message);
  }
};

// The address and the data centre of a control VM, and whether it votes.
struct ControlVmLocation {
  Endpoint endpoint;
  DataCentreId data_centre;
  bool is_voter = true;

  bool operator==(const ControlVmLocation&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->endpoint, this->data_centre, this->is_voter);
  }
};

// Returns the locations of the members of a control group.
std::vector<ControlVmLocation> LocationsOf(const Membership& membership);

// A control VM sends this message to its peers while its disk belongs to no
// group. If a peer is the leader of a group, it adds the sender in the role
// that `self` states, unless the sender is forming a new group.
struct Hello {
  Member self;
  bool is_forming = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->self, this->is_forming);
  }
};

struct HelloReply {
  Member self;
  bool is_forming = false;
  // Empty if the sender's disk belongs to no group.
  Membership membership;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->self, this->is_forming, this->membership);
  }
};

// Sent by an entry VM to a control VM. Starts a stream of list updates after
// `known_index`, or restarts it. If `known_index` is 0, the stream starts with
// the full lists.
struct Subscribe {
  VmId vm;
  DataCentreId data_centre;
  LogIndex known_index;
  // The hash of the listing that the entry VM holds.
  ListingHash listing_hash{};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->vm, this->data_centre, this->known_index, this->listing_hash);
  }
};

// Sent in both directions on a stream. An entry VM sends the index of the lists
// that it applies. A control VM sends the newest index that it knows.
struct StreamHeartbeat {
  LogIndex index;
  // Sent by control VMs only. True if the sender is in contact with a quorum.
  bool has_quorum = false;
  // This field and the following ones are sent by control VMs only. The hash of
  // the listing that the sender holds, and the time since the platform
  // confirmed that listing. `listing_age` is empty if the sender holds no
  // listing.
  ListingHash listing_hash{};
  std::optional<Duration> listing_age{};
  // The fraction of each limit common to all entry VMs that the receiver may
  // use. The fractions of all entry VMs never sum to more than 1.
  double limit_share = 0;
  // The members of the control group.
  std::vector<ControlVmLocation> controls{};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->index, this->has_quorum, this->listing_hash,
            this->listing_age, this->limit_share, this->controls);
  }
};

// Sent when the platform's list of backend servers has changed, by a leader to
// the other control VMs and by each control VM to its entry VMs.
struct ListingUpdate {
  std::vector<ListedServer> servers;
  // The time since the platform returned this list.
  Duration age{};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->servers, this->age);
  }
};

// Sent by an entry VM to its control VM, which forwards it to its own entry
// VMs and to the other control VMs. These forward it to their entry VMs.
struct ServerHints {
  std::vector<ServerHint> hints;
  // True if a control VM sent the message. The receiver then does not forward
  // it to other control VMs.
  bool is_relayed = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->hints, this->is_relayed);
  }
};

// Sent by a leader to the other control VMs when the platform has confirmed
// that the listing with this hash is still current.
struct ListingConfirmed {
  ListingHash listing_hash;
  // The time since the platform confirmed the listing.
  Duration age{};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->listing_hash, this->age);
  }
};

// Sent by an entry VM to the control VM that it follows, when it begins or
// stops to answer the queries of other entry VMs. The control VM sends it
// `AggregatorUpdate` messages from then on.
struct AnnounceAggregator {
  Aggregator aggregator;
  bool is_leaving = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->aggregator, this->is_leaving);
  }
};

// Sent by each control VM to the others: the entry VMs that follow it and
// answer queries.
struct AggregatorSet {
  // The address on which the sender listens.
  Endpoint control_vm;
  std::vector<Aggregator> aggregators;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->control_vm, this->aggregators);
  }
};

// Submits a command to the control group.
struct Submit {
  CallId call;
  ControlCommand command;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->call, this->command);
  }
};

struct SubmitReply {
  CallId call;
  std::variant<ControlOutcome, Refusal> outcome;
  // The address of the leader, if the sender refused the command and knows the
  // leader.
  std::optional<Endpoint> leader;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->call, this->outcome, this->leader);
  }
};

// Reads the lists. Sent to a control VM, or to an entry VM of the same data
// centre.
struct ReadLists {
  CallId call;
  // The index of the lists that the sender holds. The reply contains no lists
  // if there are no newer ones.
  LogIndex known_index;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->call, this->known_index);
  }
};

struct ListsReply {
  CallId call;
  LogIndex index;
  // True if the sender is a leader in contact with a quorum, so that the lists
  // are not stale.
  bool is_confirmed = false;
  // True if the sender is in contact with a quorum of the control group.
  bool has_quorum = false;
  std::optional<Lists> full_lists;
  std::optional<Endpoint> leader;
  // Sent together with the lists if there is a route table.
  std::optional<RouteTable> routes{};
  // The control VMs that the sender knows.
  std::vector<ControlVmLocation> controls{};
  // Sent together with the lists.
  std::optional<EvacuatedDataCentres> evacuated{};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->call, this->index, this->is_confirmed, this->has_quorum,
            this->full_lists, this->leader, this->routes, this->controls,
            this->evacuated);
  }
};

struct ReadStatus {
  CallId call;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->call);
  }
};

struct StatusReply {
  CallId call;
  ControlStatus status;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->call, this->status);
  }
};

struct ReadHistory {
  CallId call;
  // The maximum number of changes in the reply.
  std::uint64_t limit = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->call, this->limit);
  }
};

struct HistoryReply {
  CallId call;
  // Newest first.
  std::vector<ChangeRecord> changes;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->call, this->changes);
  }
};

struct ChangeMembers {
  CallId call;
  MembershipChange change;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->call, this->change);
  }
};

struct ChangeMembersReply {
  CallId call;
  // Empty if the change is committed.
  std::optional<Refusal> refusal;
  std::optional<Endpoint> leader;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->call, this->refusal, this->leader);
  }
};

// All messages that entry VMs, control VMs and marigoldctl exchange in frames
// over TCP. A message is identified by its position, so new ones are added at
// the end. A receiver rejects a message that it does not know.
using ControlMessage = std::variant<PeerMessage,
                                    Hello,
                                    HelloReply,
                                    Subscribe,
                                    StreamHeartbeat,
                                    ListUpdate,
                                    Submit,
                                    SubmitReply,
                                    ReadLists,
                                    ListsReply,
                                    ReadStatus,
                                    StatusReply,
                                    ReadHistory,
                                    HistoryReply,
                                    ChangeMembers,
                                    ChangeMembersReply,
                                    ListingUpdate,
                                    ListingConfirmed,
                                    ServerHints,
                                    AnnounceAggregator,
                                    AggregatorSet,
                                    AggregatorUpdate,
                                    QuotaUsageReport,
                                    QuotaUsageReports,
                                    QuotaState>;

std::string EncodeControlMessage(const ControlMessage& message);

// Fails with `ParseError`, which contains the offset of the invalid byte.
Result<ControlMessage> DecodeControlMessage(std::string_view body);

// Encodes the payload of a log entry.
std::string EncodeCommand(const ControlCommand& command);

// Fails with `ParseError`, which contains the offset of the invalid byte.
Result<ControlCommand> DecodeCommand(std::string_view payload);

}  // namespace marigold

#endif  // SRC_WIRE_CONTROL_MESSAGES_H_
