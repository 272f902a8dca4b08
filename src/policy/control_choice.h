#ifndef SRC_POLICY_CONTROL_CHOICE_H_
#define SRC_POLICY_CONTROL_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "src/core/random.h"
#include "src/core/settings_values.h"
#include "src/core/units.h"

namespace marigold {

// Which control VM to turn to next: in a random order, and those that failed or
// had no quorum only after a while. Not synchronised.
class ControlChoice {
 public:
  struct Attempt {
    Endpoint endpoint;
    // When to turn to it; not in the future unless all others have to wait
    // longer.
    MonotonicTime at;
  };

  // `endpoints` is not empty.
  ControlChoice(std::vector<Endpoint> endpoints, std::uint64_t seed);

  // Commands.

  // It could not be reached, went silent or broke off. Repeated failures put it
  // off longer.
  void OnFailure(MonotonicTime now, const Endpoint& endpoint);
  // It works and has no contact with a quorum.
  void OnNoQuorum(MonotonicTime now, const Endpoint& endpoint);
  void OnSuccess(const Endpoint& endpoint);

  // Adds an endpoint unless it is known. One in the own data centre is turned
  // to before others.
  void AddEndpoint(const Endpoint& endpoint, bool is_local);

  // Takes the next turn; equal ones alternate.
  Attempt NextAttempt(MonotonicTime now);

  // Queries.

  // True if `current` is in another data centre and a control VM in the own one
  // need not wait.
  bool HasLocalAlternative(MonotonicTime now, const Endpoint& current) const;
  // True if a control VM other than `current` need not wait.
  bool HasAlternative(MonotonicTime now, const Endpoint& current) const;

 private:
  struct Candidate {
    Endpoint endpoint;
    std::uint32_t failures = 0;
    bool is_local = false;
    MonotonicTime not_before = MonotonicTime::min();
  };

  Candidate* Find(const Endpoint& endpoint);

  std::vector<Candidate> candidates;
  std::size_t last_index = 0;
  SeededRandom random;
};

}  // namespace marigold

#endif  // SRC_POLICY_CONTROL_CHOICE_H_
