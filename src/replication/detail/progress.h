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

// The progress of the replication from a leader to one other member.
class Progress {
 public:
  // `kProbe` searches for the last index that matches, with one request at a
  // time. `kStream` sends entries without waiting for replies. `kSnapshot`
  // sends the snapshot, because the next entry is compacted.
  enum class Mode { kProbe, kStream, kSnapshot };

  // `next_index` is an estimate that the first reply confirms or corrects.
  Progress(LogIndex next_index, MonotonicTime last_contact)
      : next_to_send(next_index), latest_contact(last_contact) {}

  // Commands.

  // Records a request that is in flight. Requests with entries fill the window.
  void OnSent(std::uint64_t sequence, MonotonicTime now, bool has_entries);
  // Ends the request `sequence` and all earlier ones. Returns when it was sent,
  // or nothing if it had already ended.
  std::optional<MonotonicTime> OnAnswered(std::uint64_t sequence);
  void OnAccepted(LogIndex index);
  void StartProbe(LogIndex next_index);
  void StartStream();
  void StartSnapshot();
  void SetNextIndex(LogIndex next_index) { this->next_to_send = next_index; }
  // To be called when the member has answered a request. `sent_at` is empty if
  // the time at which the request was sent is not known. `is_boot_unconfirmed`
  // is taken from the reply.
  void OnReply(std::optional<MonotonicTime> sent_at, bool is_boot_unconfirmed);
  // To be called when the member's process has restarted. The acknowledgements
  // of its earlier boot no longer count, because its disk may have been
  // restored from an older copy.
  void OnMemberRestart();

  // Queries.

  Mode mode() const { return this->current_mode; }
  // The last index that the member's current boot has acknowledged.
  LogIndex match_index() const { return this->last_match; }
  // The last acknowledged index that counts towards a commit. It is 0 while the
  // member's boot is not confirmed.
  LogIndex counted_index() const {
    return this->boot_unconfirmed ? LogIndex() : this->last_match;
  }
  // The last index that earlier boots of the member's disk have acknowledged.
  LogIndex earlier_match_index() const { return this->earlier_match; }
  bool is_boot_unconfirmed() const { return this->boot_unconfirmed; }
  LogIndex next_index() const { return this->next_to_send; }
  // When the latest answered request was sent. The time at which its reply was
  // read is not used, because the reply may have been in flight for long or
  // this process may have been stopped meanwhile.
  MonotonicTime last_contact() const { return this->latest_contact; }
  bool window_is_full() const;
  // True if a request that was sent before `time` is unanswered.
  bool IsOverdue(MonotonicTime time) const;

 private:
  struct SentRequest {
    std::uint64_t sequence = 0;
    MonotonicTime sent_at;
    bool has_entries = false;
  };

  Mode current_mode = Mode::kStream;
  LogIndex last_match;
  LogIndex earlier_match;
  LogIndex next_to_send;
  MonotonicTime latest_contact;
  bool boot_unconfirmed = false;
  std::deque<SentRequest> unanswered;
};

using ProgressMap = std::map<DiskId, Progress>;

}  // namespace marigold::detail

#endif  // SRC_REPLICATION_DETAIL_PROGRESS_H_
