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
using EntryDone = std::function<void(EntryOutcome)>;

// Callbacks of the entries that this member proposed as the leader and that are
// not committed yet. Not thread-safe.
class PendingEntries {
 public:
  // Commands.

  void Add(LogIndex index, Term term, EntryDone done) {
    this->waiting[index] = {term, std::move(done)};
  }

  // Removes the callback for the entry at `index`, and returns it with the term
  // in which the entry was proposed. Returns nothing if there is no callback.
  // If the entry committed at `index` has another term, the proposed entry was
  // replaced and will never be committed.
  std::optional<std::pair<Term, EntryDone>> Take(LogIndex index) {
    const auto position = this->waiting.find(index);
    if (position == this->waiting.end()) {
      return std::nullopt;
    }
    auto taken = std::move(position->second);
    this->waiting.erase(position);
    return taken;
  }

  // Removes and returns the callbacks of all entries that were not proposed in
  // `term`, or of all entries if `term` is absent.
  std::vector<EntryDone> TakeAllExceptTerm(std::optional<Term> term) {
    std::vector<EntryDone> taken;
    for (auto entry = this->waiting.begin(); entry != this->waiting.end();) {
      if (term && entry->second.first == *term) {
        ++entry;
        continue;
      }
      taken.push_back(std::move(entry->second.second));
      entry = this->waiting.erase(entry);
    }
    return taken;
  }

  // Queries.

  std::size_t size() const { return this->waiting.size(); }

 private:
  std::map<LogIndex, std::pair<Term, EntryDone>> waiting;
};

}  // namespace marigold

#endif  // SRC_NET_CONTROL_PENDING_ENTRIES_H_
