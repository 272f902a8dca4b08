#include <utility>
#include <variant>

#include "src/core/log.h"
#include "src/net/control/detail/control_driver_impl.h"

namespace marigold {

namespace {

// Returns the error as the failure of the calling function.
Result<void> FailWith(const AnyError& error) {
  return std::visit(
      [](const auto& cause) -> Result<void> {
        return boost::leaf::new_error(cause);
      },
      error);
}

}  // namespace

Result<void> ControlDriver::Impl::OpenStorageAtStart() {
  const auto error = this->TryOpenStorage();
  if (!error) {
    return {};
  }
  const auto* io_error = std::get_if<IoError>(&*error);
  if (io_error == nullptr || !MayPass(*io_error)) {
    return FailWith(*error);
  }
  this->OnStorageFailed(this->clock.Now(), *error);
  return {};
}

std::optional<AnyError> ControlDriver::Impl::TryOpenStorage() {
  auto opened = Capture<bool>([this]() -> Result<bool> {
    BOOST_LEAF_CHECK(this->OpenStorage());
    return true;
  });
  auto* error = std::get_if<AnyError>(&opened);
  return error == nullptr ? std::nullopt : std::optional(std::move(*error));
}

Result<void> ControlDriver::Impl::OpenStorage() {
  if (this->storage) {
    BOOST_LEAF_CHECK(this->storage->Repair());
  } else {
    BOOST_LEAF_AUTO(folder, FileStorage::Open(this->settings.data_folder));
    this->storage.emplace(std::move(folder), this->counters.storage);
  }
  BOOST_LEAF_AUTO(stored, this->storage->Peek());
  this->disk = stored->disk;
  const bool is_new =
      stored->hard_state.boot_count == 0 && !stored->snapshot.has_value();
  if (!this->settings.init || !is_new || this->replica) {
    return this->OpenReplica({});
  }
  if (!this->formation) {
    this->formation.emplace(this->OwnMember(), this->settings.peers);
  }
  return {};
}

Result<void> ControlDriver::Impl::OpenReplica(Membership first_membership) {
  ReplicaSettings replica_settings = this->settings.replica;
  replica_settings.vm = this->settings.vm;
  replica_settings.initial_membership = std::move(first_membership);
  BOOST_LEAF_AUTO(
      opened, DriverReplica::Open(std::move(replica_settings), *this->storage,
                                  this->random, this->clock.Now()));
  this->replica.emplace(std::move(opened));
  this->formation.reset();
  LogEvent(LogLevel::kInfo, "replica_opened",
           {{"disk", this->disk.value()},
            {"term", this->replica->term().value()},
            {"snapshot_index", this->replica->snapshot_index().value()},
            {"last_index", this->replica->last_index().value()},
            {"members", this->replica->membership().members.size()}});
  this->ApplyCommitted();
  this->PublishStatus();
  return {};
}

void ControlDriver::Impl::RecoverStorage(MonotonicTime now) {
  if (this->replica && this->replica->storage_failed() &&
      !this->storage_retry.is_pending()) {
    ++this->counters.storage_failures;
    this->storage_retry.OnFailed(now);
  }
  if (!this->storage_retry.IsDue(now)) {
    return;
  }
  LogEvent(
      LogLevel::kInfo, "storage_attempt",
      {{"folder", this->settings.data_folder},
       {"failed_ms", ToMilliseconds(now - this->storage_retry.failed_at())}});
  if (const auto error = this->TryOpenStorage()) {
    this->OnStorageFailed(now, *error);
    return;
  }
  ++this->counters.storage_recoveries;
  LogEvent(
      LogLevel::kWarning, "storage_recovered",
      {{"disk", this->disk.value()},
       {"failed_ms", ToMilliseconds(now - this->storage_retry.failed_at())}});
  this->storage_retry.OnRecovered(now);
}

// Schedules the next attempt. There is none if the content of the disk is
// damaged or lacks what it had: the member must not vote or acknowledge entries
// then, and a spare takes its place.
void ControlDriver::Impl::OnStorageFailed(MonotonicTime now,
                                          const AnyError& error) {
  ++this->counters.storage_failures;
  this->storage_retry.OnFailed(now);
  const bool may_recover = std::holds_alternative<IoError>(error);
  if (!may_recover) {
    this->storage_retry.Stop();
  }
  LogEvent(
      LogLevel::kError, "storage_unusable",
      {{"folder", this->settings.data_folder},
       {"error", ToString(error)},
       {"failed_ms", ToMilliseconds(now - this->storage_retry.failed_at())},
       {"tried_again", may_recover}});
}

}  // namespace marigold
