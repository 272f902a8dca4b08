#include "src/replication/detail/record_format.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <limits>
#include <sstream>
#include <utility>

#include "src/replication/detail/checksum.h"

namespace marigold::detail {

namespace {

constexpr std::size_t kChecksumBytes = 8;
// The sizes of the checksum, payload length, term, index, kind and time.
constexpr std::size_t kRecordHeaderBytes = 8 + 4 + 8 + 8 + 1 + 8;

constexpr std::string_view kHardStateHeader = "MDHARD1\n";
constexpr std::string_view kSnapshotHeader = "MDSNAP1\n";

// The maximum distance of an index from the expected one in the search for
// records after a damaged one. The limit rejects most offsets at which no
// record starts, before a checksum is computed.
constexpr std::uint64_t kMaxSkippedEntries = 1U << 24;

template <class Number>
void PutNumber(Number number, std::string& bytes) {
  auto rest = static_cast<std::uint64_t>(number);
  for (std::size_t i = 0; i < sizeof(Number); ++i) {
    bytes += static_cast<char>(rest & 0xff);
    rest >>= 8;
  }
}

// Reads little-endian numbers one after another. The source must contain enough
// bytes.
class NumberReader {
 public:
  explicit NumberReader(std::string_view source) : rest(source) {}

  template <class Number>
  Number Take() {
    std::uint64_t number = 0;
    for (std::size_t i = sizeof(Number); i > 0; --i) {
      number = (number << 8) | static_cast<unsigned char>(this->rest[i - 1]);
    }
    this->rest.remove_prefix(sizeof(Number));
    return static_cast<Number>(number);
  }

 private:
  std::string_view rest;
};

std::size_t RecordBytes(const LogEntry& entry) {
  return kRecordHeaderBytes + entry.payload.size();
}

// Returns the record at the start of `bytes`, or nothing if it is incomplete,
// is not `plausible` or has a wrong checksum. `plausible` is called before the
// checksum is computed.
template <class Plausible>
std::optional<LogEntry> ReadRecord(std::string_view bytes,
                                   Plausible plausible) {
  if (bytes.size() < kRecordHeaderBytes) {
    return std::nullopt;
  }
  NumberReader reader(bytes);
  const auto checksum = reader.Take<std::uint64_t>();
  const auto length = reader.Take<std::uint32_t>();
  LogEntry entry;
  entry.term = Term(reader.Take<std::uint64_t>());
  entry.index = LogIndex(reader.Take<std::uint64_t>());
  entry.kind = static_cast<EntryKind>(reader.Take<std::uint8_t>());
  entry.proposed_at = WallTime(Duration(reader.Take<std::int64_t>()));
  if (length > bytes.size() - kRecordHeaderBytes || !plausible(entry)) {
    return std::nullopt;
  }
  const std::string_view record = bytes.substr(0, kRecordHeaderBytes + length);
  if (Checksum(record.substr(kChecksumBytes)) != checksum) {
    return std::nullopt;
  }
  entry.payload = std::string(record.substr(kRecordHeaderBytes));
  return entry;
}

// Returns the header, a checksum of the body, and the body.
std::string AddChecksum(std::string_view header, const std::string& body) {
  std::string bytes(header);
  PutNumber(Checksum(body), bytes);
  return bytes + body;
}

// Returns the body of a file that `AddChecksum` encoded. Fails with
// `ParseError` if the header or the checksum is wrong.
Result<std::string> StripChecksum(const std::string& path,
                                  std::string_view header,
                                  std::string_view bytes) {
  const std::size_t start = header.size() + kChecksumBytes;
  if (bytes.substr(0, header.size()) != header || bytes.size() < start) {
    return boost::leaf::new_error(
        ParseError{path, 0, "the header " + std::string(header.substr(0, 7))});
  }
  const std::string_view body = bytes.substr(start);
  if (NumberReader(bytes.substr(header.size())).Take<std::uint64_t>() !=
      Checksum(body)) {
    return boost::leaf::new_error(
        ParseError{path, start, "bytes that match the checksum"});
  }
  return std::string(body);
}

template <class Fields>
std::string WriteFields(Fields fields) {
  std::ostringstream stream;
  cereal::PortableBinaryOutputArchive archive(stream);
  fields(archive);
  return stream.str();
}

template <class Fields>
Result<void> ReadFields(const std::string& path,
                        const std::string& body,
                        Fields fields) {
  std::istringstream stream(body);
  try {
    cereal::PortableBinaryInputArchive archive(stream);
    fields(archive);
  } catch (const cereal::Exception& error) {
    return boost::leaf::new_error(ParseError{path, {}, error.what()});
  }
  return {};
}

template <class Archive>
void HardStateFields(Archive& archive, HardState& state) {
  bool voted = state.voted_for.has_value();
  DiskId candidate = state.voted_for.value_or(DiskId());
  archive(state.term, voted, candidate, state.boot_count, state.known_boots,
          state.is_rolled_back, state.initial_membership);
  state.voted_for = voted ? std::optional(candidate) : std::nullopt;
}

template <class Archive>
void SnapshotFields(Archive& archive, StateSnapshot& snapshot) {
  archive(snapshot.index, snapshot.term, snapshot.membership);
  SerializeWallTime(archive, snapshot.proposed_at);
  archive(snapshot.data);
}

}  // namespace

void EncodeRecord(const LogEntry& entry, std::string& bytes) {
  std::string record;
  record.reserve(RecordBytes(entry));
  PutNumber(static_cast<std::uint32_t>(entry.payload.size()), record);
  PutNumber(entry.term.value(), record);
  PutNumber(entry.index.value(), record);
  PutNumber(static_cast<std::uint8_t>(entry.kind), record);
  PutNumber(entry.proposed_at.time_since_epoch().count(), record);
  record += entry.payload;
  PutNumber(Checksum(record), bytes);
  bytes += record;
}

Result<SegmentScan> ScanSegment(const std::string& path,
                                std::string_view bytes,
                                LogIndex first_index) {
  SegmentScan scan;
  if (bytes.substr(0, kSegmentHeader.size()) != kSegmentHeader) {
    return scan;
  }
  scan.valid_bytes = kSegmentHeader.size();
  LogIndex expected_index = first_index;
  while (true) {
    auto entry = ReadRecord(bytes.substr(scan.valid_bytes),
                            [](const LogEntry&) { return true; });
    if (!entry) {
      return scan;
    }
    if (entry->index != expected_index) {
      return boost::leaf::new_error(ParseError{
          path, scan.valid_bytes,
          "the entry at index " + std::to_string(expected_index.value())});
    }
    expected_index = Next(expected_index);
    scan.entry_offsets.push_back(scan.valid_bytes);
    scan.valid_bytes += RecordBytes(*entry);
    scan.entries.push_back(std::move(*entry));
  }
}

bool HasRecordAfter(std::string_view bytes,
                    std::uint64_t offset,
                    LogIndex min_index) {
  const auto plausible = [&](const LogEntry& entry) {
    return entry.index >= min_index &&
           entry.index.value() - min_index.value() < kMaxSkippedEntries;
  };
  for (; offset + kRecordHeaderBytes <= bytes.size(); ++offset) {
    if (ReadRecord(bytes.substr(offset), plausible)) {
      return true;
    }
  }
  return false;
}

std::string EncodeHardState(const HardState& hard_state) {
  HardState copy = hard_state;
  return AddChecksum(kHardStateHeader, WriteFields([&](auto& archive) {
                       HardStateFields(archive, copy);
                     }));
}

std::string EncodeSnapshot(const StateSnapshot& snapshot) {
  StateSnapshot copy = snapshot;
  return AddChecksum(kSnapshotHeader, WriteFields([&](auto& archive) {
                       SnapshotFields(archive, copy);
                     }));
}

Result<HardState> DecodeHardState(const std::string& path,
                                  std::string_view bytes) {
  BOOST_LEAF_AUTO(body, StripChecksum(path, kHardStateHeader, bytes));
  HardState state;
  BOOST_LEAF_CHECK(ReadFields(
      path, body, [&](auto& archive) { HardStateFields(archive, state); }));
  return state;
}

Result<StateSnapshot> DecodeSnapshot(const std::string& path,
                                     std::string_view bytes) {
  BOOST_LEAF_AUTO(body, StripChecksum(path, kSnapshotHeader, bytes));
  StateSnapshot snapshot;
  BOOST_LEAF_CHECK(ReadFields(
      path, body, [&](auto& archive) { SnapshotFields(archive, snapshot); }));
  return snapshot;
}

}  // namespace marigold::detail
