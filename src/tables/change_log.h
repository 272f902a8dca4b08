#ifndef SRC_TABLES_CHANGE_LOG_H_
#define SRC_TABLES_CHANGE_LOG_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "src/commands/control_commands.h"
#include "src/core/checksum.h"
#include "src/core/ids.h"
#include "src/core/units.h"

namespace marigold {

// An edit and its answer. Accepted and rejected edits are both remembered, so
// that a resend gets the first answer in either case.
struct AnsweredChange {
  LogIndex index;
  WallTime answered_at;
  ListKind list = ListKind::kPlans;
  ChangeId change;
  // Hash of the whole edit, which tells a resend from a reused change id.
  ContentHash content_hash;
  // Number of rows that the edit sets or removes.
  std::uint64_t rows = 0;
  PutRowsOutcome outcome;
  // The edit itself, from which deltas are built. Empty for a rejected edit,
  // and after the rows were dropped to limit the memory.
  std::optional<PutRows> edit;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->index, this->answered_at, this->list, this->change,
            this->content_hash, this->rows, this->outcome, this->edit);
  }
};

// Accepted edits with the log indexes at which they were applied.
using IndexedEdits = std::vector<std::pair<LogIndex, PutRows>>;

// The latest answered edits, by change id and by log index. Their number and
// the memory of their rows and error texts are limited.
class ChangeLog {
 public:
  // `max_changes` is at least 1.
  explicit ChangeLog(std::size_t max_changes);

  // Commands.

  // Adds an edit whose change id is not remembered yet. Its index must be above
  // those of all earlier edits.
  void Remember(AnsweredChange change);

  // Queries.

  // Null if the change id is not remembered.
  const AnsweredChange* Find(const ChangeId& change) const;

  // True if the edit that produced `version` of a list is remembered.
  bool RemembersVersion(ListKind list, ListVersion version) const;

  // The accepted edits after `index`, or nothing if the rows of some of them
  // are no longer held.
  std::optional<IndexedEdits> EditsAfter(LogIndex index) const;

  // Oldest first.
  const std::deque<AnsweredChange>& changes() const { return this->answered; }

  template <class Archive>
  void save(Archive& archive) const {
    archive(this->edits_held_after);
    archive(cereal::make_size_tag(
        static_cast<cereal::size_type>(this->answered.size())));
    for (const AnsweredChange& change : this->answered) {
      archive(change);
    }
  }

  template <class Archive>
  void load(Archive& archive) {
    archive(this->edits_held_after);
    cereal::size_type count = 0;
    archive(cereal::make_size_tag(count));
    for (cereal::size_type i = 0; i < count; ++i) {
      AnsweredChange change;
      archive(change);
      this->Remember(std::move(change));
    }
  }

 private:
  void DropContents(AnsweredChange& change);
  void Trim();

  std::size_t change_limit;
  std::deque<AnsweredChange> answered;
  // Positions in `answered`, counted from the first edit ever remembered.
  std::unordered_map<ChangeId, std::uint64_t> positions;
  std::uint64_t first_position = 0;
  // Edits from this position on still have their rows and error texts.
  std::uint64_t first_with_contents = 0;
  std::size_t content_bytes = 0;
  // The rows of all accepted edits after this index are held.
  LogIndex edits_held_after;
};

}  // namespace marigold

#endif  // SRC_TABLES_CHANGE_LOG_H_
