#ifndef SRC_NET_FORWARD_MESSAGE_CODEC_H_
#define SRC_NET_FORWARD_MESSAGE_CODEC_H_

#include <concepts>
#include <cstddef>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "src/core/ids.h"
#include "src/core/units.h"
#include "src/net/forward/backend_link.h"
#include "src/net/forward/caller_session.h"
#include "src/policy/backend_directory.h"
#include "src/policy/server_notice.h"

namespace marigold {

// The fields that a caller sends along with its request.
struct CallerMetadata {
  RequestId request;
  // How long the caller will wait for the answer. Empty if the caller does not
  // state it.
  std::optional<Duration> time_left;
  // The API key of the caller. Absent if the request has none or several.
  std::optional<ApiKey> key{};
};

// Which customer backend servers see as the sender of a request.
struct SenderIdentity {
  // False if the configuration has no customers. The caller's fields are then
  // passed on like any other.
  bool is_managed = false;
  // Absent if the request has no customer.
  std::optional<CustomerId> customer{};
};

// The fields that go with one send to a backend server.
struct SendMetadata {
  // The only server that may run the request.
  BackendServerId server;
  // Time left until the deadline. A later answer is of no use.
  Duration time_left{};
};

// The bytes that all sends of one request share. A fan-out encodes them once
// and not for each shard.
struct SendTemplate {
  // The header before and after the fields of `SendMetadata`.
  std::string prefix;
  std::string suffix;
  // Null if the request has no body. All sends share it, because it may be
  // large and many may be in progress.
  std::shared_ptr<const std::string> body{};

  std::size_t size() const {
    return this->prefix.size() + this->suffix.size() +
           (this->body ? this->body->size() : 0);
  }
};

// The fields that a backend server sends along with its reply.
struct ReplyMetadata {
  // The request that the reply belongs to. Empty if the server does not state
  // it.
  std::string_view request;
  // The stamp with which the server signs its answer. Empty if there is none.
  std::string_view stamp;
  // True if the server promises that it did not run the request.
  bool promises_not_executed = false;
  // True if a server other than the expected one answered. The request did not
  // run.
  bool is_from_other_server = false;
  // True if the reply has a content encoding, so that the body is not the
  // server's own bytes.
  bool has_content_encoding = false;
  std::optional<ReportedLoad> load;
};

// A refusal or failure that this process answers itself.
struct LocalAnswer {
  int status = 503;
  std::string_view detail;
  std::optional<Duration> retry_after;
};

// The merged answer of a fan-out.
struct MergedAnswer {
  std::span<const std::string_view> stamps;
  std::size_t missing_replies = 0;
  std::string_view body;
};

// Reads and writes the HTTP messages of one front end. Makes no decisions.
template <class T>
concept ForwardMessageCodec = requires(const CallerRequest& request,
                                       CallerRequest& consumed_request,
                                       const SenderIdentity& identity,
                                       const SendTemplate& send_template,
                                       const SendMetadata& send,
                                       const BackendReply& reply,
                                       const LocalAnswer& local_answer,
                                       const MergedAnswer& merged,
                                       bool closes_connection) {
  { T::ReadCaller(request) } -> std::same_as<CallerMetadata>;
  // Takes the body out of the request.
  {
    T::MakeSendTemplate(consumed_request, identity)
    } -> std::same_as<SendTemplate>;
  // Returns the header of a send. The body follows it.
  { T::WriteSend(send_template, send) } -> std::same_as<std::string>;
  { T::RequestIdOf(reply) } -> std::same_as<std::string_view>;
  { T::ReadReply(reply) } -> std::same_as<ReplyMetadata>;
  { T::ReadNotice(reply) } -> std::same_as<ServerNotice>;
  { T::WriteReply(reply, closes_connection) } -> std::same_as<std::string>;
  {
    T::WriteLocalAnswer(local_answer, closes_connection)
    } -> std::same_as<std::string>;
  { T::WriteMerged(merged, closes_connection) } -> std::same_as<std::string>;
};

}  // namespace marigold

#endif  // SRC_NET_FORWARD_MESSAGE_CODEC_H_
