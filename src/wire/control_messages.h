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
#include "src/policy/listing.h"
#include "src/policy/server_hint.h"
#include "src/replication/messages.h"
#include "src/tables/control_state.h"
#include "src/tables/control_status.h"
#include "src/tables/list_table.h"

namespace marigold {

// Matches a reply to its request on one connection.
using CallId = detail::NumericId<struct CallTag>;

template <class Archive>
void serialize(Archive& archive, Refusal& refusal) {
  archive(refusal.execution, refusal.reason, refusal.detail,
          refusal.retry_after);
}

// Control VM to control VM. `reply_to` is where the sender listens; a new
// member answers there before it knows the membership.
struct PeerMessage {
  Endpoint reply_to;
  ReplicaMessage message;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->reply_to, this->message);
  }
};

// Where a control VM listens and runs.
struct ControlVmLocation {
  Endpoint endpoint;
  DataCentreId data_centre;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->endpoint, this->data_centre);
  }
};

// A control VM whose disk is in no group introduces itself to a peer. A peer
// that leads adds it to its group in the role of `self`, unless it is forming a
// new group.
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
  // Empty if the sender's disk is in no group.
  Membership membership;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->self, this->is_forming, this->membership);
  }
};

// Entry VM to control VM: begins a stream of list updates after `known_index`,
// or begins it anew; zero asks for the whole lists.
struct Subscribe {
  VmId vm;
  DataCentreId data_centre;
  LogIndex known_index;
  // The listing that the entry VM has.
  ListingHash listing_hash{};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->vm, this->data_centre, this->known_index, this->listing_hash);
  }
};

// Goes both ways on a stream. From an entry VM `index` is the one in force
// there; from a control VM it is the newest that it knows.
struct StreamHeartbeat {
  LogIndex index;
  // From a control VM: whether it is in contact with a quorum.
  bool has_quorum = false;
  // The rest comes from control VMs only. The listing that it holds, and how
  // long ago the platform confirmed it; nothing without a listing.
  ListingHash listing_hash{};
  std::optional<Duration> listing_age{};
  // The part of limits that hold for all entry VMs together which the receiver
  // may use. The parts never sum to more than 1.
  double limit_share = 0;
  // The members of the control group.
  std::vector<ControlVmLocation> controls{};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->index, this->has_quorum, this->listing_hash,
            this->listing_age, this->limit_share, this->controls);
  }
};

// From a leader to the control VMs, and from any of them to entry VMs, when the
// platform's list has changed.
struct ListingUpdate {
  std::vector<ListedServer> servers;
  // Since the platform answered.
  Duration age{};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->servers, this->age);
  }
};

// From an entry VM to its control VM, and from there to all control VMs and
// their entry VMs.
struct ServerHints {
  std::vector<ServerHint> hints;
  // A control VM has sent it, which other control VMs do not pass on to each
  // other.
  bool is_relayed = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->hints, this->is_relayed);
  }
};

// From a leader to the control VMs: the list that they hold is still right.
struct ListingConfirmed {
  ListingHash listing_hash;
  Duration age{};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->listing_hash, this->age);
  }
};

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
  // Where to send the command, if the refusing control VM knows the leader.
  std::optional<Endpoint> leader;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->call, this->outcome, this->leader);
  }
};

// To a control VM or to an entry VM of the data centre.
struct ReadLists {
  CallId call;
  // The reply has no lists if this is the newest index.
  LogIndex known_index;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->call, this->known_index);
  }
};

struct ListsReply {
  CallId call;
  LogIndex index;
  // The lists are those of a leader with a quorum, hence not stale.
  bool is_confirmed = false;
  // Whether the sender is in contact with a quorum of the control group.
  bool has_quorum = false;
  std::optional<Lists> full_lists;
  std::optional<Endpoint> leader;
  // With the lists, if there is a route table.
  std::optional<RouteTable> routes{};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->call, this->index, this->is_confirmed, this->has_quorum,
            this->full_lists, this->leader, this->routes);
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
  // Nothing if the change is committed.
  std::optional<Refusal> refusal;
  std::optional<Endpoint> leader;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->call, this->refusal, this->leader);
  }
};

// Everything that our processes send to each other over framed TCP. New
// messages are added at the end; a receiver refuses those that it does not
// know.
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
                                    ServerHints>;

std::string EncodeControlMessage(const ControlMessage& message);

// Fails with `ParseError`, which gives the byte.
Result<ControlMessage> DecodeControlMessage(std::string_view body);

// The payload of a log entry.
std::string EncodeCommand(const ControlCommand& command);

// Fails with `ParseError`, which gives the byte.
Result<ControlCommand> DecodeCommand(std::string_view payload);

}  // namespace marigold

#endif  // SRC_WIRE_CONTROL_MESSAGES_H_
