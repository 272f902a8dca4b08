#ifndef SRC_POLICY_CONTROL_CHOICE_H_
#define SRC_POLICY_CONTROL_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "src/core/random.h"
#include "src/core/settings_values.h"
#include "src/core/units.h"

namespace marigold {

// A control VM that a heartbeat names.
struct ListedControl {
  Endpoint endpoint;
  // True if it is in the data centre of the chooser.
  bool is_local = false;
  // A VM that has been replaced for good remains a member without a vote.
  bool is_voter = true;
};

// Selects the control VM to connect to next. The order is random. Control VMs
// that failed or had no quorum are tried again only after a back-off. Not
// synchronised.
class ControlChoice {
 public:
  struct Attempt {
    Endpoint endpoint;
    // The time of the attempt. It is in the future only if all control VMs are
    // in back-off.
    MonotonicTime at;
    // The time after which the attempt has failed unless the control VM has
    // sent something.
    Duration reply_timeout;
  };

  // `endpoints`, which are the ones of the settings, must not be empty. `seed`
  // determines the random order.
  ControlChoice(std::vector<Endpoint> endpoints, std::uint64_t seed);

  // Commands.

  // The control VM could not be reached, did not answer in time or closed the
  // connection. Its back-off grows exponentially with consecutive failures.
  // Unknown endpoints are ignored, here and in the next two commands.
  void OnFailure(MonotonicTime now, const Endpoint& endpoint);
  // The control VM answered but has no contact with a quorum.
  void OnNoQuorum(MonotonicTime now, const Endpoint& endpoint);
  void OnSuccess(const Endpoint& endpoint);

  // Replaces the set of listed control VMs. Endpoints that are neither in it
  // nor in the settings are forgotten. Does nothing if `listed` is empty.
  void OnListed(const std::vector<ListedControl>& listed);
  // Replaces the endpoints of the settings. Those that are no longer in the
  // settings are forgotten unless the group lists them. Does nothing if
  // `endpoints` is empty.
  void OnSettings(const std::vector<Endpoint>& endpoints);
  // Adds the control VMs that another entry VM knows, and forgets none. Returns
  // true if one of them was unknown.
  bool OnSuggested(const std::vector<ListedControl>& suggested);

  // Returns the next attempt. Prefers control VMs that are not in back-off,
  // among these the ones with the fewest recent failures, then the local ones,
  // then the voters. If all are in back-off, returns the one whose back-off
  // ends first. Control VMs that are equal in this are tried in turn.
  Attempt NextAttempt(MonotonicTime now);

  // Queries.

  // True if `current` is in another data centre and a local control VM is not
  // in back-off. A local control VM whose last attempt failed counts only some
  // seconds after its back-off has ended.
  bool HasLocalAlternative(MonotonicTime now, const Endpoint& current) const;
  // True if a voter other than `current` is not in back-off. Before the first
  // heartbeat all control VMs count as voters.
  bool HasAlternative(MonotonicTime now, const Endpoint& current) const;

 private:
  struct Candidate {
    Endpoint endpoint;
    std::uint32_t consecutive_failures = 0;
    // The times in a row that it had no quorum.
    std::uint32_t no_quorum_count = 0;
    bool is_local = false;
    bool is_voter = true;
    // True if the settings name it. It is then never forgotten.
    bool is_in_settings = false;
    // The end of the back-off.
    MonotonicTime not_before = MonotonicTime::min();
  };

  // True if an attempt should go to `one` rather than to `other`.
  static bool IsBetter(MonotonicTime now,
                       const Candidate& one,
                       const Candidate& other);
  // The consecutive failures, or 0 if the last one was long ago.
  static std::uint32_t RecentFailures(MonotonicTime now,
                                      const Candidate& candidate);
  // Forgets the candidate with the most failures that is not in the settings.
  void DropWorst();
  // Returns null if the endpoint is unknown.
  Candidate* FindCandidate(const Endpoint& endpoint);

  std::vector<Candidate> candidates;
  // The index of the candidate of the last attempt.
  std::size_t last_attempt_index = 0;
  SeededRandom random;
};

}  // namespace marigold

#endif  // SRC_POLICY_CONTROL_CHOICE_H_
