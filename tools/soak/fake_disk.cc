#include "tools/soak/fake_disk.h"

#include <algorithm>
#include <cerrno>
#include <utility>

namespace marigold {

namespace {

void AppendEntry(StoredState& state, const LogEntry& entry) {
  state.entries.push_back(entry);
}

void DropFrom(StoredState& state, LogIndex index) {
  std::erase_if(state.entries, [index](const LogEntry& entry) {
    return entry.index >= index;
  });
}

void ReplaceSnapshot(StoredState& state, const StateSnapshot& snapshot) {
  state.snapshot = snapshot;
  const bool continues = std::any_of(state.entries.begin(), state.entries.end(),
                                     [&snapshot](const LogEntry& entry) {
                                       return entry.index == snapshot.index &&
                                              entry.term == snapshot.term;
                                     });
  if (continues) {
    std::erase_if(state.entries, [&snapshot](const LogEntry& entry) {
      return entry.index <= snapshot.index;
    });
  } else {
    state.entries.clear();
  }
}

}  // namespace

FakeDisk::FakeDisk(DiskId id, PlantedBug bug_to_plant)
    : planted_bug(bug_to_plant) {
  this->durable.disk = std::move(id);
}

Result<StoredState> FakeDisk::Load() {
  return this->durable;
}

Result<void> FakeDisk::Append(const std::vector<LogEntry>& entries) {
  // Each entry is a separate write, so that a crash can tear an append.
  for (const LogEntry& entry : entries) {
    BOOST_LEAF_CHECK(this->AddWrite(
        [entry](StoredState& state) { AppendEntry(state, entry); }));
  }
  return {};
}

Result<void> FakeDisk::TruncateFrom(LogIndex index) {
  return this->AddWrite(
      [index](StoredState& state) { DropFrom(state, index); });
}

Result<void> FakeDisk::SaveHardState(const HardState& hard_state) {
  return this->AddWrite(
      [hard_state](StoredState& state) { state.hard_state = hard_state; });
}

Result<void> FakeDisk::SaveSnapshot(const StateSnapshot& snapshot) {
  BOOST_LEAF_CHECK(this->AddWrite(
      [snapshot](StoredState& state) { ReplaceSnapshot(state, snapshot); }));
  return this->Sync();
}

Result<void> FakeDisk::Sync() {
  BOOST_LEAF_CHECK(this->CountWrite());
  if (this->planted_bug == PlantedBug::kSyncLies) {
    return {};
  }
  for (const Write& write : std::exchange(this->unsynced, {})) {
    write(this->durable);
  }
  return {};
}

void FakeDisk::CrashAfter(std::uint64_t writes) {
  this->writes_until_crash = writes;
}

void FakeDisk::LoseUnsynced(SeededRandom& random) {
  const std::size_t kept_write_count =
      random.NextBelow(this->unsynced.size() + 1);
  for (std::size_t i = 0; i < kept_write_count; ++i) {
    this->unsynced[i](this->durable);
  }
  this->unsynced.clear();
  this->writes_until_crash.reset();
  this->has_crash_occurred = false;
}

void FakeDisk::RestoreCopy(const StoredState& copy) {
  this->durable = copy;
  this->unsynced.clear();
}

Result<void> FakeDisk::CountWrite() {
  if (this->writes_until_crash && *this->writes_until_crash == 0) {
    this->has_crash_occurred = true;
  }
  if (this->has_crash_occurred) {
    return boost::leaf::new_error(IoError{"write", "fake disk", EIO});
  }
  if (this->writes_until_crash) {
    --*this->writes_until_crash;
  }
  return {};
}

Result<void> FakeDisk::AddWrite(Write write) {
  BOOST_LEAF_CHECK(this->CountWrite());
  this->unsynced.push_back(std::move(write));
  return {};
}

}  // namespace marigold
