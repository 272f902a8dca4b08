#ifndef SRC_POLICY_SEARCH_TYPES_H_
#define SRC_POLICY_SEARCH_TYPES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "src/core/ids.h"
#include "src/core/units.h"
#include "src/core/verdict.h"

namespace marigold {

// The index of a backend server within one entry process. Indices are dense,
// start at 1 and are never reused.
using ServerIndex = detail::NumericId<struct ServerIndexTag>;

// A caller's search, decoded and validated.
struct SearchRequest {
  RequestId request;
  CustomerId customer;
  ServiceId service;
  std::string query;
  // The time that the caller allows, from the arrival of the request.
  Duration deadline{};
  // The lowest coverage that the caller accepts. A search that covers less is
  // refused.
  Fraction minimum_coverage;
};

// One result of a search.
struct Match {
  std::string id;
  double score = 0;
  std::string text;

  auto operator<=>(const Match&) const = default;
};

// A backend server's reply to one attempt.
struct SubReply {
  AttemptId attempt;
  SnapshotId snapshot;
  ShardId shard;
  std::vector<Match> matches;
};

// How an attempt ended without a reply.
enum class AttemptFailure {
  kUnknownSnapshot,
  kUnknownShard,
  // The server refused the attempt because of its load.
  kShed,
  kDraining,
  kStarting,
  // No byte was written, for example because the connection was refused.
  kNotSent,
  // No byte was written, because no connection was free before the deadline.
  // This does not affect the health of the server.
  kNotBegun,
  kConnectionLost,
  kTimeout,
  // No reply arrived within the timeout, while the server replied on other
  // connections to requests that were sent later. This does not affect the
  // health of the server.
  kSilent,
  kBadReply,
};

// Stable text for JSON and logs, such as "connection_lost".
std::string_view ToString(AttemptFailure failure);

// Returns true if the backend server is known not to have executed the attempt.
bool SurelyDidNotRun(AttemptFailure failure);

// Why a shard is missing from an answer.
enum class MissingReason {
  // No usable backend server holds the shard under the answer's snapshot.
  kNoServer,
  // The deadline passed before a reply arrived.
  kDeadline,
  // Every attempt failed and no further one was possible.
  kFailed,
  // The answer was sent early, because the service prefers a short latency
  // tail.
  kAbandoned,
};

// Stable text for JSON, such as "no_server".
std::string_view ToString(MissingReason reason);

struct MissingShard {
  ShardId shard;
  MissingReason reason = MissingReason::kNoServer;
};

// The answer to a search. `covered` and `missing` partition the full set of
// shards of `snapshot`, each in ascending order.
struct SearchAnswer {
  SnapshotId snapshot;
  std::vector<ShardId> covered;
  std::vector<MissingShard> missing;
  // By descending score, then by id.
  std::vector<Match> matches;
};

// Returns the ratio of covered shards to all shards; 1 for an empty shard set.
Fraction Coverage(const SearchAnswer& answer);

// A trial is sent to a suspect server in addition to the ordinary attempt, to
// detect whether the server has recovered.
enum class AttemptKind { kPrimary, kRetry, kHedge, kTrial };

// Stable text for logs and metric labels, such as "hedge".
std::string_view ToString(AttemptKind kind);

// The steps that a `Search` returns for its driver to carry out.
struct SendAttempt {
  AttemptId attempt;
  AttemptKind kind = AttemptKind::kPrimary;
  ServerIndex server;
  ShardId shard;
  SnapshotId snapshot;
  MonotonicTime deadline;
};

struct CancelAttempt {
  AttemptId attempt;
  ServerIndex server;
};

// Replaces any earlier timer of the search or action.
struct SetTimer {
  MonotonicTime at;
};

using SearchOutcome = std::variant<SearchAnswer, Refusal>;

// The last step of every search; nothing follows it.
struct FinishSearch {
  SearchOutcome outcome;
};

using SearchStep =
    std::variant<SendAttempt, CancelAttempt, SetTimer, FinishSearch>;

// Whether a service prefers a short latency tail or full coverage.
enum class Preference {
  // The search ends once the minimum coverage is reached and the other shards
  // are late.
  kTail,
  // The search uses the whole deadline to reach full coverage.
  kCoverage,
};

}  // namespace marigold

#endif  // SRC_POLICY_SEARCH_TYPES_H_
