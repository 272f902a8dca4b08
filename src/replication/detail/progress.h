#ifndef SRC_REPLICATION_DETAIL_PROGRESS_H_
#define SRC_REPLICATION_DETAIL_PROGRESS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "src/core/units.h"
#include "src/replication/types.h"

namespace marigold::detail {

// What a leader knows of one other member.
class Progress {
 public:
  // `kProbe` looks for the last index that matches, with one request at a time;
  // `kStream` sends entries without waiting for replies; `kSnapshot` sends the
  // image, since the next entry was compacted.
  enum class Mode { kProbe, kStream, kSnapshot };

  // `next_index` is a guess that the first reply confirms or corrects.
  Progress(LogIndex next_index, MonotonicTime last_contact)
      : next(next_index), contact(last_contact) {}

  // Commands.

  // Counts a request on its way. `has_entries` requests fill the window.
  void OnSent(std::uint64_t sequence, MonotonicTime now, bool has_entries);
  // Ends a round and all earlier ones. Returns when it was sent, or nothing if
  // it had already ended.
  std::optional<MonotonicTime> OnAnswered(std::uint64_t sequence);
  void OnAccepted(LogIndex index);
  void StartProbe(LogIndex next_index);
  void StartStream();
  void StartSnapshot();
  void SetNextIndex(LogIndex next_index) { this->next = next_index; }
  // The member answered a request sent at `sent_at`, or an unknown one, and
  // said whether it is on probation.
  void OnReply(std::optional<MonotonicTime> sent_at, bool is_boot_unconfirmed);
  // The member's process started anew. What its earlier start acknowledged no
  // longer counts, since its disk may have been restored from an older copy.
  void OnMemberRestart();

  // Queries.

  Mode mode() const { return this->current_mode; }
  // The last index that the member's present start has acknowledged.
  LogIndex match_index() const { return this->match; }
  // The part of that which counts towards a commit.
  LogIndex counted_index() const {
    return this->boot_unconfirmed ? LogIndex() : this->match;
  }
  // The last index that earlier starts of the member's disk have acknowledged.
  LogIndex earlier_match_index() const { return this->earlier_match; }
  bool is_boot_unconfirmed() const { return this->boot_unconfirmed; }
  LogIndex next_index() const { return this->next; }
  // When the latest answered request was sent. A reply shows no later contact
  // than that, however long it was on its way or this process was stopped.
  MonotonicTime last_contact() const { return this->contact; }
  bool window_is_full() const;
  // True if a request sent before `time` has no answer.
  bool IsOverdue(MonotonicTime time) const;

 private:
  struct SentRequest {
    std::uint64_t number = 0;
    MonotonicTime sent_at;
    bool has_entries = false;
  };

  Mode current_mode = Mode::kStream;
  LogIndex match;
  LogIndex earlier_match;
  LogIndex next;
  MonotonicTime contact;
  bool boot_unconfirmed = false;
  std::deque<SentRequest> unanswered;
};

using ProgressMap = std::map<DiskId, Progress>;

}  // namespace marigold::detail

#endif  // SRC_REPLICATION_DETAIL_PROGRESS_H_
