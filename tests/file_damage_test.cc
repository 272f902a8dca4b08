#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <fstream>
#include <string>

#include "src/core/log.h"
#include "tests/row_indices.h"
#include "tests/storage_folder.h"

namespace marigold {

namespace {

void FlipByte(const std::string& path, std::uint64_t offset) {
  std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
  file.seekg(static_cast<std::streamoff>(offset));
  const char old = static_cast<char>(file.get());
  file.seekp(static_cast<std::streamoff>(offset));
  file.put(static_cast<char>(old ^ 0x20));
}

struct DamageRow {
  const char* name;
  std::string file;
  // Whether a byte is flipped, the size is changed or the file is removed.
  enum class DamageKind { kFlip, kResize, kRemove } kind;
  // The offset of the flipped byte, or the new size in bytes.
  std::uint64_t position;
  // The last index that is loaded, or 0 if the folder is rejected.
  std::uint64_t last_index;
  // The byte offset that the error names.
  std::uint64_t offset;
};

using DamageKind = DamageRow::DamageKind;

const DamageRow kDamageRows[] = {
    {"byte of last record flipped", SegmentName(9), DamageKind::kFlip, 100, 9,
     0},
    {"last record one byte short", SegmentName(9), DamageKind::kResize, 107, 9,
     0},
    {"last record cut off after its length", SegmentName(9),
     DamageKind::kResize, 70, 9, 0},
    {"zeros after the last record", SegmentName(9), DamageKind::kResize, 500,
     10, 0},
    {"last segment without records", SegmentName(9), DamageKind::kResize, 8, 8,
     0},
    {"last segment empty", SegmentName(9), DamageKind::kResize, 0, 8, 0},
    {"last segment with half a header", SegmentName(9), DamageKind::kResize, 4,
     8, 0},
    {"byte of last but one record flipped", SegmentName(9), DamageKind::kFlip,
     57, 0, 8},
    {"byte of last segment header flipped", SegmentName(9), DamageKind::kFlip,
     3, 0, 0},
    {"byte of last record of middle segment flipped", SegmentName(5),
     DamageKind::kFlip, 200, 0, 158},
    {"middle segment one byte short", SegmentName(5), DamageKind::kResize, 207,
     0, 158},
    {"middle segment lost", SegmentName(5), DamageKind::kRemove, 0, 0, 0},
    {"first segment lost", SegmentName(1), DamageKind::kRemove, 0, 0, 0},
    {"byte of hard state flipped", "hard_state", DamageKind::kFlip, 20, 0, 16},
    {"hard state truncated", "hard_state", DamageKind::kResize, 10, 0, 0},
    {"byte of snapshot flipped", "snapshot", DamageKind::kFlip, 40, 0, 16},
    {"byte of disk id flipped", "disk_id", DamageKind::kFlip, 32, 0, 0},
    {"disk id lost", "disk_id", DamageKind::kRemove, 0, 0, 0},
};

void DamageFile(const std::string& folder, const DamageRow& row) {
  const std::string path = folder + "/" + row.file;
  switch (row.kind) {
    case DamageKind::kFlip:
      FlipByte(path, row.position);
      break;
    case DamageKind::kResize:
      fs::resize_file(path, row.position);
      break;
    case DamageKind::kRemove:
      fs::remove(path);
      break;
  }
}

// Makes the descriptor of the open file at `path` refer to the file of the
// descriptor `other`.
void ReplaceDescriptor(const std::string& path, int other) {
  for (const auto& link : fs::directory_iterator("/proc/self/fd")) {
    std::error_code error;
    if (fs::read_symlink(link.path(), error) == path) {
      ::dup2(other, std::stoi(link.path().filename()));
    }
  }
}

struct FailureRow {
  const char* name;
  const char* operation;
  int error_number;
  std::optional<AnyError> (*fail)(FileStorage&, const std::string& folder);
};

const FailureRow kFailureRows[] = {
    {"disk full", "write", ENOSPC,
     [](FileStorage& storage, const std::string& folder) {
       ReplaceDescriptor(folder + "/" + SegmentName(9),
                         ::open("/dev/full", O_WRONLY));
       return ErrorOf([&] { return storage.Append({EntryAt(11)}); });
     }},
    {"sync fails", "fdatasync", EINVAL,
     [](FileStorage& storage, const std::string& folder) {
       int ends[2] = {};
       cr_assert_eq(::pipe(ends), 0);
       ReplaceDescriptor(folder + "/" + SegmentName(9), ends[1]);
       cr_assert(static_cast<bool>(storage.Append({EntryAt(11)})));
       return ErrorOf([&] { return storage.Sync(); });
     }},
    {"rename fails", "rename", EISDIR,
     [](FileStorage& storage, const std::string& folder) {
       fs::remove(folder + "/hard_state");
       fs::create_directory(folder + "/hard_state");
       return ErrorOf([&] { return storage.SaveHardState({}); });
     }},
};

}  // namespace

ParameterizedTestParameters(FileDamage,
                            TruncatesTornTailAndRejectsOtherDamage) {
  return RowIndices(kDamageRows);
}

// Guards against a replica that starts with a gap in its log, and against one
// that does not start because a crash during a write has left an incomplete
// last record.
ParameterizedTest(std::size_t* index,
                  FileDamage,
                  TruncatesTornTailAndRejectsOtherDamage) {
  const DamageRow& row = kDamageRows[*index];
  SetLogLevel(LogLevel::kError);
  const TemporaryFolder folder;
  FillFolder(folder.path);
  DamageFile(folder.path, row);
  const auto outcome = LoadFolder(folder.path);
  if (row.last_index == 0) {
    const auto* error = std::get_if<AnyError>(&outcome);
    const auto* parse_error =
        error == nullptr ? nullptr : std::get_if<ParseError>(error);
    cr_assert(parse_error != nullptr &&
                  parse_error->field.find(folder.path) == 0 &&
                  parse_error->offset == row.offset,
              "%s: expected an error at byte %lu, actual \"%s\"", row.name,
              row.offset,
              error == nullptr ? "loaded" : DescribeOutcome(*error).c_str());
    return;
  }
  const auto* stored = std::get_if<StoredState>(&outcome);
  const std::uint64_t actual =
      stored == nullptr ? 0 : stored->entries.back().index.value();
  cr_assert_eq(actual, row.last_index,
               "%s: expected last index %lu, actual %lu", row.name,
               row.last_index, actual);
  // A second load does not return the truncated record, and the log can be
  // appended to.
  {
    OpenResult opened = OpenFolder(folder.path);
    FileStorage& storage = std::get<FileStorage>(opened);
    const auto reloaded = storage.Load();
    cr_assert(reloaded &&
              reloaded.value().entries.size() == row.last_index - 2);
    const auto error = ErrorOf([&]() -> Result<void> {
      BOOST_LEAF_CHECK(storage.Append({EntryAt(row.last_index + 1)}));
      return storage.Sync();
    });
    cr_assert(!error, "%s: %s", row.name, DescribeOutcome(error).c_str());
  }
  // What was appended after the damage is still there after another start.
  const auto restarted = LoadFolder(folder.path);
  const auto* final_state = std::get_if<StoredState>(&restarted);
  cr_assert(final_state != nullptr, "%s: expected the folder to load: %s",
            row.name, DescribeOutcome(std::get<AnyError>(restarted)).c_str());
  cr_assert_eq(final_state->entries.size(), row.last_index - 1,
               "%s: expected %lu entries, actual %zu", row.name,
               row.last_index - 1, final_state->entries.size());
}

ParameterizedTestParameters(FileDamage, EveryWriteFailsAfterAFailure) {
  return RowIndices(kFailureRows);
}

// Guards against the acknowledgement of an entry that the disk does not have,
// because a later sync succeeds although an earlier write was lost.
ParameterizedTest(std::size_t* index,
                  FileDamage,
                  EveryWriteFailsAfterAFailure) {
  const FailureRow& row = kFailureRows[*index];
  const TemporaryFolder folder;
  FillFolder(folder.path);
  OpenResult opened = OpenFolder(folder.path);
  FileStorage& storage = std::get<FileStorage>(opened);
  cr_assert(static_cast<bool>(storage.Load()));
  const auto error = row.fail(storage, folder.path);
  const auto* io_error = error ? std::get_if<IoError>(&*error) : nullptr;
  cr_assert(io_error != nullptr && io_error->operation == row.operation &&
                io_error->error_number == row.error_number,
            "%s: expected %s, actual \"%s\"", row.name, row.operation,
            DescribeOutcome(error).c_str());
  const auto later_error = ErrorOf([&] { return storage.SaveHardState({}); });
  const auto sync_error = ErrorOf([&] { return storage.Sync(); });
  cr_assert(later_error && sync_error, "%s: expected later writes to fail",
            row.name);
}

}  // namespace marigold
