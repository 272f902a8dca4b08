#include "src/tables/change_log.h"

#include <algorithm>

namespace marigold {

namespace {

// Limit on the memory of rows and error texts. An entry VM that needs an edit
// whose rows were dropped gets the full lists.
constexpr std::size_t kMaxContentBytes = 64 * 1024 * 1024;

std::size_t BytesOf(const PutRows& edit) {
  std::size_t bytes = sizeof(PutRows);
  for (const PlanRow& row : edit.plans) {
    bytes +=
        sizeof(row) + row.customer.value().size() + row.plan.value().size();
  }
  for (const UsageRow& row : edit.usage) {
    bytes += sizeof(row) + row.plan.value().size();
    for (const ServiceId& service : row.services) {
      bytes += sizeof(service) + service.value().size();
    }
  }
  for (const std::string& key : edit.removed) {
    bytes += sizeof(std::string) + key.size();
  }
  return bytes;
}

std::size_t ContentBytes(const AnsweredChange& change) {
  std::size_t bytes = change.edit ? BytesOf(*change.edit) : 0;
  for (const std::string& error : change.outcome.errors) {
    bytes += sizeof(std::string) + error.size();
  }
  return bytes;
}

}  // namespace

ChangeLog::ChangeLog(std::size_t max_changes) : change_limit(max_changes) {}

void ChangeLog::Remember(AnsweredChange change) {
  this->content_bytes += ContentBytes(change);
  this->positions[change.change] = this->first_position + this->answered.size();
  this->answered.push_back(std::move(change));
  this->Trim();
}

const AnsweredChange* ChangeLog::Find(const ChangeId& change) const {
  const auto position = this->positions.find(change);
  return position == this->positions.end()
             ? nullptr
             : &this->answered[position->second - this->first_position];
}

bool ChangeLog::RemembersVersion(ListKind list, ListVersion version) const {
  return std::any_of(this->answered.rbegin(), this->answered.rend(),
                     [list, version](const AnsweredChange& change) {
                       return change.outcome.accepted && change.list == list &&
                              change.outcome.version == version;
                     });
}

std::optional<IndexedEdits> ChangeLog::EditsAfter(LogIndex index) const {
  if (index < this->edits_held_after) {
    return std::nullopt;
  }
  const auto first =
      std::upper_bound(this->answered.begin(), this->answered.end(), index,
                       [](LogIndex wanted, const AnsweredChange& change) {
                         return wanted < change.index;
                       });
  IndexedEdits edits;
  for (auto change = first; change != this->answered.end(); ++change) {
    if (change->edit) {
      edits.emplace_back(change->index, *change->edit);
    }
  }
  return edits;
}

void ChangeLog::DropContents(AnsweredChange& change) {
  this->content_bytes -= ContentBytes(change);
  if (change.edit) {
    this->edits_held_after = change.index;
    change.edit.reset();
  }
  if (!change.outcome.errors.empty()) {
    change.outcome.errors = {"the list of errors is no longer held"};
    this->content_bytes += ContentBytes(change);
  }
}

void ChangeLog::Trim() {
  while (this->content_bytes > kMaxContentBytes &&
         this->first_with_contents <
             this->first_position + this->answered.size()) {
    this->DropContents(
        this->answered[this->first_with_contents - this->first_position]);
    ++this->first_with_contents;
  }
  while (this->answered.size() > this->change_limit) {
    this->DropContents(this->answered.front());
    this->content_bytes -= ContentBytes(this->answered.front());
    this->positions.erase(this->answered.front().change);
    this->answered.pop_front();
    ++this->first_position;
    this->first_with_contents =
        std::max(this->first_with_contents, this->first_position);
  }
}

}  // namespace marigold
