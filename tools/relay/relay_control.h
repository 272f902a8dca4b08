#ifndef TOOLS_RELAY_RELAY_CONTROL_H_
#define TOOLS_RELAY_RELAY_CONTROL_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "src/core/result.h"
#include "tools/relay/relay_link.h"

namespace marigold {

using RelayLinks = std::vector<std::shared_ptr<RelayLink>>;

// The changes of `POST /v1/links`. Each one replaces the change before it.
enum class RelayChange {
  // Open connections are reset and new ones refused.
  kCut,
  // Bytes are held back in both directions, or in one direction. No connection
  // is
  // closed.
  kSilence,
  kSilenceForward,
  kSilenceBack,
  // Bytes are forwarded `ms` after their arrival, in both directions.
  kDelay,
  // Ends every fault. Held bytes are forwarded.
  kResume,
};

// One change and the link that it applies to.
struct RelayCommand {
  RelayChange change = RelayChange::kResume;
  // Empty for all links.
  std::string link;
  // Zero for all changes but `kDelay`.
  Duration delay{};
};

// Decodes the body of `POST /v1/links`. Fails with `ParseError` if the change
// is unknown or a field is missing, unknown or out of range.
Result<RelayCommand> DecodeRelayCommand(std::string_view body);

// Runs a command and returns the number of links that it applied to. Fails with
// `IoError` if a link can't listen again.
Result<std::size_t> RunRelayCommand(const RelayCommand& command,
                                    const RelayLinks& links);

// Returns the body of `GET /v1/links`: settings, modes and counters of every
// link.
std::string ReadLinks(const RelayLinks& links);

}  // namespace marigold

#endif  // TOOLS_RELAY_RELAY_CONTROL_H_
