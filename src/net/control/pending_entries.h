#ifndef SRC_NET_CONTROL_PENDING_ENTRIES_H_
#define SRC_NET_CONTROL_PENDING_ENTRIES_H_

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "src/commands/control_commands.h"
#include "src/core/ids.h"
#include "src/core/verdict.h"

namespace marigold {

// The outcome of a committed entry that is not a command, such as a membership
// change.
struct EntryCommitted {};

using EntryOutcome = std::variant<EntryCommitted, ControlOutcome, Refusal>;
using EntryCallback = std::function<void(EntryOutcome)>;

// Callbacks of the entries that this member proposed as the leader and that are
// not committed yet. Not thread-safe.
class PendingEntries {
 public:
  // Commands.

  void Add(LogIndex index, Term term, EntryCallback done) {
    this->callbacks[index] = {term, std::move(done)};
  }

  // Removes the callback for the entry at `index`, and returns it with the term
  // in which the entry was proposed. Returns nothing if there is no callback.
  // If the entry committed at `index` has another term, the proposed entry was
  // replaced and will never be committed.
  std::optional<std::pair<Term, EntryCallback>> Take(LogIndex index) {
    const auto position = this->callbacks.find(index);
    if (position == this->callbacks.end()) {
      return std::nullopt;
    }
    auto taken = std::move(position->second);
    this->callbacks.erase(position);
    return taken;
  }

  // Removes and returns the callbacks of all entries that were not proposed in
  // `term`, or of all entries if `term` is absent.
  std::vector<EntryCallback> TakeAllExceptTerm(std::optional<Term> term) {
    std::vector<EntryCallback> taken;
    for (auto entry = this->callbacks.begin();
         entry != this->callbacks.end();) {
      if (term && entry->second.first == *term) {
        ++entry;
        continue;
      }
      taken.push_back(std::move(entry->second.second));
      entry = this->callbacks.erase(entry);
    }
    return taken;
  }

  // Queries.

  std::size_t size() const { return this->callbacks.size(); }

 private:
  std::map<LogIndex, std::pair<Term, EntryCallback>> callbacks;
};

}  // namespace marigold

#endif  // SRC_NET_CONTROL_PENDING_ENTRIES_H_
