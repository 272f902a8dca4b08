#ifndef SRC_NET_FORWARD_MESSAGE_CODEC_H_
#define SRC_NET_FORWARD_MESSAGE_CODEC_H_

#include <concepts>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "src/core/ids.h"
#include "src/core/units.h"
#include "src/net/forward/backend_link.h"
#include "src/net/forward/caller_session.h"
#include "src/policy/backend_directory.h"

namespace marigold {

// What a caller says of its request apart from the request itself.
struct CallerMetadata {
  RequestId request;
  // How long the caller waits; nothing if it does not say.
  std::optional<Duration> time_left;
};

// What goes with one send to a backend server.
struct SendMetadata {
  // The only server that may run the request.
  BackendServerId server;
  // The server's work is useless after this.
  Duration time_left{};
};

// What all sends of one request have in common: the bytes before and after the
// fields of `SendMetadata`. A fan-out writes it once and not for each shard.
struct SendTemplate {
  std::string prefix;
  std::string suffix;
};

// What a backend server says of its reply apart from the reply itself.
struct ReplyMetadata {
  // The request that the reply belongs to; empty if it does not say.
  std::string_view request;
  // The server's signature of its answer; empty without one.
  std::string_view stamp;
  // The server promises that it did not run the request.
  bool not_executed = false;
  // Another server than the expected one answered; nothing ran.
  bool is_other_server = false;
  // The body is not the server's own bytes.
  bool has_content_encoding = false;
  std::optional<ReportedLoad> load;
};

// A refusal or failure of our own.
struct LocalAnswer {
  int status = 503;
  std::string_view detail;
  std::optional<Duration> retry_after;
};

// A merged answer of a fan-out.
struct MergedAnswer {
  std::span<const std::string_view> stamps;
  std::size_t missing = 0;
  std::string_view body;
};

// Reads and writes one front end's HTTP messages and decides nothing.
template <class T>
concept ForwardMessageCodec = requires(const CallerRequest& request,
                                       const SendTemplate& send_template,
                                       const SendMetadata& send,
                                       const BackendReply& reply,
                                       const LocalAnswer& own,
                                       const MergedAnswer& merged,
                                       bool closes) {
  { T::ReadCaller(request) } -> std::same_as<CallerMetadata>;
  { T::MakeSendTemplate(request) } -> std::same_as<SendTemplate>;
  { T::WriteSend(send_template, send) } -> std::same_as<std::string>;
  { T::RequestIdOf(reply) } -> std::same_as<std::string_view>;
  { T::ReadReply(reply) } -> std::same_as<ReplyMetadata>;
  { T::WriteReply(reply, closes) } -> std::same_as<std::string>;
  { T::WriteLocalAnswer(own, closes) } -> std::same_as<std::string>;
  { T::WriteMerged(merged, closes) } -> std::same_as<std::string>;
};

}  // namespace marigold

#endif  // SRC_NET_FORWARD_MESSAGE_CODEC_H_
